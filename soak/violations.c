/* Prints violations as lines of key=value pairs on standard output. */
#include "violations.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#define PRINT_LIMIT 100

static int run_seed;
static uint64_t violation_count;

void violations_set_seed(int seed)
{
	run_seed = seed;
}

void violations_add(fleet_t *fleet, const fleet_host_t *host,
		    const char *format, ...)
{
	va_list arguments;

	if (violation_count++ >= PRINT_LIMIT)
		return;
	printf("violation time_us=%" PRId64 " daemon=", sim_now(fleet->sim));
	if (host)
		printf("host-%zu", host->index);
	else
		printf("none");
	printf(" seed=%d ", run_seed);
	va_start(arguments, format);
	vprintf(format, arguments);
	va_end(arguments);
	putchar('\n');
}

uint64_t violations_count(void)
{
	return violation_count;
}
