/* Fake service for tables and host lists: their texts, and the faults of the
 * service. */
#include "documents.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define REVISIONS_MAX 1024
/* Means of exponentially distributed times. */
#define MEAN_TABLE_INTERVAL_US 6e6
#define MEAN_HOSTS_INTERVAL_US 30e6
#define MEAN_HEALTHY_US 25e6
#define MEAN_FAULT_US 8e6
#define INVALID_TABLE_PROBABILITY 0.1

/* DOWN returns nothing, STALE the same revision all the time, and ROTATING
 * another revision every second. */
typedef enum health { HEALTHY, DOWN, STALE, ROTATING, HEALTH_COUNT } health_t;

/* The text of one revision of a document. */
typedef struct document_text {
	char *text;
	bool valid;
} document_text_t;

struct documents {
	fleet_t *fleet;
	document_text_t texts[CONFIG_DOCUMENT_COUNT][REVISIONS_MAX];
	int64_t newest[CONFIG_DOCUMENT_COUNT]; /* revisions */
	int64_t next_publish_us[CONFIG_DOCUMENT_COUNT];
	/* Revisions that are returned while STALE. */
	int64_t stale_revisions[CONFIG_DOCUMENT_COUNT];
	health_t health;
	int64_t health_change_us; /* when health changes next */
	uint64_t fault_count;
};

/* Returns the time of an event after a random delay of mean microseconds on
 * average. */
static int64_t random_time_after_now(documents_t *documents, double mean)
{
	sim_t *sim = documents->fleet->sim;

	return sim_now(sim) + (int64_t)cas_rng_exponential(sim_rng(sim), mean);
}

static char *format_table(documents_t *documents, int64_t revision, bool valid)
{
	char *text = talloc_asprintf(
		documents,
		"revision = %" PRId64
		"\nsalt = \"000102030405060708090a0b0c0d0e0f\"\n",
		revision);

	for (size_t i = 0; i < documents->fleet->config.dcs; i++)
		text = talloc_asprintf_append(
			text,
			"[[data_centre]]\nname = \"dc-%zu\"\n"
			"region = \"region-%zu\"\n",
			i, i % documents->fleet->config.regions);
	return talloc_asprintf_append(
		text,
		"[[service]]\nname = \"booking\"\n"
		"[[customer]]\nname = \"acme\"\nrate = %s\nburst = 5\n"
		"[[key]]\ncustomer = \"acme\"\nhash = \"%064" PRIx64 "\"\n"
		"[end]\n",
		valid ? "2.5" : "-1", (uint64_t)revision);
}

static char *format_hosts(documents_t *documents, int64_t revision)
{
	fleet_t *fleet = documents->fleet;
	char *text = talloc_asprintf(documents, "revision = %" PRId64 "\n",
				     revision);

	for (size_t i = 0; i < fleet->host_count; i++)
		text = talloc_asprintf_append(
			text,
			"[[host]]\nname = \"host-%zu\"\n"
			"service = \"booking\"\ndata_centre = \"dc-%zu\"\n"
			"address = \"127.0.0.%zu\"\n"
			"peer_port = 7001\ncontrol_port = 7002\n",
			i, fleet->hosts[i].dc, i + 1);
	return talloc_asprintf_append(text, "[end]\n");
}

static void publish(documents_t *documents, config_document_t document)
{
	int64_t revision = ++documents->newest[document];
	document_text_t *text = &documents->texts[document][revision];

	if (revision == REVISIONS_MAX)
		abort();
	text->valid =
		document == CONFIG_HOSTS || revision == 1 ||
		!sim_chance(documents->fleet->sim, INVALID_TABLE_PROBABILITY);
	text->text = document == CONFIG_TABLE
			     ? format_table(documents, revision, text->valid)
			     : format_hosts(documents, revision);
	if (!text->text)
		abort();
	documents->next_publish_us[document] = random_time_after_now(
		documents, document == CONFIG_TABLE ? MEAN_TABLE_INTERVAL_US
						    : MEAN_HOSTS_INTERVAL_US);
}

documents_t *documents_create(TALLOC_CTX *ctx, fleet_t *fleet)
{
	documents_t *documents = sim_zero(ctx, documents_t);

	documents->fleet = fleet;
	publish(documents, CONFIG_TABLE);
	publish(documents, CONFIG_HOSTS);
	documents->health_change_us =
		random_time_after_now(documents, MEAN_HEALTHY_US);
	return documents;
}

static void change_health(documents_t *documents)
{
	cas_rng_t *rng = sim_rng(documents->fleet->sim);

	if (documents->health != HEALTHY) {
		documents->health = HEALTHY;
		documents->health_change_us =
			random_time_after_now(documents, MEAN_HEALTHY_US);
		return;
	}
	documents->fault_count++;
	documents->health =
		(health_t)(1 + cas_rng_below(rng, HEALTH_COUNT - 1));
	documents->health_change_us =
		random_time_after_now(documents, MEAN_FAULT_US);
	for (int i = 0; i < CONFIG_DOCUMENT_COUNT; i++)
		documents->stale_revisions[i] =
			1 + cas_rng_below(rng, (uint32_t)documents->newest[i]);
}

void documents_step(documents_t *documents)
{
	int64_t now = sim_now(documents->fleet->sim);

	for (int i = 0; i < CONFIG_DOCUMENT_COUNT; i++) {
		if (now >= documents->next_publish_us[i])
			publish(documents, (config_document_t)i);
	}
	if (now >= documents->health_change_us)
		change_health(documents);
}

int64_t documents_served_revision(const documents_t *documents,
				  config_document_t document)
{
	int64_t newest = documents->newest[document];
	int64_t second = sim_now(documents->fleet->sim) / CAS_USEC_PER_SEC;

	switch (documents->health) {
	case DOWN:
		return 0;
	case STALE:
		return documents->stale_revisions[document];
	case ROTATING:
		return 1 + second * 7 % newest;
	default:
		return newest;
	}
}

cas_str_t documents_text(const documents_t *documents,
			 config_document_t document, int64_t revision)
{
	return cas_str_from_cstr(documents->texts[document][revision].text);
}

int64_t documents_newest(const documents_t *documents,
			 config_document_t document)
{
	return documents->newest[document];
}

bool documents_valid(const documents_t *documents, config_document_t document,
		     int64_t revision)
{
	return documents->texts[document][revision].valid;
}

bool documents_healthy(const documents_t *documents)
{
	return documents->health == HEALTHY;
}

uint64_t documents_faults(const documents_t *documents)
{
	return documents->fault_count;
}

bool documents_has_key(const table_t *table, int64_t revision)
{
	for (size_t i = 0; i < table->key_count; i++) {
		const uint8_t *hash = table->keys[i].hash;
		int64_t number = 0;

		for (size_t j = 0; j < sizeof(number); j++)
			number =
				number << 8 |
				hash[TABLE_KEY_HASH_BYTES - sizeof(number) + j];
		if (number == revision)
			return true;
	}
	return false;
}
