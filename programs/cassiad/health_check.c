/*
 * Health requests to the upstream of this host: a single one when it is in
 * doubt whether the upstream is cold. The response tells for how long it still
 * is. Requests have a cost, so there is no regular polling.
 */
#include "health_check.h"

#include "upstream_rate.h"
#include "warm_up_watch.h"

/* Shortest time between two requests. */
#define INTERVAL_US CAS_USEC_PER_SEC
/* Shorter than the interval, so that a request without a response delays none.
 * The response needs no work and is returned at once. */
#define TIMEOUT_US (900 * CAS_USEC_PER_MSEC)
/* Most digits of a number of milliseconds. */
#define DIGITS_MAX 9

struct health_check {
	cassiad_t *daemon;
	http_call_t *call; /* NULL: none is outstanding */
	int64_t asked_us; /* when the latest one was sent, 0: never */
	uint64_t sent;
	uint64_t answered;
};

health_check_t *health_check_create(cassiad_t *daemon)
{
	health_check_t *check = talloc_zero(daemon, health_check_t);

	if (check)
		check->daemon = daemon;
	return check;
}

/* Reads a number of milliseconds. A fraction is left out. Returns -1 for any
 * other text. */
static int64_t read_ms(cas_str_t text)
{
	int64_t ms = 0;
	size_t i;

	for (i = 0; i < text.len && g_ascii_isdigit(text.ptr[i]); i++) {
		if (i == DIGITS_MAX)
			return -1;
		ms = ms * 10 + (text.ptr[i] - '0');
	}
	if (!i)
		return -1;
	if (i < text.len && text.ptr[i] == '.')
		for (i++; i < text.len && g_ascii_isdigit(text.ptr[i]);)
			i++;
	return i == text.len ? ms : -1;
}

static void on_head(void *private, const http_reply_t *reply)
{
	health_check_t *check = private;
	cassiad_t *daemon = check->daemon;
	int64_t cold_ms = read_ms(http_headers_value(
		reply->headers, daemon->profile->warm_up_left));

	warm_up_watch_load(daemon, reply->headers);
	upstream_rate_read(
		daemon, reply->headers,
		daemon->profile->is_not_run(reply->status, reply->headers));
	if (cold_ms < 0)
		return;
	check->answered++;
	admission_note_cold_left(daemon->admission, cold_ms * CAS_USEC_PER_MSEC,
				 check->asked_us);
}

static void on_done(void *private, const http_result_t *result)
{
	health_check_t *check = private;

	/* Without a response the upstream stays cold as long as the table
	 * states. */
	(void)result;
	check->call = NULL;
}

static const http_call_ops_t call_ops = { .head = on_head, .done = on_done };

void health_check_request(health_check_t *check, cas_str_t path)
{
	cassiad_t *daemon = check->daemon;
	int64_t now_us = cas_clock_now(daemon->clock);
	http_headers_t *headers;
	const http_call_spec_t spec = {
		.address = daemon->settings->upstream.address,
		.port = daemon->settings->upstream.port,
		.method = CAS_STR("GET"),
		.target = path,
		.headers = headers = http_headers_create(check),
		.timeout_us = TIMEOUT_US,
		.connect_timeout_us = TIMEOUT_US,
	};

	if (!headers || check->call ||
	    (check->asked_us && now_us - check->asked_us < INTERVAL_US)) {
		talloc_free(headers);
		return;
	}
	check->asked_us = now_us;
	check->call = http_call_start(daemon->upstream_client, &spec, &call_ops,
				      check);
	if (check->call)
		check->sent++;
	talloc_free(headers);
}

uint64_t health_check_sent(const health_check_t *check)
{
	return check->sent;
}

uint64_t health_check_answered(const health_check_t *check)
{
	return check->answered;
}
