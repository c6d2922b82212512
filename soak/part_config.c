/*
 * Connects config_store and config_boot to the fake service and the simulated
 * network in the same way as the daemon. Every daemon reads from the service
 * about once a minute, and watchers get each change at once. A newer table that
 * membership reports is fetched from the daemon that has it.
 */
#include "part_config.h"

#include "cassia/config_boot.h"
#include "part_membership.h"
#include "violations.h"

/* Mean time between two reads from the service. */
#define READ_PERIOD_US (60 * CAS_USEC_PER_SEC)
/* Least time between two fetches of a newer table from peers. */
#define MIN_FETCH_INTERVAL_US (200 * CAS_USEC_PER_MSEC)

enum kind { KIND_ASK, KIND_ANSWER, KIND_FETCH, KIND_DOCUMENT };

/* A message. The text of a document is not sent, only its revision. */
typedef struct message_body {
	config_document_t document; /* of KIND_FETCH and KIND_DOCUMENT */
	int64_t revisions[CONFIG_DOCUMENT_COUNT]; /* 0: none */
} message_body_t;

typedef struct state {
	fleet_host_t *host;
	config_store_t *store;
	config_boot_t *boot;
	bool ready; /* may serve */
	bool *asked; /* since the start, by host index */
	int64_t newest_accepted[CONFIG_DOCUMENT_COUNT]; /* revisions */
	/* Revisions that the service returned last. */
	int64_t service_revisions[CONFIG_DOCUMENT_COUNT];
	int64_t next_read_us; /* from the service */
	int64_t next_fetch_us; /* from a peer */
} state_t;

typedef struct shared {
	documents_t *documents;
	part_config_totals_t totals;
} shared_t;

static size_t part_index;

static shared_t *shared_of(fleet_t *fleet)
{
	return fleet->part_shared[part_index];
}

static state_t *state_of(fleet_host_t *host)
{
	return host->part_states[part_index];
}

const part_config_totals_t *part_config_totals(fleet_t *fleet)
{
	return &shared_of(fleet)->totals;
}

const config_store_t *part_config_store(fleet_host_t *host)
{
	return state_of(host)->store;
}

bool part_config_ready(fleet_host_t *host)
{
	return state_of(host)->ready;
}

bool part_config_asked(fleet_host_t *host, size_t peer)
{
	return state_of(host)->asked[peer];
}

/* Checks that the accepted revisions increase and that their texts are
 * valid. */
static void check_accepted_revision(state_t *state, config_document_t document,
				    int64_t revision)
{
	shared_t *shared = shared_of(state->host->fleet);

	if (revision <= state->newest_accepted[document])
		violations_add(state->host->fleet, state->host,
			       "check=revision_order document=%d from=%lld "
			       "to=%lld",
			       document,
			       (long long)state->newest_accepted[document],
			       (long long)revision);
	if (!documents_valid(shared->documents, document, revision))
		violations_add(state->host->fleet, state->host,
			       "check=faulty_document document=%d "
			       "revision=%lld",
			       document, (long long)revision);
	state->newest_accepted[document] = revision;
	shared->totals.digest =
		shared->totals.digest * UINT64_C(6364136223846793005) +
		(uint64_t)sim_now(state->host->fleet->sim) * 31 +
		(uint64_t)revision * 64 + state->host->index;
}

static void table_changed(void *private_data, const table_t *table)
{
	state_t *state = private_data;

	check_accepted_revision(state, CONFIG_TABLE, table->revision);
	membership_set_table_revision(part_membership_of(state->host),
				      table->revision);
}

static void hosts_changed(void *private_data, const roster_t *roster)
{
	check_accepted_revision(private_data, CONFIG_HOSTS, roster->revision);
}

static const config_store_ops_t store_ops = {
	.table_changed = table_changed,
	.hosts_changed = hosts_changed,
};

static void offer_revision(state_t *state, config_document_t document,
			   int64_t revision)
{
	shared_t *shared = shared_of(state->host->fleet);
	int error = 0;

	if (!revision)
		return;
	error = config_store_offer(
		state->store, document,
		documents_text(shared->documents, document, revision));
	shared->totals.offers++;
	shared->totals.accepted += !error;
	shared->totals.stale += error == CONFIG_ESTALE;
	shared->totals.refused += error == CONFIG_EFAULTS;
	if (error && error != CONFIG_ESTALE && error != CONFIG_EFAULTS)
		violations_add(state->host->fleet, state->host,
			       "check=offer error=%d", error);
}

static void send_message(fleet_host_t *host, cas_id_t to, int kind,
			 message_body_t body)
{
	fleet_send(host, to, part_index, kind, &body, sizeof(body), 0);
}

static void send_ask(void *private_data, cas_id_t peer)
{
	state_t *state = private_data;
	fleet_host_t *host = state->host;

	state->asked[fleet_find_host(host->fleet, peer)->index] = true;
	shared_of(host->fleet)->totals.asks++;
	send_message(host, peer, KIND_ASK, (message_body_t){ 0 });
}

static void send_fetch(void *private_data, cas_id_t peer,
		       config_document_t document, int64_t revision)
{
	state_t *state = private_data;

	(void)revision;
	shared_of(state->host->fleet)->totals.fetches++;
	send_message(state->host, peer, KIND_FETCH,
		     (message_body_t){ .document = document });
}

static const config_boot_ops_t boot_ops = { .query_revisions = send_ask,
					    .fetch = send_fetch };

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	state_t *state = sim_zero(ctx, state_t);

	state->host = host;
	state->asked = sim_zero_array(state, bool, host->fleet->host_count);
	state->store =
		sim_require(config_store_create(state, &store_ops, state));
	state->boot = sim_require(config_boot_create(
		state, host->clock, state->store, &boot_ops, state));
	shared_of(host->fleet)->totals.boots++;
	return state;
}

/* Reads both documents from the service and offers them to the store; with
 * changed_only, just those whose revision differs from that of the last
 * read. */
static void read_service(fleet_host_t *host, bool changed_only)
{
	state_t *state = state_of(host);
	documents_t *documents = shared_of(host->fleet)->documents;

	if (host->fleet->isolated[host->index])
		return;
	for (int i = 0; i < CONFIG_DOCUMENT_COUNT; i++) {
		config_document_t document = (config_document_t)i;
		int64_t revision =
			documents_served_revision(documents, document);

		if (changed_only && revision == state->service_revisions[i])
			continue;
		state->service_revisions[i] = revision;
		offer_revision(state, document, revision);
	}
}

static void tick(fleet_host_t *host)
{
	state_t *state = state_of(host);
	int64_t now = cas_clock_now(host->clock);

	if (now >= state->next_read_us) {
		state->next_read_us = now + READ_PERIOD_US / 2 +
				      cas_rng_below(sim_rng(host->fleet->sim),
						    READ_PERIOD_US);
		read_service(host, false);
	} else if (membership_is_watcher(part_membership_of(host))) {
		read_service(host, true);
	}
	if (state->ready)
		return;
	config_boot_tick(state->boot);
	state->ready = config_boot_ready(state->boot);
}

static void set_view(fleet_host_t *host)
{
	config_boot_set_roster(state_of(host)->boot, host->roster, host->id);
}

static void answer_ask(fleet_host_t *host, cas_id_t to)
{
	const state_t *state = state_of(host);
	message_body_t body = { 0 };

	body.revisions[CONFIG_TABLE] =
		membership_newest(part_membership_of(host)).table_revision;
	body.revisions[CONFIG_HOSTS] =
		config_store_revision(state->store, CONFIG_HOSTS);
	send_message(host, to, KIND_ANSWER, body);
}

static void answer_fetch(fleet_host_t *host, cas_id_t to, message_body_t body)
{
	body.revisions[body.document] =
		config_store_revision(state_of(host)->store, body.document);
	send_message(host, to, KIND_DOCUMENT, body);
}

static void on_message(fleet_host_t *host, const fleet_host_t *from,
		       uint64_t incarnation, int kind, const void *bytes)
{
	const message_body_t *body = bytes;
	state_t *state = state_of(host);

	(void)incarnation;
	switch (kind) {
	case KIND_ASK:
		answer_ask(host, from->id);
		break;
	case KIND_ANSWER:
		config_boot_answer(state->boot, from->id,
				   body->revisions[CONFIG_TABLE],
				   body->revisions[CONFIG_HOSTS]);
		break;
	case KIND_FETCH:
		answer_fetch(host, from->id, *body);
		break;
	default:
		offer_revision(state, body->document,
			       body->revisions[body->document]);
		break;
	}
}

static const fleet_part_t config_part = {
	.name = "config",
	.start = start,
	.tick = tick,
	.set_view = set_view,
	.on_message = on_message,
};

static void on_newer_table(fleet_host_t *host, int64_t revision, cas_id_t from)
{
	state_t *state = state_of(host);
	int64_t now = cas_clock_now(host->clock);

	if (now < state->next_fetch_us)
		return;
	state->next_fetch_us = now + MIN_FETCH_INTERVAL_US;
	send_fetch(state, from, CONFIG_TABLE, revision);
}

size_t part_config_add(fleet_t *fleet, documents_t *documents)
{
	shared_t *shared = sim_zero(fleet, shared_t);

	shared->documents = documents;
	part_index = fleet_add_part(fleet, &config_part);
	fleet->part_shared[part_index] = shared;
	part_membership_on_newer_table(on_newer_table);
	return part_index;
}
