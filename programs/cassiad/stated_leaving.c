/* Remembers which upstream instances have said that they leave. */
#include "stated_leaving.h"

#include "cassia/log.h"

/* An instance is forgotten after this time without an entry in the host list.
 * Lists of peers may lack an entry for a moment. */
#define ABSENCE_MAX_US (60 * CAS_USEC_PER_SEC)

typedef struct leaving_instance {
	cas_id_t instance;
	int64_t listed_us; /* when the host list had it, or the response came */
} leaving_instance_t;

struct stated_leaving {
	GHashTable *instances; /* leaving_instance_t, keyed by instance */
};

static int stated_leaving_destroy(stated_leaving_t *leaving)
{
	g_hash_table_destroy(leaving->instances);
	return 0;
}

int stated_leaving_create(cassiad_t *daemon)
{
	stated_leaving_t *leaving = talloc_zero(daemon, stated_leaving_t);

	if (!leaving)
		return BASE_ENOMEM;
	leaving->instances = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	talloc_set_destructor(leaving, stated_leaving_destroy);
	daemon->stated_leaving = leaving;
	return 0;
}

cas_id_t stated_leaving_instance(const roster_host_t *host)
{
	return host->instance.len ? cas_id_of(host->instance) : host->id;
}

cas_id_t stated_leaving_instance_on(const cassiad_t *daemon, cas_id_t host)
{
	const roster_host_t *entry =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;

	return entry ? stated_leaving_instance(entry) : 0;
}

static void log_instance(const cassiad_t *daemon, cas_id_t id)
{
	const roster_host_t *host =
		daemon->roster ? roster_find(daemon->roster, id) : NULL;

	cas_log(CAS_LOG_INFO, "upstream_leaving",
		CAS_LOG_STR("host", host ? host->name : CAS_STR("-")),
		CAS_LOG_STR("instance", host ? host->instance : CAS_STR("-")),
		CAS_LOG_INT("listed_leaving", host && host->leaving),
		CAS_LOG_INT("hosts_revision",
			    daemon->roster ? daemon->roster->revision : 0));
}

bool stated_leaving_is_in(const cassiad_t *daemon,
			  const http_headers_t *headers)
{
	const http_header_t *field =
		http_profile_find(&daemon->profile->leaving, headers);

	return field && cas_str_equal(field->value, CAS_STR("1"));
}

void stated_leaving_note(cassiad_t *daemon, cas_id_t instance, cas_id_t host)
{
	GHashTable *instances = daemon->stated_leaving->instances;
	leaving_instance_t *entry;

	if (!instance || g_hash_table_contains(instances, &instance))
		return;
	entry = g_new0(leaving_instance_t, 1);
	entry->instance = instance;
	entry->listed_us = cas_clock_now(daemon->clock);
	g_hash_table_insert(instances, &entry->instance, entry);
	log_instance(daemon, host);
	config_apply_leaving(daemon);
}

bool stated_leaving_has(const cassiad_t *daemon, const roster_host_t *host)
{
	cas_id_t instance = stated_leaving_instance(host);

	return g_hash_table_contains(daemon->stated_leaving->instances,
				     &instance);
}

static gboolean is_absent(gpointer key, gpointer value, gpointer private)
{
	const leaving_instance_t *entry = value;
	const int64_t *now_us = private;

	(void)key;
	return *now_us - entry->listed_us > ABSENCE_MAX_US;
}

void stated_leaving_tick(cassiad_t *daemon)
{
	GHashTable *instances = daemon->stated_leaving->instances;
	const roster_t *roster = daemon->roster;
	int64_t now_us = cas_clock_now(daemon->clock);

	if (!g_hash_table_size(instances))
		return;
	for (size_t i = 0; roster && i < roster->host_count; i++) {
		cas_id_t id = stated_leaving_instance(&roster->hosts[i]);
		leaving_instance_t *entry = g_hash_table_lookup(instances, &id);

		if (entry)
			entry->listed_us = now_us;
	}
	g_hash_table_foreach_remove(instances, is_absent, &now_us);
}
