/* The draw of a request tree: all daemons compare the same random number with
 * their admitted fractions, so that they admit the same trees. */
#ifndef CASSIA_DRAW_H
#define CASSIA_DRAW_H

#include <stdbool.h>
#include <stdint.h>

/* Number of values of a draw, 2^32. */
#define CAS_DRAW_RANGE 4294967296.0

/* Returns whether a draw, as a fraction of its range, is below fraction. */
static inline bool cas_draw_below(uint32_t draw, double fraction)
{
	return (double)draw < fraction * CAS_DRAW_RANGE;
}

#endif
