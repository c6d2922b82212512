/* Loads the settings, holds the table and the host list, and applies changes of
 * them to the other components. */
#include "cassia/log.h"
#include "cassia/platform.h"
#include "cassia/watching.h"
#include "control.h"
#include "stop.h"
#include "daemon.h"
#include "fetch.h"
#include "crash_watch.h"
#include "stated_leaving.h"
#include "upstream_rate.h"
#include "warm_up_watch.h"

/* A host list that is copied from another daemon after it was missing for this
 * long has reached the others before. */
#define LATE_LIST_US (300 * CAS_USEC_PER_MSEC)
/* Multiplier of the 64-bit FNV hash, for the digest of host ids. */
#define FNV_PRIME UINT64_C(0x100000001b3)

static void log_faults(const char *event, const char *file,
		       const config_faults_t *faults)
{
	TALLOC_CTX *ctx = talloc_new(NULL);

	for (size_t i = 0; faults && i < faults->count; i++)
		cas_log(CAS_LOG_ERROR, event,
			CAS_LOG_CSTR("fault",
				     config_fault_print(ctx, file,
							&faults->items[i])));
	talloc_free(ctx);
}

settings_t *config_read_settings(TALLOC_CTX *ctx, const char *path)
{
	TALLOC_CTX *temporary = talloc_new(NULL);
	config_faults_t *faults = config_faults_create(temporary);
	settings_t *settings = NULL;
	cas_str_t text;
	int error = config_read_file(temporary, path, &text);

	if (error) {
		cas_log(CAS_LOG_ERROR, "settings_unreadable",
			CAS_LOG_CSTR("path", path));
	} else if (settings_read(ctx, text, faults, &settings)) {
		log_faults("settings_refused", path, faults);
		settings = NULL;
	}
	talloc_free(temporary);
	return settings;
}

static bool is_draining(const cassiad_t *daemon, cas_id_t host)
{
	if (host == daemon->settings->host_id)
		return drain_state(daemon->drain) != DRAIN_SERVING;
	return control_is_draining(daemon, host);
}

/* Tells routing which daemons announce a drain. */
static void update_stopping(cassiad_t *daemon)
{
	const roster_t *roster = daemon->roster;

	for (size_t i = 0; i < roster->host_count; i++) {
		cas_id_t id = roster->hosts[i].id;

		routing_set_stopping(daemon->routing, id,
				     is_draining(daemon, id));
	}
}

/* Returns whether the upstream of a host leaves although the host list does not
 * say so: the list may be that of a peer that does not know of it, and an
 * upstream may say so earlier in its responses. */
static bool has_left(const cassiad_t *daemon, const roster_host_t *host)
{
	if (stated_leaving_has(daemon, host))
		return true;
	return daemon->source && host->instance.len &&
	       source_has_left(daemon->source, host->instance);
}

/* Gives routing the table and a copy of the host list in which further hosts
 * are marked as leaving. */
static void update_routing(cassiad_t *daemon)
{
	roster_t patched = *daemon->roster;
	const settings_t *settings = daemon->settings;

	if (daemon->source)
		daemon->routed_changes = source_change_count(daemon->source);
	patched.hosts =
		talloc_memdup(daemon, patched.hosts,
			      patched.host_count * sizeof(*patched.hosts));
	if (!patched.hosts)
		return;
	for (size_t i = 0; i < patched.host_count; i++) {
		if (has_left(daemon, &patched.hosts[i]))
			patched.hosts[i].leaving = true;
	}
	routing_set_view(daemon->routing, daemon->table, &patched,
			 settings->host_id, settings->data_centre_id);
	talloc_free(patched.hosts);
	update_stopping(daemon);
}

static own_listing_t own_listing_of(const cassiad_t *daemon,
				    const roster_host_t *host)
{
	if (!host)
		return daemon->own_listing == OWN_LISTING_NONE
			       ? OWN_LISTING_NONE
			       : OWN_LISTING_GONE;
	return host->leaving || has_left(daemon, host) ? OWN_LISTING_LEAVING
						       : OWN_LISTING_SERVING;
}

/* Returns for how long a newer revision of a document has been known to be
 * missing, in microseconds. */
static int64_t missing_us(const cassiad_t *daemon, config_document_t document)
{
	int64_t since_us = daemon->missing[document].since_us;

	return since_us ? cas_clock_now(daemon->clock) - since_us : 0;
}

/* An announcement gives other daemons the time to learn that the upstream leaves.
 * If this one learned it from them, and late, they have known it for as long. */
static void begin_upstream_drain(cassiad_t *daemon)
{
	daemon->leaving_since_us = cas_clock_now(daemon->clock);
	daemon_drain(daemon, DRAIN_GOAL_UPSTREAM);
	if (daemon->offering_host &&
	    missing_us(daemon, CONFIG_HOSTS) >= LATE_LIST_US)
		drain_close_upstream(daemon->drain);
}

static void follow_own_listing(cassiad_t *daemon, own_listing_t previous)
{
	switch (daemon->own_listing) {
	case OWN_LISTING_SERVING:
		if (previous == OWN_LISTING_NONE)
			return;
		drain_cancel(daemon->drain);
		control_set_draining(daemon, drain_state(daemon->drain) !=
						     DRAIN_SERVING);
		return;
	case OWN_LISTING_LEAVING:
		begin_upstream_drain(daemon);
		return;
	case OWN_LISTING_GONE:
		drain_close_upstream(daemon->drain);
		return;
	case OWN_LISTING_NONE:
		return;
	}
}

/* Applies the row of this host in the host list: the slots of its upstream, and
 * a drain while the upstream leaves, also if only the source knows of that.
 * Without a row the upstream is closed, unless no list has had one yet: other
 * daemons may read first that it has started. */
static void apply_own_listing(cassiad_t *daemon)
{
	const roster_host_t *host =
		roster_find(daemon->roster, daemon->settings->host_id);
	own_listing_t previous = daemon->own_listing;

	daemon->own_listing = own_listing_of(daemon, host);
	if (daemon->own_listing != previous)
		follow_own_listing(daemon, previous);
	warm_up_watch_listing(daemon, host);
	upstream_rate_listing(daemon, host);
	/* May start queued requests. */
	admission_set_slots(daemon->admission, host ? host->slots : 0);
}

void config_apply_leaving(cassiad_t *daemon)
{
	if (!daemon->roster || !daemon->table)
		return;
	apply_own_listing(daemon);
	update_routing(daemon);
}

void config_apply(cassiad_t *daemon)
{
	if (daemon->table)
		keys_set_table(daemon->keys, daemon->table);
	control_apply_config(daemon);
	if (daemon->roster)
		crash_watch_set_roster(daemon);
	if (daemon->table && daemon->roster)
		update_routing(daemon);
	entry_recheck_keys(daemon);
}

static void record_missing(cassiad_t *daemon, config_document_t document,
			   int64_t revision)
{
	missing_revision_t *missing = &daemon->missing[document];

	if (!missing->since_us)
		missing->since_us = cas_clock_now(daemon->clock);
	if (revision > missing->revision)
		missing->revision = revision;
}

/* Returns the name of the host that an accepted document comes from. */
static cas_str_t origin_name(const cassiad_t *daemon)
{
	const roster_host_t *host =
		daemon->roster
			? roster_find(daemon->roster, daemon->offering_host)
			: NULL;

	if (!daemon->offering_host)
		return CAS_STR("source");
	return host ? host->name : CAS_STR("seed");
}

static void log_accepted(cassiad_t *daemon, config_document_t document,
			 int64_t revision)
{
	int64_t late_us = missing_us(daemon, document);
	bool is_table = document == CONFIG_TABLE;

	cas_hist_add(cas_metrics_hist(daemon->metrics,
				      "cassia_document_missing_us",
				      is_table ? "document=\"table\""
					       : "document=\"hosts\""),
		     late_us);
	cas_log(CAS_LOG_INFO, is_table ? "table_accepted" : "hosts_accepted",
		CAS_LOG_INT("revision", revision),
		CAS_LOG_STR("from", origin_name(daemon)),
		CAS_LOG_INT("missing_us", late_us),
		CAS_LOG_INT("hosts",
			    daemon->roster ? (int64_t)daemon->roster->host_count
					   : 0));
	if (revision >= daemon->missing[document].revision)
		daemon->missing[document].since_us = 0;
}

/* A host list that shows no later state of the platform than the source has read
 * is not missing: the source numbers its own lists. */
static bool lacks(void *private, config_document_t document, int64_t revision)
{
	const cassiad_t *daemon = private;

	if (config_store_revision(daemon->store, document) >= revision)
		return false;
	return document == CONFIG_TABLE || !daemon->source ||
	       !source_has_read_hosts(daemon->source, revision);
}

void config_on_newer_revision(cassiad_t *daemon, config_document_t document,
			      int64_t revision, cas_id_t host)
{
	if (document == CONFIG_HOSTS && daemon->source)
		source_observe_hosts(daemon->source, revision);
	if (!lacks(daemon, document, revision))
		return;
	record_missing(daemon, document, revision);
	config_notices_add(daemon->notices, document, revision, host);
}

static bool source_delivers(void *private)
{
	const cassiad_t *daemon = private;

	return daemon->source && source_is_reachable(daemon->source);
}

/* A host in a region that is not known may be reached over any link. */
static bool in_own_region(void *private, cas_id_t host)
{
	const cassiad_t *daemon = private;
	const roster_host_t *entry =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;

	return !entry || !daemon->table ||
	       table_may_share_region(daemon->table, entry->data_centre_id,
				      daemon_data_centre(daemon));
}

static int64_t document_size(void *private, config_document_t document)
{
	const cassiad_t *daemon = private;

	if (document == CONFIG_TABLE)
		return daemon->table ? (int64_t)daemon->table->source.len : 0;
	return daemon->roster ? (int64_t)daemon->roster->source.len : 0;
}

static void check_source(void *private)
{
	const cassiad_t *daemon = private;

	source_check_now(daemon->source);
}

static int64_t delivery_delay(void *private)
{
	const cassiad_t *daemon = private;

	return source_delivery_delay(daemon->source);
}

static void fetch_document(void *private, config_document_t document,
			   cas_id_t host)
{
	cassiad_t *daemon = private;

	if (source_delivers(daemon))
		cas_log(CAS_LOG_INFO,
			document == CONFIG_TABLE ? "table_behind"
						 : "hosts_behind",
			CAS_LOG_INT("revision",
				    config_store_revision(daemon->store,
							  document)));
	fetch_start(daemon, host, document);
}

/* Forgets what is no longer missing although no document was accepted: the source
 * has read as far without a change of its own list. */
static void update_missing(cassiad_t *daemon, config_document_t document)
{
	missing_revision_t *missing = &daemon->missing[document];

	if (missing->since_us && !lacks(daemon, document, missing->revision))
		missing->since_us = 0;
}

static const config_notices_ops_t notices_ops = {
	.lacks = lacks,
	.source_delivers = source_delivers,
	.in_own_region = in_own_region,
	.size = document_size,
	.delivery_delay = delivery_delay,
	.check_source = check_source,
	.fetch = fetch_document,
};

/* Returns whether this daemon watches the platform if it is one of the watchers of
 * its data centre. */
static bool watches_as_watcher(const cassiad_t *daemon)
{
	const watching_t watching = {
		.table = daemon->table,
		.roster = daemon->roster,
		.host = daemon->settings->host_id,
		.data_centre = daemon_data_centre(daemon),
		.running_us = cas_clock_now(daemon->clock) - daemon->started_us,
	};

	return !source_watches_by_region(daemon->source) ||
	       watching_reads(&watching);
}

/* Tells the source whether this daemon watches the platform. */
static void update_watching(cassiad_t *daemon)
{
	bool watching;

	if (!daemon->source)
		return;
	watching = control_is_watcher(daemon) && watches_as_watcher(daemon);
	if (watching == daemon->watches_platform)
		return;
	daemon->watches_platform = watching;
	cas_log(CAS_LOG_INFO, "watching", CAS_LOG_INT("watching", watching));
	source_set_watching(daemon->source, watching);
}

void config_tick(cassiad_t *daemon)
{
	uint64_t digest = 0;

	update_watching(daemon);
	config_notices_tick(daemon->notices);
	update_missing(daemon, CONFIG_TABLE);
	update_missing(daemon, CONFIG_HOSTS);
	if (!daemon->roster || !daemon->table) {
		fetch_from_seed(daemon);
		return;
	}
	if (daemon->source &&
	    daemon->routed_changes != source_change_count(daemon->source)) {
		apply_own_listing(daemon);
		update_routing(daemon);
	}
	for (size_t i = 0; i < daemon->roster->host_count; i++) {
		cas_id_t id = daemon->roster->hosts[i].id;

		if (is_draining(daemon, id))
			digest = (digest ^ id) * FNV_PRIME;
	}
	if (digest == daemon->draining_digest)
		return;
	daemon->draining_digest = digest;
	update_stopping(daemon);
}

/* Logs when the first list of allowed regions comes into force, or the last one
 * ends. */
static void follow_region_limits(cassiad_t *daemon)
{
	bool limits_regions = table_limits_regions(daemon->table);

	if (limits_regions != daemon->limits_regions)
		cas_log(CAS_LOG_INFO, "allowed_regions",
			CAS_LOG_INT("limited", limits_regions),
			CAS_LOG_INT("revision", daemon->table->revision));
	daemon->limits_regions = limits_regions;
	daemon->customers_limit_regions =
		table_customers_limit_regions(daemon->table);
}

static void on_table(void *private, const table_t *table)
{
	cassiad_t *daemon = private;

	daemon->table = table;
	follow_region_limits(daemon);
	warm_up_watch_tick(daemon);
	config_apply(daemon);
	log_accepted(daemon, CONFIG_TABLE, table->revision);
}

static void on_hosts(void *private, const roster_t *roster)
{
	cassiad_t *daemon = private;
	const roster_t *previous = daemon->roster;

	daemon->roster = roster;
	/* First, as the own listing may open the upstream and start queued
	 * requests. */
	evacuation_follow(daemon, previous);
	apply_own_listing(daemon);
	config_apply(daemon);
	if (daemon->source)
		source_set_host_count(daemon->source, roster->host_count);
	/* Before the source decides whether it goes on reading. */
	update_watching(daemon);
	log_accepted(daemon, CONFIG_HOSTS, roster->revision);
}

static void on_refused(void *private, config_document_t document, int error,
		       const config_faults_t *faults)
{
	(void)private;
	(void)error;
	log_faults("document_refused",
		   document == CONFIG_TABLE ? "table" : "hosts", faults);
}

static const config_store_ops_t store_ops = {
	.table_changed = on_table,
	.hosts_changed = on_hosts,
	.refused = on_refused,
};

int config_start(cassiad_t *daemon)
{
	daemon->store = config_store_create(daemon, &store_ops, daemon);
	daemon->notices = config_notices_create(
		daemon, daemon->clock, daemon->rng, &notices_ops, daemon);
	return daemon->store && daemon->notices ? 0 : CONFIG_ENOMEM;
}

int config_open_source(cassiad_t *daemon)
{
	if (daemon->settings->source_kind == SETTINGS_SOURCE_PLATFORM)
		daemon->source = platform_source_create(
			daemon, daemon->ev, daemon->clock, daemon->rng,
			daemon->settings, &source_store_sink, daemon->store);
	else
		daemon->source = source_create(
			daemon, daemon->ev, daemon->rng, daemon->settings,
			&source_store_sink, daemon->store);
	return daemon->source ? 0 : CONFIG_ENOMEM;
}

void config_set_secrets(cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;

	daemon->secrets.count = 0;
	for (size_t i = 0; i < settings->secret_count; i++)
		attempt_secrets_add(&daemon->secrets,
				    settings->secrets[i].bytes,
				    settings->secrets[i].len);
}

/* Other settings, such as addresses and ports, need a restart. */
void config_reload(cassiad_t *daemon)
{
	settings_t *settings =
		config_read_settings(daemon, daemon->settings_path);

	if (settings) {
		daemon->settings->log_level = settings->log_level;
		memcpy(daemon->settings->secrets, settings->secrets,
		       sizeof(settings->secrets));
		daemon->settings->secret_count = settings->secret_count;
		daemon->settings->drain_timeout_ms = settings->drain_timeout_ms;
		talloc_free(settings);
		cas_log_set_level(daemon->settings->log_level);
		config_set_secrets(daemon);
		control_set_secrets(daemon);
		cas_log(CAS_LOG_INFO, "settings_read");
	}
	source_check_now(daemon->source);
}

void config_set_metrics(cassiad_t *daemon)
{
	const source_counters_t *counters = source_counters(daemon->source);

	if (!counters)
		return;
	cas_metrics_set(daemon->metrics, "cassia_source_calls_total", "",
			counters->calls);
	cas_metrics_set(daemon->metrics, "cassia_source_failed_calls_total", "",
			counters->failed_calls);
	cas_metrics_set(daemon->metrics, "cassia_source_dropped_calls_total",
			"", counters->dropped_calls);
	cas_metrics_set(daemon->metrics, "cassia_source_received_bytes_total",
			"", counters->received_bytes);
	cas_metrics_set(daemon->metrics, "cassia_source_wasted_bytes_total", "",
			counters->wasted_bytes);
}
