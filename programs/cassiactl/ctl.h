/* Entry point of the operators' command line program, also used by tests. */
#ifndef CASSIACTL_CTL_H
#define CASSIACTL_CTL_H

#include <stdio.h>

/* Exit codes. */
#define CTL_OK 0
#define CTL_REFUSED 1 /* a document has faults, or the daemon refused */
#define CTL_FAILED 2 /* wrong usage, unreadable file or no connection */

/* Runs the command of a command line; argv[0] is the program's name. Writes to
 * out and err. Returns the exit code. */
int ctl_main(int argc, char **argv, FILE *out, FILE *err);

#endif
