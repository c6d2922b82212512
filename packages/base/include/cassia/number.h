/* Comparisons of numbers. */
#ifndef CASSIA_NUMBER_H
#define CASSIA_NUMBER_H

static inline double cas_min(double a, double b)
{
	return a < b ? a : b;
}

static inline double cas_max(double a, double b)
{
	return a > b ? a : b;
}

/* Returns the value, or the nearest bound if it is not from low to high. */
static inline double cas_clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

#endif
