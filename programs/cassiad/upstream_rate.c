/* Reads the request rate that the upstream of this host states, and has
 * admission keep it for the present run of the upstream. */
#include "upstream_rate.h"

#include "cassia/http_error.h"
#include "cassia/log.h"
#include "cassia/stated_rate.h"
#include "stated_leaving.h"

#define MILLI_PER_UNIT 1000
/* Shortest time between two log lines about a changed rate. */
#define RATE_LINE_US CAS_USEC_PER_SEC

struct upstream_rate {
	cas_id_t instance; /* in the last entry of the host list, 0: none */
	double logged_per_s; /* rate in the last log line, negative: none */
	int64_t logged_us;
	uint64_t malformed; /* rates that could not be read */
};

int upstream_rate_create(cassiad_t *daemon)
{
	upstream_rate_t *rate = talloc_zero(daemon, upstream_rate_t);

	if (!rate)
		return BASE_ENOMEM;
	rate->logged_per_s = -1;
	daemon->upstream_rate = rate;
	return 0;
}

static int64_t to_milli(double rate_per_s)
{
	return (int64_t)(rate_per_s * MILLI_PER_UNIT);
}

static void log_rate(cassiad_t *daemon, const char *cause)
{
	upstream_rate_t *rate = daemon->upstream_rate;
	double rate_per_s = admission_rate(daemon->admission);
	bool begins_or_ends = (rate_per_s < 0) != (rate->logged_per_s < 0);
	int64_t now_us = cas_clock_now(daemon->clock);

	if (rate_per_s == rate->logged_per_s ||
	    (!begins_or_ends && now_us - rate->logged_us < RATE_LINE_US))
		return;
	cas_log(CAS_LOG_INFO, "upstream_rate",
		CAS_LOG_INT("in_force", rate_per_s >= 0),
		CAS_LOG_INT("rate_milli", to_milli(rate_per_s)),
		CAS_LOG_INT("former_milli", to_milli(rate->logged_per_s)),
		CAS_LOG_CSTR("cause", cause),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
	rate->logged_per_s = rate_per_s;
	rate->logged_us = now_us;
}

void upstream_rate_read(cassiad_t *daemon, const http_headers_t *headers,
			bool not_run)
{
	const http_header_t *field =
		http_profile_find(&daemon->profile->request_rate, headers);
	double rate_per_s;

	if (field && !stated_rate_parse(field->value, &rate_per_s)) {
		daemon->upstream_rate->malformed++;
		return;
	}
	if (field)
		admission_note_rate(daemon->admission, rate_per_s);
	else if (!not_run)
		admission_note_no_rate(daemon->admission);
	log_rate(daemon, field ? "stated" : "not-stated");
}

/* The rate was that of a run of the upstream that has ended. */
static void clear_rate(cassiad_t *daemon, const char *cause)
{
	admission_clear_rate(daemon->admission);
	log_rate(daemon, cause);
}

void upstream_rate_call(cassiad_t *daemon, int http_error)
{
	if (http_error == HTTP_ECONNECT)
		clear_rate(daemon, "refused");
}

void upstream_rate_listing(cassiad_t *daemon, const roster_host_t *host)
{
	upstream_rate_t *rate = daemon->upstream_rate;
	cas_id_t instance = host ? stated_leaving_instance(host) : 0;

	if (rate->instance && instance && instance != rate->instance)
		clear_rate(daemon, "new-instance");
	if (instance)
		rate->instance = instance;
}

void upstream_rate_set_metrics(cassiad_t *daemon)
{
	double rate_per_s = admission_rate(daemon->admission);

	cas_metrics_set(daemon->metrics, "cassia_upstream_rate_limited", "",
			rate_per_s >= 0);
	cas_metrics_set(daemon->metrics, "cassia_upstream_rate_milli", "",
			rate_per_s >= 0 ? to_milli(rate_per_s) : 0);
	cas_metrics_set(daemon->metrics,
			"cassia_upstream_rates_malformed_total", "",
			(int64_t)daemon->upstream_rate->malformed);
}
