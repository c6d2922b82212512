/* The load that an upstream reports in a header field of its responses. */
#ifndef CASSIA_LOAD_REPORT_H
#define CASSIA_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/str.h"

typedef struct load_report {
	bool known; /* the other members are valid */
	int32_t running; /* requests */
	int32_t waiting; /* requests */
	int32_t slots; /* requests that can run at once */
	/* How long work takes on the host now, in percent of the usual time;
	 * 0: not reported. */
	int32_t slowdown;
} load_report_t;

/* Reads the value of the field: running, waiting, slots and optionally the
 * slowdown, as decimal numbers separated by commas. Any other text, and numbers
 * out of range, give a report that is not known. */
load_report_t load_report_parse(cas_str_t text);

#endif
