/* Allocation count of the daemon that bench_request_cost measures. */
#ifndef CASSIA_BENCH_COUNT_ALLOCATIONS_H
#define CASSIA_BENCH_COUNT_ALLOCATIONS_H

#include <signal.h>

/* Asks for the count. Neither the daemon nor its libraries use this signal. */
#define COUNT_SIGNAL (SIGRTMIN + 4)

#endif
