/* The operators' command line, as a function for tests. */
#ifndef CASSIACTL_CTL_H
#define CASSIACTL_CTL_H

#include <stdio.h>

/* Exit codes. */
#define CTL_OK 0
#define CTL_REFUSED 1 /* faults in a document, or the daemon said no */
#define CTL_FAILED 2 /* wrong usage, unreadable file, no connection */

/* Runs one command; argv[0] is the program's name. Returns its exit code. */
int ctl_main(int argc, char **argv, FILE *out, FILE *err);

#endif
