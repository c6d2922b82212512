/* The request rate that an upstream states in a header field of its
 * responses. */
#ifndef CASSIA_STATED_RATE_H
#define CASSIA_STATED_RATE_H

#include <stdbool.h>

#include "cassia/str.h"

/* Higher rates are read as this one, which no upstream reaches. */
#define STATED_RATE_MAX 1e6

/* Reads the value of the field, a decimal number of requests a second of 0 or
 * more, with or without a fraction. Returns false for any other text; rate_per_s
 * is then unchanged. */
bool stated_rate_parse(cas_str_t text, double *rate_per_s);

#endif
