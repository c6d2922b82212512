/* Counts and latencies by customer, logs of requests, the last refusals. */
#include "stats.h"

#include "cassia/log.h"

#define EXPLAIN_COUNT 4096
/* Lines about refused requests in one second; the others are counted. */
#define REFUSAL_LINES_PER_S 100

typedef struct customer_stats {
	cas_id_t customer;
	int64_t served;
	int64_t rejected;
	cas_hist_t *latency;
	cas_counter_t *served_total;
	cas_counter_t *rejected_total;
} customer_stats_t;

typedef struct refusal {
	char id[ATTEMPT_ID_TEXT_BYTES];
	cas_id_t customer;
	cas_id_t route;
	uint32_t outcome;
	reason_t reason;
	int64_t at_us;
} refusal_t;

struct stats {
	GHashTable *by_customer;
	refusal_t refusals[EXPLAIN_COUNT];
	uint64_t refusal_count;
	int lines;
	int64_t left_out;
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

static customer_stats_t *customer_get(cassiad_t *daemon, cas_id_t id)
{
	stats_t *stats = daemon->stats;
	customer_stats_t *own = g_hash_table_lookup(stats->by_customer, &id);
	char *labels;

	if (own)
		return own;
	own = talloc_zero(stats, customer_stats_t);
	if (!own)
		return NULL;
	labels = talloc_asprintf(own, "customer=\"%.*s\"",
				 CAS_STR_ARG(customer_name(daemon, id)));
	own->customer = id;
	own->latency = cas_metrics_hist(daemon->metrics,
					"cassia_request_latency_us", labels);
	own->served_total = cas_metrics_counter(
		daemon->metrics, "cassia_requests_served_total", labels);
	own->rejected_total = cas_metrics_counter(
		daemon->metrics, "cassia_requests_rejected_total", labels);
	g_hash_table_insert(stats->by_customer, &own->customer, own);
	return own;
}

static void remember(cassiad_t *daemon, const stats_event_t *event)
{
	stats_t *stats = daemon->stats;
	refusal_t *refusal =
		&stats->refusals[stats->refusal_count++ % EXPLAIN_COUNT];

	snprintf(refusal->id, sizeof(refusal->id), "%s", event->id);
	refusal->customer = event->customer;
	refusal->route = event->route;
	refusal->outcome = event->outcome;
	refusal->reason = event->reason;
	refusal->at_us = cas_clock_now(daemon->clock);
}

bool stats_may_log(cassiad_t *daemon)
{
	if (daemon->stats->lines++ < REFUSAL_LINES_PER_S)
		return true;
	daemon->stats->left_out++;
	return false;
}

static void log_event(cassiad_t *daemon, const stats_event_t *event)
{
	bool served = event->outcome == ATTEMPT_SERVED;

	if (!served && !stats_may_log(daemon))
		return;
	if (served && daemon->settings->log_level < CAS_LOG_DEBUG)
		return;
	cas_log(served ? CAS_LOG_DEBUG : CAS_LOG_INFO, "request",
		CAS_LOG_Z("id", event->id),
		CAS_LOG_STR("customer", customer_name(daemon, event->customer)),
		CAS_LOG_STR("route", route_name(daemon, event->route)),
		CAS_LOG_Z("outcome", stats_outcome_name(event->outcome)),
		CAS_LOG_Z("reason", reason_name(event->reason)),
		CAS_LOG_INT("status", event->status),
		CAS_LOG_INT("latency_us", event->latency_us));
}

static void count_reason(cassiad_t *daemon, reason_t reason)
{
	char labels[64];
	cas_counter_t *counter;

	snprintf(labels, sizeof(labels), "reason=\"%s\"", reason_name(reason));
	counter = cas_metrics_counter(daemon->metrics, "cassia_refusals_total",
				      labels);
	if (counter)
		counter->value++;
}

void stats_count(cassiad_t *daemon, const stats_event_t *event)
{
	customer_stats_t *own = customer_get(daemon, event->customer);
	bool served = event->outcome == ATTEMPT_SERVED;

	if (!served) {
		remember(daemon, event);
		count_reason(daemon, event->reason);
	}
	if (own && served) {
		own->served++;
		own->served_total->value++;
		cas_hist_add(own->latency, event->latency_us);
	} else if (own) {
		own->rejected++;
		own->rejected_total->value++;
	}
	log_event(daemon, event);
}

void stats_tick(cassiad_t *daemon)
{
	stats_t *stats = daemon->stats;

	if (stats->left_out)
		cas_log(CAS_LOG_INFO, "requests_not_logged",
			CAS_LOG_INT("count", stats->left_out));
	stats->left_out = 0;
	stats->lines = 0;
}

static int busiest_first(const void *a, const void *b)
{
	const customer_stats_t *left = *(customer_stats_t *const *)a;
	const customer_stats_t *right = *(customer_stats_t *const *)b;
	int64_t left_all = left->served + left->rejected;
	int64_t right_all = right->served + right->rejected;

	return (left_all < right_all) - (left_all > right_all);
}

static json_t *customer_json(const cassiad_t *daemon,
			     const customer_stats_t *own)
{
	const table_customer_t *customer =
		daemon->table
			? table_find_customer(daemon->table, own->customer)
			: NULL;
	cas_str_t name = customer_name(daemon, own->customer);

	return json_pack(
		"{s:s%, s:i, s:I, s:I, s:I, s:I}", "name", name.ptr, name.len,
		"importance", customer ? customer->importance : 0, "served",
		(json_int_t)own->served, "rejected", (json_int_t)own->rejected,
		"p50_us", (json_int_t)cas_hist_quantile(own->latency, 0.5),
		"p99_us", (json_int_t)cas_hist_quantile(own->latency, 0.99));
}

json_t *stats_top(const cassiad_t *daemon)
{
	json_t *list = json_array();
	guint count = 0;
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, daemon->stats->by_customer);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(all, value);
	g_ptr_array_sort(all, busiest_first);
	for (count = 0; count < all->len; count++)
		json_array_append_new(list,
				      customer_json(daemon, all->pdata[count]));
	g_ptr_array_free(all, TRUE);
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

	for (uint64_t i = 0; i < EXPLAIN_COUNT && i < stats->refusal_count;
	     i++) {
		const refusal_t *refusal =
			&stats->refusals[(stats->refusal_count - 1 - i) %
					 EXPLAIN_COUNT];

		if (cas_str_equal(id, cas_str_from(refusal->id)))
			return refusal_json(daemon, refusal);
	}
	return NULL;
}
