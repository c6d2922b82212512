/* The registry of metrics and its Prometheus text form. */
#include "cassia/metrics.h"

#include <glib.h>

/* A counter, gauge or histogram of the registry. */
typedef struct metric {
	const char *name;
	const char *labels; /* without braces */
	cas_counter_t counter;
	cas_hist_t *hist; /* NULL for a counter */
} metric_t;

struct cas_metrics {
	GHashTable *by_key; /* metric_t by "name{labels}", owned by talloc */
};

/* Upper bounds of the printed histogram buckets in microseconds. */
static const int64_t printed_bounds_us[] = {
	100,   250,   500,    1000,   2500,   5000,    10000,
	25000, 50000, 100000, 250000, 500000, 1000000, 5000000,
};

static int metrics_destroy(cas_metrics_t *metrics)
{
	g_hash_table_destroy(metrics->by_key);
	return 0;
}

cas_metrics_t *cas_metrics_create(TALLOC_CTX *ctx)
{
	cas_metrics_t *metrics = talloc_zero(ctx, cas_metrics_t);

	if (!metrics)
		return NULL;
	metrics->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(metrics, metrics_destroy);
	return metrics;
}

/* Returns the metric (borrowed), created on first use, or NULL when out of
 * memory. */
static metric_t *get_metric(cas_metrics_t *metrics, const char *name,
			    const char *labels)
{
	char *key = talloc_asprintf(metrics, "%s{%s}", name, labels);
	metric_t *metric;

	if (!key)
		return NULL;
	metric = g_hash_table_lookup(metrics->by_key, key);
	if (metric) {
		talloc_free(key);
		return metric;
	}
	metric = talloc_zero(metrics, metric_t);
	if (!metric) {
		talloc_free(key);
		return NULL;
	}
	metric->name = talloc_strdup(metric, name);
	metric->labels = talloc_strdup(metric, labels);
	g_hash_table_insert(metrics->by_key, key, metric);
	return metric;
}

cas_counter_t *cas_metrics_counter(cas_metrics_t *metrics, const char *name,
				   const char *labels)
{
	metric_t *metric = get_metric(metrics, name, labels);

	return metric ? &metric->counter : NULL;
}

void cas_metrics_set(cas_metrics_t *metrics, const char *name,
		     const char *labels, int64_t value)
{
	cas_counter_t *counter = cas_metrics_counter(metrics, name, labels);

	if (counter)
		counter->value = value;
}

void cas_metrics_increment(cas_metrics_t *metrics, const char *name,
			   const char *labels)
{
	cas_counter_t *counter = cas_metrics_counter(metrics, name, labels);

	if (counter)
		counter->value++;
}

cas_hist_t *cas_metrics_hist(cas_metrics_t *metrics, const char *name,
			     const char *labels)
{
	metric_t *metric = get_metric(metrics, name, labels);

	if (metric && !metric->hist)
		metric->hist = cas_hist_create(metric);
	return metric ? metric->hist : NULL;
}

/* print_counter and print_hist append to out and return it, as it may move. */
static char *print_counter(char *out, const metric_t *metric)
{
	if (!*metric->labels)
		return talloc_asprintf_append_buffer(
			out, "%s %lld\n", metric->name,
			(long long)metric->counter.value);
	return talloc_asprintf_append_buffer(out, "%s{%s} %lld\n", metric->name,
					     metric->labels,
					     (long long)metric->counter.value);
}

static char *print_hist(char *out, const metric_t *metric)
{
	const char *comma = *metric->labels ? "," : "";

	for (size_t i = 0; i < G_N_ELEMENTS(printed_bounds_us); i++) {
		int64_t bound = printed_bounds_us[i];
		unsigned long long count =
			cas_hist_count_up_to(metric->hist, bound);

		out = talloc_asprintf_append_buffer(
			out, "%s_bucket{%s%sle=\"%lld\"} %llu\n", metric->name,
			metric->labels, comma, (long long)bound, count);
	}
	return talloc_asprintf_append_buffer(
		out,
		"%s_bucket{%s%sle=\"+Inf\"} %llu\n"
		"%s_sum{%s} %lld\n%s_count{%s} %llu\n",
		metric->name, metric->labels, comma,
		(unsigned long long)cas_hist_count(metric->hist), metric->name,
		metric->labels, (long long)cas_hist_sum(metric->hist),
		metric->name, metric->labels,
		(unsigned long long)cas_hist_count(metric->hist));
}

cas_str_t cas_metrics_print(cas_metrics_t *metrics, TALLOC_CTX *ctx)
{
	GList *keys = g_hash_table_get_keys(metrics->by_key);
	const char *previous = "";
	char *out = talloc_strdup(ctx, "");

	keys = g_list_sort(keys, (GCompareFunc)g_strcmp0);
	for (GList *item = keys; item; item = item->next) {
		metric_t *metric =
			g_hash_table_lookup(metrics->by_key, item->data);

		if (strcmp(previous, metric->name) != 0)
			out = talloc_asprintf_append_buffer(
				out, "# TYPE %s %s\n", metric->name,
				metric->hist ? "histogram" : "gauge");
		previous = metric->name;
		out = metric->hist ? print_hist(out, metric)
				   : print_counter(out, metric);
	}
	g_list_free(keys);
	return (cas_str_t){ out, out ? talloc_get_size(out) - 1 : 0 };
}
