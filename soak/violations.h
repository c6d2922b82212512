/* Prints and counts the violations of invariants in a run. */
#ifndef SOAK_VIOLATIONS_H
#define SOAK_VIOLATIONS_H

#include "fleet.h"

/* Sets the seed that is printed with each violation. */
void violations_set_seed(int seed);

/* Counts a violation and prints a line with the time, the daemon of host (NULL:
 * "none"), the seed and the formatted text. Only the first 100 are printed. */
void violations_add(fleet_t *fleet, const fleet_host_t *host,
		    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Returns the number of violations, including those not printed. */
uint64_t violations_count(void);

#endif
