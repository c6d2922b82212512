/* HTTP server for operators: health, metrics, status and drain. Listens on
 * loopback by default. */
#include <jansson.h>
#include <stdlib.h>

#include "cassia/http_problem.h"
#include "cassia/http_target.h"
#include "control.h"
#include "placement_report.h"
#include "processor_use.h"
#include "stop.h"
#include "crash_watch.h"
#include "upstream_rate.h"
#include "warm_up_watch.h"
#include "stats.h"

/* Handler of a method and path. */
typedef struct operator_route {
	const char *method;
	const char *path;
	void (*handle)(cassiad_t *daemon, http_exchange_t *exchange);
} operator_route_t;

static void reply_json(http_exchange_t *exchange, int status, json_t *json)
{
	http_headers_t *headers = http_headers_create(exchange);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	if (!headers || !text ||
	    http_headers_add(headers, CAS_STR("Content-Type"),
			     CAS_STR("application/json"))) {
		http_exchange_abort(exchange);
	} else {
		char *line = talloc_asprintf(exchange, "%s\n", text);

		http_exchange_reply_text(exchange, status, headers,
					 cas_str_from_cstr(line));
	}
	free(text);
}

static void handle_healthz(cassiad_t *daemon, http_exchange_t *exchange)
{
	(void)daemon;
	http_exchange_reply_text(exchange, 200, NULL, CAS_STR("ok\n"));
}

static void handle_readyz(cassiad_t *daemon, http_exchange_t *exchange)
{
	bool ready =
		daemon->ready && drain_state(daemon->drain) == DRAIN_SERVING;
	cas_str_t text = cas_str_from_cstr(daemon_state(daemon));

	http_exchange_reply_text(exchange, ready ? 200 : 503, NULL, text);
}

/* Sets a metric without labels. */
static void set_gauge(cassiad_t *daemon, const char *name, int64_t value)
{
	cas_metrics_set(daemon->metrics, name, "", value);
}

static void set_link_bytes(cassiad_t *daemon, const char *region,
			   const char *direction, uint64_t bytes)
{
	char *labels = talloc_asprintf(daemon, "region=\"%s\",direction=\"%s\"",
				       region, direction);

	if (labels)
		cas_metrics_set(daemon->metrics, "cassia_link_bytes_total",
				labels, (int64_t)bytes);
	talloc_free(labels);
}

/* Sets the bytes exchanged with each region, because links between regions are
 * charged by volume. */
static void set_link_metrics(cassiad_t *daemon)
{
	const table_t *table = daemon->table;

	for (size_t i = 0; table && i < table->data_centre_count; i++) {
		const table_data_centre_t *dc = &table->data_centres[i];
		uint64_t sent = 0;
		uint64_t received = 0;

		routing_link_bytes(daemon->routing, dc->region_id, &sent,
				   &received);
		set_link_bytes(daemon, dc->region.ptr, "sent", sent);
		set_link_bytes(daemon, dc->region.ptr, "received", received);
	}
}

/* Sets the counts of choices by expected completion. */
static void set_placement_metrics(cassiad_t *daemon)
{
	static const char *const tiers[ROUTING_TIERS] = {
		"tier=\"own_host\"",
		"tier=\"own_dc\"",
		"tier=\"own_region\"",
		"tier=\"other_region\"",
	};
	static const char *const causes[ROUTING_SPILLS] = {
		"cause=\"refused\"",
		"cause=\"full\"",
		"cause=\"late\"",
		"cause=\"none_left\"",
	};
	const routing_counts_t *counts = routing_counts(daemon->routing);

	for (int i = 0; i < ROUTING_TIERS; i++)
		cas_metrics_set(daemon->metrics,
				"cassia_placement_chosen_total", tiers[i],
				counts->chosen[i]);
	for (int i = 0; i < ROUTING_SPILLS; i++)
		cas_metrics_set(daemon->metrics,
				"cassia_placement_spilled_total", causes[i],
				counts->spilled[i]);
	set_gauge(daemon, "cassia_placement_link_refused_total",
		  counts->link_refused);
	set_gauge(daemon, "cassia_placement_stale_reports_total",
		  counts->stale_reports);
	set_gauge(daemon, "cassia_placement_estimates_total", counts->visits);
}

static void handle_metrics(cassiad_t *daemon, http_exchange_t *exchange)
{
	http_headers_t *headers = http_headers_create(exchange);

	set_gauge(daemon, "cassia_connections",
		  http_server_connections(daemon->front_server));
	set_gauge(daemon, "cassia_upstream_running", daemon->upstream_running);
	set_gauge(daemon, "cassia_concurrency_limit",
		  admission_limit(daemon->admission));
	set_gauge(daemon, "cassia_queued", admission_queued(daemon->admission));
	set_gauge(daemon, "cassia_attempts_remembered",
		  (int64_t)attempt_table_count(daemon->attempts));
	warm_up_watch_set_metrics(daemon);
	upstream_rate_set_metrics(daemon);
	crash_watch_set_metrics(daemon);
	set_link_metrics(daemon);
	set_placement_metrics(daemon);
	control_set_metrics(daemon);
	config_set_metrics(daemon);
	processor_use_set_metrics(daemon);
	if (headers)
		http_headers_add(headers, CAS_STR("Content-Type"),
				 CAS_STR("text/plain; version=0.0.4"));
	http_exchange_reply_text(exchange, 200, headers,
				 cas_metrics_print(daemon->metrics, exchange));
}

/* Appends the errors of the last refused document to a JSON array. */
static void add_faults(const cassiad_t *daemon, config_document_t document,
		       json_t *list)
{
	const config_faults_t *faults =
		config_store_faults(daemon->store, document);
	TALLOC_CTX *ctx = talloc_new(NULL);

	for (size_t i = 0; faults && i < faults->count; i++)
		json_array_append_new(
			list,
			json_string(config_fault_print(
				ctx,
				document == CONFIG_TABLE ? "table" : "hosts",
				&faults->items[i])));
	talloc_free(ctx);
}

/* Adds the evacuated data centres; a deployment without any has no such
 * member. */
static void add_evacuated(const cassiad_t *daemon, json_t *status)
{
	const roster_t *roster = daemon->roster;
	json_t *names;

	if (!status || !roster || !roster->evacuated.count)
		return;
	names = json_array();
	for (size_t i = 0; i < roster->evacuated.count; i++)
		json_array_append_new(
			names, json_stringn(roster->evacuated.names[i].ptr,
					    roster->evacuated.names[i].len));
	json_object_set_new(status, "evacuated", names);
}

static void handle_status(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t host = daemon->settings->host;
	json_t *faults = json_array();
	int64_t uptime_us = cas_clock_now(daemon->clock) - daemon->started_us;
	json_t *status;

	add_faults(daemon, CONFIG_TABLE, faults);
	add_faults(daemon, CONFIG_HOSTS, faults);
	status = json_pack(
		"{s:s%, s:I, s:s, s:I, s:I, s:b, s:I, s:o}", "host", host.ptr,
		host.len, "incarnation", (json_int_t)daemon->incarnation,
		"state", daemon_state(daemon), "table_revision",
		(json_int_t)config_store_revision(daemon->store, CONFIG_TABLE),
		"hosts_revision",
		(json_int_t)config_store_revision(daemon->store, CONFIG_HOSTS),
		"fence_held", control_fence_held(daemon), "uptime_s",
		(json_int_t)(uptime_us / CAS_USEC_PER_SEC), "faults", faults);
	add_evacuated(daemon, status);
	reply_json(exchange, 200, status);
}

static void handle_top(cassiad_t *daemon, http_exchange_t *exchange)
{
	reply_json(exchange, 200,
		   json_pack("{s:o}", "customers", stats_top(daemon)));
}

static void handle_explain(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t query = http_target_query(http_exchange_target(exchange));
	json_t *found =
		stats_explain(daemon, http_query_value(query, CAS_STR("id")));

	if (found)
		reply_json(exchange, 200, found);
	else
		http_exchange_reply_text(exchange, 404, NULL,
					 CAS_STR("not found\n"));
}

/* Returns a value of a query without its escapes (owned by ctx), empty if it is
 * not given. */
static cas_str_t query_text(TALLOC_CTX *ctx, cas_str_t query, cas_str_t name)
{
	cas_str_t value = http_query_value(query, name);
	char *text = value.ptr ? g_uri_unescape_segment(
					 value.ptr, value.ptr + value.len, NULL)
			       : NULL;
	char *copy = text ? talloc_strdup(ctx, text) : NULL;

	g_free(text);
	return copy ? cas_str_from_cstr(copy) : CAS_STR("");
}

static void handle_placement(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t query = http_target_query(http_exchange_target(exchange));
	cas_str_t bytes = query_text(exchange, query, CAS_STR("body_bytes"));
	const placement_question_t question = {
		.host = query_text(exchange, query, CAS_STR("host")),
		.method = query_text(exchange, query, CAS_STR("method")),
		.path = query_text(exchange, query, CAS_STR("path")),
		.customer = query_text(exchange, query, CAS_STR("customer")),
		.body_bytes = bytes.len ? strtoll(bytes.ptr, NULL, 10) : 0,
	};
	json_t *report = placement_report_create(daemon, &question);

	if (report)
		reply_json(exchange, 200, report);
	else
		http_exchange_reply_text(exchange, 404, NULL,
					 CAS_STR("no route\n"));
}

static void handle_drain(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t query = http_target_query(http_exchange_target(exchange));
	cas_str_t goal = http_query_value(query, CAS_STR("goal"));
	int error = daemon_drain(daemon, cas_str_equal(goal, CAS_STR("stop"))
						 ? DRAIN_GOAL_STOP
						 : DRAIN_GOAL_UPSTREAM);

	reply_json(exchange, error ? 409 : 202,
		   json_pack("{s:s}", "state", daemon_state(daemon)));
}

static const operator_route_t operator_routes[] = {
	{ "GET", "/healthz", handle_healthz },
	{ "GET", "/readyz", handle_readyz },
	{ "GET", "/metrics", handle_metrics },
	{ "GET", "/status", handle_status },
	{ "GET", "/top", handle_top },
	{ "GET", "/explain", handle_explain },
	{ "GET", "/placement", handle_placement },
	{ "POST", "/drain", handle_drain },
};

static void on_request(void *private, http_exchange_t *exchange)
{
	(void)private;
	http_exchange_read_body(exchange, 4096);
}

static void on_body(void *private, http_exchange_t *exchange)
{
	cas_str_t path = http_target_path(http_exchange_target(exchange));
	cas_str_t method = http_exchange_method(exchange);
	const http_problem_t problem = { .status = 404,
					 .outcome = "not-run",
					 .reason = "no-page" };

	if (!http_body_is_closed(http_exchange_body(exchange)) ||
	    http_exchange_has_reply(exchange))
		return;
	for (size_t i = 0;
	     i < sizeof(operator_routes) / sizeof(*operator_routes); i++) {
		if (cas_str_equal(path,
				  cas_str_from_cstr(operator_routes[i].path)) &&
		    cas_str_equal(method, cas_str_from_cstr(
						  operator_routes[i].method))) {
			operator_routes[i].handle(private, exchange);
			return;
		}
	}
	http_problem_reply(exchange, &problem);
}

static void on_closed(void *private, http_exchange_t *exchange, bool complete)
{
	(void)private;
	(void)exchange;
	(void)complete;
}

const http_server_ops_t operator_server_ops = {
	.request = on_request,
	.body = on_body,
	.closed = on_closed,
};
