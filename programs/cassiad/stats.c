/* Request counts and latencies by customer, request log lines, and a ring of
 * the most recent refusals. */
#include "stats.h"

#include "cassia/log.h"

#define REFUSALS_KEPT 4096
/* Log lines about refused requests in one second; others are only counted. */
#define REFUSAL_LINES_PER_S 100

/* Requests of one customer since the start. */
typedef struct customer_stats {
	cas_id_t customer;
	int64_t served;
	int64_t rejected;
	cas_hist_t *latency; /* of served requests, in microseconds */
	cas_counter_t *served_total; /* metrics with the same values */
	cas_counter_t *rejected_total;
} customer_stats_t;

/* A request that was not served, kept for /explain. */
typedef struct refusal {
	char id[ATTEMPT_ID_TEXT_BYTES];
	cas_id_t customer;
	cas_id_t route;
	uint32_t outcome;
	reason_t reason;
	int64_t at_us;
} refusal_t;

struct stats {
	GHashTable *by_customer; /* cas_id_t to customer_stats_t */
	refusal_t refusals[REFUSALS_KEPT]; /* ring */
	uint64_t refusal_count; /* since the start */
	int lines_logged; /* in this second */
	int64_t lines_suppressed; /* in this second */
};

static int stats_destroy(stats_t *stats)
{
	g_hash_table_destroy(stats->by_customer);
	return 0;
}

stats_t *stats_create(TALLOC_CTX *ctx)
{
	stats_t *stats = talloc_zero(ctx, stats_t);

	if (!stats)
		return NULL;
	stats->by_customer = g_hash_table_new(g_int64_hash, g_int64_equal);
	talloc_set_destructor(stats, stats_destroy);
	return stats;
}

const char *stats_outcome_name(uint32_t outcome)
{
	static const char *const names[] = { "served", "not-run", "unknown" };

	return names[outcome <= ATTEMPT_UNKNOWN ? outcome : ATTEMPT_UNKNOWN];
}

static cas_str_t customer_name(const cassiad_t *daemon, cas_id_t id)
{
	const table_customer_t *customer =
		daemon->table ? table_find_customer(daemon->table, id) : NULL;

	return customer ? customer->name : CAS_STR("-");
}

static cas_str_t route_name(const cassiad_t *daemon, cas_id_t id)
{
	const table_route_t *route =
		daemon->table ? table_find_route(daemon->table, id) : NULL;

	return route ? route->name : CAS_STR("-");
}

static customer_stats_t *customer_stats_get(cassiad_t *daemon, cas_id_t id)
{
	stats_t *stats = daemon->stats;
	customer_stats_t *counts = g_hash_table_lookup(stats->by_customer, &id);
	char *labels;

	if (counts)
		return counts;
	counts = talloc_zero(stats, customer_stats_t);
	if (!counts)
		return NULL;
	labels = talloc_asprintf(counts, "customer=\"%.*s\"",
				 CAS_STR_ARG(customer_name(daemon, id)));
	counts->customer = id;
	counts->latency = cas_metrics_hist(daemon->metrics,
					   "cassia_request_latency_us", labels);
	counts->served_total = cas_metrics_counter(
		daemon->metrics, "cassia_requests_served_total", labels);
	counts->rejected_total = cas_metrics_counter(
		daemon->metrics, "cassia_requests_rejected_total", labels);
	g_hash_table_insert(stats->by_customer, &counts->customer, counts);
	return counts;
}

static void remember_refusal(cassiad_t *daemon, const stats_request_t *request)
{
	stats_t *stats = daemon->stats;
	refusal_t *refusal =
		&stats->refusals[stats->refusal_count++ % REFUSALS_KEPT];

	snprintf(refusal->id, sizeof(refusal->id), "%s", request->id);
	refusal->customer = request->customer;
	refusal->route = request->route;
	refusal->outcome = request->outcome;
	refusal->reason = request->reason;
	refusal->at_us = cas_clock_now(daemon->clock);
}

bool stats_allow_log_line(cassiad_t *daemon)
{
	if (daemon->stats->lines_logged++ < REFUSAL_LINES_PER_S)
		return true;
	daemon->stats->lines_suppressed++;
	return false;
}

static void log_request(cassiad_t *daemon, const stats_request_t *request)
{
	bool served = request->outcome == ATTEMPT_SERVED;

	if (!served && !stats_allow_log_line(daemon))
		return;
	if (served && daemon->settings->log_level < CAS_LOG_DEBUG)
		return;
	cas_log(served ? CAS_LOG_DEBUG : CAS_LOG_INFO, "request",
		CAS_LOG_CSTR("id", request->id),
		CAS_LOG_STR("customer",
			    customer_name(daemon, request->customer)),
		CAS_LOG_STR("route", route_name(daemon, request->route)),
		CAS_LOG_CSTR("outcome", stats_outcome_name(request->outcome)),
		CAS_LOG_CSTR("reason", reason_name(request->reason)),
		CAS_LOG_INT("status", request->status),
		CAS_LOG_INT("latency_us", request->latency_us),
		CAS_LOG_INT("table_revision",
			    daemon->table ? daemon->table->revision : 0));
}

static void count_reason(cassiad_t *daemon, reason_t reason)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason_name(reason));
	cas_metrics_increment(daemon->metrics, "cassia_refusals_total", labels);
}

void stats_record(cassiad_t *daemon, const stats_request_t *request)
{
	customer_stats_t *counts =
		customer_stats_get(daemon, request->customer);
	bool served = request->outcome == ATTEMPT_SERVED;

	if (!served) {
		remember_refusal(daemon, request);
		count_reason(daemon, request->reason);
	}
	if (counts && served) {
		counts->served++;
		counts->served_total->value++;
		cas_hist_add(counts->latency, request->latency_us);
	} else if (counts) {
		counts->rejected++;
		counts->rejected_total->value++;
	}
	log_request(daemon, request);
}

void stats_tick(cassiad_t *daemon)
{
	stats_t *stats = daemon->stats;

	if (stats->lines_suppressed)
		cas_log(CAS_LOG_INFO, "requests_not_logged",
			CAS_LOG_INT("count", stats->lines_suppressed));
	stats->lines_suppressed = 0;
	stats->lines_logged = 0;
}

static int busiest_first(const void *a, const void *b)
{
	const customer_stats_t *left = *(customer_stats_t *const *)a;
	const customer_stats_t *right = *(customer_stats_t *const *)b;
	int64_t left_total = left->served + left->rejected;
	int64_t right_total = right->served + right->rejected;

	return (left_total < right_total) - (left_total > right_total);
}

static json_t *customer_json(const cassiad_t *daemon,
			     const customer_stats_t *counts)
{
	const table_customer_t *customer =
		daemon->table
			? table_find_customer(daemon->table, counts->customer)
			: NULL;
	cas_str_t name = customer_name(daemon, counts->customer);

	return json_pack(
		"{s:s%, s:i, s:I, s:I, s:I, s:I}", "name", name.ptr, name.len,
		"importance", customer ? customer->importance : 0, "served",
		(json_int_t)counts->served, "rejected",
		(json_int_t)counts->rejected, "p50_us",
		(json_int_t)cas_hist_quantile(counts->latency, 0.5), "p99_us",
		(json_int_t)cas_hist_quantile(counts->latency, 0.99));
}

json_t *stats_top(const cassiad_t *daemon)
{
	json_t *list = json_array();
	guint i = 0;
	GPtrArray *customers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, daemon->stats->by_customer);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(customers, value);
	g_ptr_array_sort(customers, busiest_first);
	for (i = 0; i < customers->len; i++)
		json_array_append_new(
			list, customer_json(daemon, customers->pdata[i]));
	g_ptr_array_free(customers, TRUE);
	return list;
}

static json_t *refusal_json(const cassiad_t *daemon, const refusal_t *refusal)
{
	cas_str_t customer = customer_name(daemon, refusal->customer);
	cas_str_t route = route_name(daemon, refusal->route);
	cas_str_t host = daemon->settings->host;
	int64_t age_us = cas_clock_now(daemon->clock) - refusal->at_us;

	return json_pack("{s:s, s:s%, s:s%, s:s, s:s, s:s%, s:f}", "id",
			 refusal->id, "customer", customer.ptr, customer.len,
			 "route", route.ptr, route.len, "outcome",
			 stats_outcome_name(refusal->outcome), "reason",
			 reason_name(refusal->reason), "host", host.ptr,
			 host.len, "age_s", (double)age_us / CAS_USEC_PER_SEC);
}

json_t *stats_explain(const cassiad_t *daemon, cas_str_t id)
{
	const stats_t *stats = daemon->stats;

	for (uint64_t i = 0; i < REFUSALS_KEPT && i < stats->refusal_count;
	     i++) {
		const refusal_t *refusal =
			&stats->refusals[(stats->refusal_count - 1 - i) %
					 REFUSALS_KEPT];

		if (cas_str_equal(id, cas_str_from_cstr(refusal->id)))
			return refusal_json(daemon, refusal);
	}
	return NULL;
}
