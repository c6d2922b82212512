/* Functions for every kind of source, and the sink that passes documents to the
 * configuration store. */
#include "cassia/source.h"

#include "cassia/log.h"

static int64_t store_revision(void *private, config_document_t document)
{
	return config_store_revision(private, document);
}

static int store_offer(void *private, config_document_t document,
		       cas_str_t text)
{
	return config_store_offer(private, document, text);
}

static void store_failed(void *private, config_document_t document,
			 const char *reason)
{
	(void)private;
	cas_log(CAS_LOG_WARN, "config_read_failed",
		CAS_LOG_CSTR("document",
			     document == CONFIG_TABLE ? "table" : "hosts"),
		CAS_LOG_CSTR("reason", reason));
}

static bool store_holds(void *private, config_document_t document,
			cas_str_t text)
{
	const table_t *table = config_store_table(private);
	const roster_t *roster = config_store_roster(private);

	if (document == CONFIG_TABLE)
		return table && cas_str_equal(table->source, text);
	return roster && cas_str_equal(roster->source, text);
}

const source_sink_t source_store_sink = {
	.revision = store_revision,
	.offer = store_offer,
	.failed = store_failed,
	.holds = store_holds,
};

void source_check_now(source_t *source)
{
	source->ops->check_now(source);
}

bool source_is_current(source_t *source, config_document_t document)
{
	return source->ops->is_current &&
	       source->ops->is_current(source, document);
}

bool source_is_reachable(source_t *source)
{
	return source->ops->is_reachable && source->ops->is_reachable(source);
}

bool source_has_left(source_t *source, cas_str_t instance)
{
	return source->ops->has_left && source->ops->has_left(source, instance);
}

uint64_t source_change_count(source_t *source)
{
	return source->ops->change_count ? source->ops->change_count(source)
					 : 0;
}

bool source_has_read_hosts(source_t *source, int64_t revision)
{
	return source->ops->has_read_hosts &&
	       source->ops->has_read_hosts(source, revision);
}

int64_t source_delivery_delay(source_t *source)
{
	return source->ops->delivery_delay ? source->ops->delivery_delay(source)
					   : 0;
}

bool source_watches_by_region(const source_t *source)
{
	return source->ops->watches_by_region;
}

void source_observe_hosts(source_t *source, int64_t revision)
{
	if (source->ops->observe_hosts)
		source->ops->observe_hosts(source, revision);
}

bool source_refresh_hosts(source_t *source)
{
	return source->ops->refresh_hosts && source->ops->refresh_hosts(source);
}

void source_set_host_count(source_t *source, size_t count)
{
	if (source->ops->set_host_count)
		source->ops->set_host_count(source, count);
}

const source_counters_t *source_counters(source_t *source)
{
	return source->ops->counters ? source->ops->counters(source) : NULL;
}

void source_set_watching(source_t *source, bool watching)
{
	source->ops->set_watching(source, watching);
}

source_t *source_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			cas_rng_t *rng, const settings_t *settings,
			const source_sink_t *sink, void *private)
{
	TALLOC_CTX *names = talloc_new(NULL);
	source_t *source;

	if (settings->source_kind == SETTINGS_SOURCE_FILE)
		source = source_create_file(
			ctx, ev, cas_str_dup(names, settings->table_path).ptr,
			cas_str_dup(names, settings->hosts_path).ptr, sink,
			private);
	else
		source = source_create_http(
			ctx, ev, rng,
			cas_str_dup(names, settings->source_url).ptr, sink,
			private);
	talloc_free(names);
	return source;
}
