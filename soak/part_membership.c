/* Connects the membership module to the simulated network. Messages are sent in
 * their XDR encoding. */
#include "part_membership.h"

#include <stdlib.h>

#define ENCODED_BYTES_MAX 1200
/* Time to fetch a roster from another daemon. */
#define ROSTER_FETCH_US (20 * CAS_USEC_PER_MSEC)

enum kind { KIND_BEAT, KIND_BEAT_REPLY, KIND_NOTICE, KIND_NOTICE_REPLY };

/* An encoded message. As in the peer package, a reply is only for the
 * incarnation that sent the request. */
typedef struct envelope {
	uint64_t to_incarnation; /* of a reply; 0 in other messages */
	uint32_t len;
	char bytes[ENCODED_BYTES_MAX];
} envelope_t;

typedef struct state {
	membership_t *membership;
	bool fetching; /* a roster */
} state_t;

/* A roster fetch in progress. */
typedef struct fetch {
	uint64_t incarnation; /* of the fetching daemon */
	cas_id_t from; /* host that has the roster */
} fetch_t;

static size_t part_index;
static part_membership_newer_fn newer_table_callback;

static state_t *state_of(fleet_host_t *host)
{
	return host->part_states[part_index];
}

membership_t *part_membership_of(fleet_host_t *host)
{
	return state_of(host)->membership;
}

part_membership_totals_t *part_membership_totals(fleet_t *fleet)
{
	return fleet->part_shared[part_index];
}

static void send_encoded(fleet_host_t *host, cas_id_t to, int kind,
			 uint64_t to_incarnation, xdrproc_t xdr,
			 const void *body)
{
	envelope_t envelope = { .to_incarnation = to_incarnation };
	XDR stream;

	xdrmem_create(&stream, envelope.bytes, ENCODED_BYTES_MAX, XDR_ENCODE);
	if (!xdr(&stream, (void *)body))
		abort();
	envelope.len = xdr_getpos(&stream);
	fleet_send(host, to, part_index, kind, &envelope,
		   offsetof(envelope_t, bytes) + envelope.len, envelope.len);
}

static void send_beat(cas_id_t to, const membership_beat *beat,
		      void *private_data)
{
	fleet_host_t *host = private_data;

	part_membership_totals(host->fleet)->beats++;
	send_encoded(host, to, KIND_BEAT, 0, (xdrproc_t)xdr_membership_beat,
		     beat);
}

static void send_notice(cas_id_t to, const membership_notice *notice,
			void *private_data)
{
	fleet_host_t *host = private_data;

	part_membership_totals(host->fleet)->notices++;
	send_encoded(host, to, KIND_NOTICE, 0, (xdrproc_t)xdr_membership_notice,
		     notice);
}

/* Returns whether b is up and messages pass between two hosts in both
 * directions. */
static bool reaches(const fleet_host_t *a, const fleet_host_t *b)
{
	return b->running && !b->paused && fleet_passes(a, b) &&
	       fleet_passes(b, a);
}

static void on_fetched(void *owner, void *data)
{
	fleet_host_t *host = owner;
	const fetch_t *fetch = data;
	const fleet_host_t *from = fleet_find_host(host->fleet, fetch->from);

	if (!host->running || host->incarnation != fetch->incarnation)
		return;
	state_of(host)->fetching = false;
	if (!fleet_host_sync_clock(host) || !from || !reaches(host, from))
		return;
	part_membership_totals(host->fleet)->fetches++;
	fleet_set_view(host, host->table, from->roster);
}

static void on_newer_roster(int64_t revision, cas_id_t from, void *private_data)
{
	fleet_host_t *host = private_data;
	fetch_t *fetch = NULL;

	(void)revision;
	if (state_of(host)->fetching)
		return;
	fetch = sim_require(talloc(NULL, fetch_t));
	*fetch = (fetch_t){ host->incarnation, from };
	state_of(host)->fetching = true;
	sim_schedule(host->fleet->sim, ROSTER_FETCH_US, on_fetched, host,
		     fetch);
}

static void on_newer_table(int64_t revision, cas_id_t from, void *private_data)
{
	if (newer_table_callback)
		newer_table_callback(private_data, revision, from);
}

static const membership_ops_t ops = {
	.send_beat = send_beat,
	.send_notice = send_notice,
	.on_newer_table = on_newer_table,
	.on_newer_roster = on_newer_roster,
};

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	state_t *state = sim_zero(ctx, state_t);

	state->membership = sim_require(membership_create(
		state, host->clock, sim_rng(host->fleet->sim), &ops, host,
		host->id, host->incarnation, fleet_dc_id(host->dc)));
	return state;
}

static void tick(fleet_host_t *host)
{
	membership_tick(part_membership_of(host));
}

static void set_view(fleet_host_t *host)
{
	int error =
		membership_set_roster(part_membership_of(host), host->roster);

	if (error && error != MEMBERSHIP_EREVISION)
		abort();
}

static bool decode(fleet_host_t *host, const envelope_t *envelope,
		   xdrproc_t xdr, void *body)
{
	XDR stream;

	xdrmem_create(&stream, (char *)envelope->bytes, envelope->len,
		      XDR_DECODE);
	if (xdr(&stream, body))
		return true;
	part_membership_totals(host->fleet)->undecoded++;
	return false;
}

static void handle_beat(fleet_host_t *host, cas_id_t from, uint64_t incarnation,
			const envelope_t *envelope)
{
	xdrproc_t xdr = (xdrproc_t)xdr_membership_beat;
	membership_beat beat = { 0 };
	membership_reply reply = { 0 };

	if (decode(host, envelope, xdr, &beat) &&
	    !membership_on_beat(part_membership_of(host), from, incarnation,
				&beat, &reply))
		send_encoded(host, from, KIND_BEAT_REPLY, incarnation,
			     (xdrproc_t)xdr_membership_reply, &reply);
	xdr_free(xdr, &beat);
}

static void handle_notice(fleet_host_t *host, cas_id_t from,
			  uint64_t incarnation, const envelope_t *envelope)
{
	membership_notice notice = { 0 };
	membership_notice_reply reply = { 0 };

	if (decode(host, envelope, (xdrproc_t)xdr_membership_notice, &notice) &&
	    !membership_on_notice(part_membership_of(host), from, incarnation,
				  &notice, &reply))
		send_encoded(host, from, KIND_NOTICE_REPLY, incarnation,
			     (xdrproc_t)xdr_membership_notice_reply, &reply);
}

static void handle_reply(fleet_host_t *host, cas_id_t from,
			 uint64_t incarnation, int kind,
			 const envelope_t *envelope)
{
	xdrproc_t xdr = (xdrproc_t)xdr_membership_reply;
	membership_t *m = part_membership_of(host);
	membership_reply reply = { 0 };
	membership_notice_reply notice = { 0 };

	if (envelope->to_incarnation != host->incarnation)
		return;
	if (kind == KIND_BEAT_REPLY) {
		if (decode(host, envelope, xdr, &reply))
			membership_on_reply(m, from, incarnation, &reply);
		xdr_free(xdr, &reply);
	} else if (decode(host, envelope,
			  (xdrproc_t)xdr_membership_notice_reply, &notice)) {
		membership_on_notice_reply(m, from, incarnation, &notice);
	}
}

static void on_message(fleet_host_t *host, const fleet_host_t *from,
		       uint64_t incarnation, int kind, const void *bytes)
{
	if (kind == KIND_BEAT)
		handle_beat(host, from->id, incarnation, bytes);
	else if (kind == KIND_NOTICE)
		handle_notice(host, from->id, incarnation, bytes);
	else
		handle_reply(host, from->id, incarnation, kind, bytes);
}

static const fleet_part_t membership_part = {
	.name = "membership",
	.start = start,
	.tick = tick,
	.set_view = set_view,
	.on_message = on_message,
};

size_t part_membership_add(fleet_t *fleet)
{
	part_index = fleet_add_part(fleet, &membership_part);
	fleet->part_shared[part_index] =
		talloc_zero(fleet, part_membership_totals_t);
	if (!fleet->part_shared[part_index])
		abort();
	return part_index;
}

void part_membership_on_newer_table(part_membership_newer_fn fn)
{
	newer_table_callback = fn;
}

static bool is_held(fleet_host_t *host, int64_t revision)
{
	return membership_fence_held(part_membership_of(host), revision);
}

static bool is_settled(fleet_host_t *host, int64_t revision)
{
	return membership_fence_settled(part_membership_of(host), revision);
}

static uint64_t epoch(fleet_host_t *host)
{
	return membership_fence_epoch(part_membership_of(host));
}

const fence_ops_t part_membership_fence = {
	.held = is_held,
	.settled = is_settled,
	.epoch = epoch,
};
