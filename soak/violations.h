/* The violations of a run: one line each, and how many there were. */
#ifndef SOAK_VIOLATIONS_H
#define SOAK_VIOLATIONS_H

#include "fleet.h"

/* The seed is printed with each violation. */
void violations_set_seed(int seed);

/* Prints the time, the daemon (NULL: none in particular) and the seed with a
 * text. Only the first 100 violations are printed. */
void violations_add(fleet_t *fleet, const fleet_host_t *host,
		    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

uint64_t violations_count(void);

#endif
