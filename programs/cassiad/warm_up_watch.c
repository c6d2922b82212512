/*
 * The warm-up of the upstream of this host, as seen by the daemon: which events
 * begin one, when a health request is due, and what is logged. The decisions
 * are made in admission.
 */
#include "warm_up_watch.h"

#include "cassia/http_error.h"
#include "cassia/log.h"
#include "health_check.h"

#define MICRO_PER_UNIT 1e6
/* Ratios are logged and exported in per mille. */
#define PERMILLE 1000
/* Shortest time between two log lines about a reduced concurrency. */
#define FALL_BACK_LINE_US CAS_USEC_PER_SEC

struct warm_up_watch {
	health_check_t *health;
	bool listed; /* a host list had an entry */
	cas_id_t instance; /* in the last entry, 0: none */
	int32_t entry_cold_ms; /* in the last entry */
	uint64_t malformed_reports; /* of the load, since the start */
	bool open; /* the last entry let requests through */
	/* What was logged. */
	uint64_t begins_logged;
	uint64_t ends_logged;
	uint64_t fall_backs_logged;
	int64_t fall_back_line_us;
};

int warm_up_watch_create(cassiad_t *daemon)
{
	warm_up_watch_t *watch = talloc_zero(daemon, warm_up_watch_t);

	if (!watch)
		return ADMISSION_ENOMEM;
	watch->health = health_check_create(daemon);
	if (!watch->health) {
		talloc_free(watch);
		return ADMISSION_ENOMEM;
	}
	daemon->warm_up_watch = watch;
	return 0;
}

static const table_service_t *own_service(const cassiad_t *daemon)
{
	return daemon->table ? table_find_service(daemon->table,
						  daemon->settings->service_id)
			     : NULL;
}

/* Sets the rules of the table and the settings. */
static void set_rules(cassiad_t *daemon, const table_service_t *service)
{
	admission_warm_up_rules_t rules = {
		.in_force = daemon_hosts_are_shared(daemon),
	};

	if (service && service->warm_up_rate_micro > 0) {
		rules.in_force = true;
		rules.cold_rate_per_s =
			(double)service->warm_up_rate_micro / MICRO_PER_UNIT *
			(double)daemon->settings->warm_up.factor_micro /
			MICRO_PER_UNIT;
		rules.cold_max_us = service->warm_up_ms * CAS_USEC_PER_MSEC;
	}
	if (admission_set_warm_up(daemon->admission, &rules))
		cas_log(CAS_LOG_ERROR, "warm_up_rules_not_set",
			CAS_LOG_INT("error", ADMISSION_ENOMEM));
}

/* Returns whether requests may reach the upstream at all. While its data centre
 * is evacuated, drain holds the upstream closed. */
static bool is_open(const cassiad_t *daemon)
{
	return daemon->roster && daemon->own_listing == OWN_LISTING_SERVING &&
	       drain_accepts_upstream_work(daemon->drain);
}

/* Asks the upstream how long it is cold, if that is in doubt. */
static void ask_in_doubt(cassiad_t *daemon, const table_service_t *service)
{
	if (!is_open(daemon))
		return;
	if (!service || service->warm_up_rate_micro <= 0 ||
	    !service->health_path.len || !daemon->profile->warm_up_left.len)
		return;
	if (admission_warm_up_status(daemon->admission).in_doubt)
		health_check_request(daemon->warm_up_watch->health,
				     service->health_path);
}

static void begin(cassiad_t *daemon, admission_warm_up_cause_t cause,
		  int32_t cold_ms)
{
	admission_begin_warm_up(daemon->admission, cause,
				cold_ms * CAS_USEC_PER_MSEC);
	ask_in_doubt(daemon, own_service(daemon));
}

void warm_up_watch_listing(cassiad_t *daemon, const roster_host_t *host)
{
	warm_up_watch_t *watch = daemon->warm_up_watch;
	cas_id_t instance =
		host && host->instance.len ? cas_id_of(host->instance) : 0;
	bool open = is_open(daemon);
	bool was_open = watch->open;
	bool is_new = !watch->listed || instance != watch->instance;
	int32_t cold_ms = host ? host->warm_up_ms : 0;
	bool colder = cold_ms > watch->entry_cold_ms;

	watch->open = open;
	if (!host)
		return;
	watch->listed = true;
	watch->instance = instance;
	watch->entry_cold_ms = cold_ms;
	/* An entry that is not open yet begins the warm-up when it is. */
	if (!open)
		return;
	if (is_new)
		begin(daemon, ADMISSION_WARM_UP_LISTED, cold_ms);
	else if (!was_open)
		begin(daemon, ADMISSION_WARM_UP_RETURNED, cold_ms);
	else if (colder)
		begin(daemon, ADMISSION_WARM_UP_TOLD_COLD, cold_ms);
}

void warm_up_watch_call(cassiad_t *daemon, int http_error)
{
	switch (http_error) {
	case HTTP_ECONNECT:
		begin(daemon, ADMISSION_WARM_UP_REFUSED, 0);
		break;
	case HTTP_ERESET:
	case HTTP_ETRUNCATED:
		begin(daemon, ADMISSION_WARM_UP_BROKEN, 0);
		break;
	default:
		break;
	}
}

void warm_up_watch_load(cassiad_t *daemon, const http_headers_t *headers)
{
	warm_up_watch_t *watch = daemon->warm_up_watch;
	load_report_t report;
	cas_str_t text;

	if (!daemon->profile->server_load.len ||
	    !http_headers_find(headers, daemon->profile->server_load))
		return;
	text = http_headers_value(headers, daemon->profile->server_load);
	report = load_report_parse(text);
	if (!report.known) {
		watch->malformed_reports++;
		return;
	}
	if (report.slowdown)
		daemon->slowdown_seen_us = cas_clock_now(daemon->clock);
	admission_note_load(daemon->admission, &report);
}

static void log_begin(const cassiad_t *daemon,
		      const admission_warm_up_status_t *status)
{
	cas_log(CAS_LOG_INFO, "warm_up_begins",
		CAS_LOG_CSTR("cause",
			     admission_warm_up_cause_name(status->cause)),
		CAS_LOG_INT("cold_left_ms",
			    status->cold_left_us / CAS_USEC_PER_MSEC),
		CAS_LOG_INT("in_doubt", status->in_doubt),
		CAS_LOG_INT("allowed", (int64_t)status->allowed),
		CAS_LOG_INT("limit", admission_limit(daemon->admission)),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)));
}

static void log_end(const cassiad_t *daemon,
		    const admission_warm_up_status_t *status)
{
	cas_log(CAS_LOG_INFO, "warm_up_ends",
		CAS_LOG_CSTR("cause",
			     admission_warm_up_cause_name(status->cause)),
		CAS_LOG_INT("limit", admission_limit(daemon->admission)),
		CAS_LOG_INT("ratio_permille",
			    (int64_t)(status->recent_ratio * PERMILLE)),
		CAS_LOG_INT("reductions", (int64_t)status->fall_back_count));
}

static void log_fall_back(const cassiad_t *daemon,
			  const admission_warm_up_status_t *status)
{
	cas_log(CAS_LOG_INFO, "warm_up_reduced",
		CAS_LOG_CSTR("cause",
			     admission_fall_back_name(status->fall_back_cause)),
		CAS_LOG_INT("allowed", (int64_t)status->allowed),
		CAS_LOG_INT("ratio_permille",
			    (int64_t)(status->recent_ratio * PERMILLE)),
		CAS_LOG_INT("first_ratio_permille",
			    (int64_t)(status->base_ratio * PERMILLE)),
		CAS_LOG_INT("reductions", (int64_t)status->fall_back_count),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)));
}

/* Logs what has changed since the last call. Changes that are not in force are
 * not logged, also not later. */
static void log_changes(cassiad_t *daemon, bool in_force)
{
	warm_up_watch_t *watch = daemon->warm_up_watch;
	const admission_warm_up_status_t status =
		admission_warm_up_status(daemon->admission);
	int64_t now_us = cas_clock_now(daemon->clock);

	if (in_force && status.begin_count != watch->begins_logged)
		log_begin(daemon, &status);
	watch->begins_logged = status.begin_count;
	if (in_force && status.fall_back_count != watch->fall_backs_logged &&
	    now_us - watch->fall_back_line_us < FALL_BACK_LINE_US)
		return;
	if (in_force && status.fall_back_count != watch->fall_backs_logged) {
		watch->fall_back_line_us = now_us;
		log_fall_back(daemon, &status);
	}
	watch->fall_backs_logged = status.fall_back_count;
	if (in_force && status.end_count != watch->ends_logged)
		log_end(daemon, &status);
	watch->ends_logged = status.end_count;
}

void warm_up_watch_tick(cassiad_t *daemon)
{
	const table_service_t *service = own_service(daemon);

	set_rules(daemon, service);
	ask_in_doubt(daemon, service);
	log_changes(daemon,
		    daemon_hosts_are_shared(daemon) ||
			    (service && service->warm_up_rate_micro > 0));
}

static void set_metric(cassiad_t *daemon, const char *name, int64_t value)
{
	cas_metrics_set(daemon->metrics, name, "", value);
}

void warm_up_watch_set_metrics(cassiad_t *daemon)
{
	const admission_warm_up_status_t status =
		admission_warm_up_status(daemon->admission);
	const health_check_t *health = daemon->warm_up_watch->health;

	set_metric(daemon, "cassia_warm_up_active", status.limits);
	set_metric(daemon, "cassia_warm_up_allowed", (int64_t)status.allowed);
	set_metric(daemon, "cassia_warm_up_cold_left_ms",
		   status.cold_left_us / CAS_USEC_PER_MSEC);
	set_metric(daemon, "cassia_warm_up_reductions_total",
		   (int64_t)status.fall_back_count);
	set_metric(daemon, "cassia_load_reports_malformed_total",
		   (int64_t)daemon->warm_up_watch->malformed_reports);
	set_metric(daemon, "cassia_load_reports_implausible_total",
		   (int64_t)admission_refused_reports(daemon->admission));
	set_metric(daemon, "cassia_health_requests_total",
		   (int64_t)health_check_sent(health));
	set_metric(daemon, "cassia_health_answers_total",
		   (int64_t)health_check_answered(health));
}
