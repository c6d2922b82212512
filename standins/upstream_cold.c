/* The cold start of the stand-in upstream and the load that it reports. While
 * it is cold, requests take twice as long. */
#include "upstream_cold.h"

#include <stdio.h>
#include <stdlib.h>

#include "cassia/platform.h"

#define COLD_FACTOR 2
#define CRASH_STATUS 3
#define ARRIVALS 4096 /* remembered; more than any bound */

static int cold_ms;
static int cold_bound;
static gboolean no_health;
static int slowdown; /* in percent, 0: not reported */
static int64_t cold_until_us;
static int64_t arrivals[ARRIVALS]; /* circular buffer */
static int arrival_count;
static int worst;

const GOptionEntry upstream_cold_options[] = {
	{ "cold-ms", 0, 0, G_OPTION_ARG_INT, &cold_ms,
	  "How long the upstream is cold", NULL },
	{ "cold-bound", 0, 0, G_OPTION_ARG_INT, &cold_bound,
	  "Requests in a second above which it then crashes", NULL },
	{ "no-health", 0, 0, G_OPTION_ARG_NONE, &no_health,
	  "Sends no response to health requests", NULL },
	{ "slowdown", 0, 0, G_OPTION_ARG_INT, &slowdown,
	  "Reports its load with this slowdown in percent", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

void upstream_cold_begin(void)
{
	cold_until_us = g_get_monotonic_time() + (int64_t)cold_ms * 1000;
}

static bool is_cold(void)
{
	return g_get_monotonic_time() < cold_until_us;
}

void upstream_cold_count(void)
{
	int64_t now_us = g_get_monotonic_time();
	int count = 0;

	arrivals[arrival_count++ % ARRIVALS] = now_us;
	if (!is_cold())
		return;
	for (int i = arrival_count - 1;
	     i >= 0 && i > arrival_count - ARRIVALS &&
	     arrivals[i % ARRIVALS] > now_us - G_USEC_PER_SEC;
	     i--)
		count++;
	if (count > worst)
		worst = count;
	if (cold_bound && count > cold_bound) {
		printf("crashed requests=%d\n", count);
		fflush(stdout);
		exit(CRASH_STATUS);
	}
}

int upstream_cold_worst(void)
{
	return worst;
}

int64_t upstream_cold_delay(int64_t delay_us)
{
	return is_cold() ? delay_us * COLD_FACTOR : delay_us;
}

char *upstream_cold_fields(TALLOC_CTX *ctx, bool health, int running,
			   int waiting, int slots)
{
	const http_profile_t *profile = &platform_http_profile;
	int64_t left_us = cold_until_us - g_get_monotonic_time();
	char *fields = talloc_strdup(ctx, "");

	if (slowdown)
		fields = talloc_asprintf_append_buffer(
			fields, "%.*s: %d,%d,%d,%d\r\n",
			CAS_STR_ARG(profile->server_load), running, waiting,
			slots, slowdown);
	if (health)
		fields = talloc_asprintf_append_buffer(
			fields, "%.*s: %lld\r\n",
			CAS_STR_ARG(profile->warm_up_left),
			(long long)(left_us > 0 ? left_us / 1000 : 0));
	return fields;
}

bool upstream_cold_answers_health(void)
{
	return !no_health;
}
