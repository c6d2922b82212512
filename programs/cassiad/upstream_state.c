/* Reads and logs what the upstream of this host says of itself. */
#include "upstream_state.h"

#include "cassia/log.h"
#include "cassia/stated_rate.h"

#define MILLI_PER_UNIT 1000
/* Shortest time between two log lines about a changed rate. */
#define RATE_LINE_US CAS_USEC_PER_SEC

struct upstream_state {
	bool has_rate; /* the last response stated one */
	double rate_per_s; /* the last one stated */
	bool leaving; /* a response said so */
	int64_t rate_line_us;
	uint64_t malformed; /* rates that could not be read */
};

int upstream_state_create(cassiad_t *daemon)
{
	daemon->upstream_state = talloc_zero(daemon, upstream_state_t);
	return daemon->upstream_state ? 0 : BASE_ENOMEM;
}

static void log_rate(cassiad_t *daemon, cas_str_t text)
{
	upstream_state_t *state = daemon->upstream_state;
	int64_t now_us = cas_clock_now(daemon->clock);

	if (state->has_rate && now_us - state->rate_line_us < RATE_LINE_US)
		return;
	state->rate_line_us = now_us;
	cas_log(CAS_LOG_INFO, "upstream_rate",
		CAS_LOG_STR("field", daemon->profile->request_rate),
		CAS_LOG_STR("value", text),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
}

static void read_rate(cassiad_t *daemon, const http_headers_t *headers)
{
	upstream_state_t *state = daemon->upstream_state;
	const http_header_t *field =
		http_headers_find(headers, daemon->profile->request_rate);
	double rate_per_s;

	if (!field) {
		if (state->has_rate)
			cas_log(CAS_LOG_INFO, "upstream_rate_absent",
				CAS_LOG_INT("stated_milli",
					    (int64_t)(state->rate_per_s *
						      MILLI_PER_UNIT)));
		state->has_rate = false;
		return;
	}
	if (!stated_rate_parse(field->value, &rate_per_s)) {
		state->malformed++;
		return;
	}
	if (!state->has_rate || rate_per_s != state->rate_per_s)
		log_rate(daemon, field->value);
	state->has_rate = true;
	state->rate_per_s = rate_per_s;
}

static void read_leaving(cassiad_t *daemon, const http_headers_t *headers)
{
	upstream_state_t *state = daemon->upstream_state;

	if (state->leaving ||
	    !cas_str_equal(
		    http_headers_value(headers, daemon->profile->leaving),
		    CAS_STR("1")))
		return;
	state->leaving = true;
	cas_log(CAS_LOG_INFO, "upstream_says_leaving",
		CAS_LOG_INT("listing", daemon->own_listing),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
}

void upstream_state_read(cassiad_t *daemon, const http_headers_t *headers)
{
	read_rate(daemon, headers);
	read_leaving(daemon, headers);
}

void upstream_state_set_metrics(cassiad_t *daemon)
{
	const upstream_state_t *state = daemon->upstream_state;

	cas_metrics_set(daemon->metrics, "cassia_upstream_rate_milli", "",
			state->has_rate
				? (int64_t)(state->rate_per_s * MILLI_PER_UNIT)
				: 0);
	cas_metrics_set(daemon->metrics,
			"cassia_upstream_rates_malformed_total", "",
			(int64_t)state->malformed);
	cas_metrics_set(daemon->metrics, "cassia_upstream_leaving", "",
			state->leaving);
}
