/*
 * A simulated network of daemons, reduced to their memberships, in one process
 * on one manual clock; for tests and the control benchmark. Messages are sent
 * encoded, may be lost, and are queued while their receiver is paused. A node
 * that hears of a newer revision fetches it from the node that holds it.
 *
 * The functions are static inline so that a source that includes this file may
 * leave some of them unused.
 */
#ifndef CASSIA_TEST_NETWORK_H
#define CASSIA_TEST_NETWORK_H

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cassia/membership.h"
#include "cassia/wire.h"

#define NET_STEP_US CAS_USEC_PER_MSEC
/* Steps into the future for which deliveries can be scheduled. */
#define NET_DELIVERY_SLOTS 64
#define NET_MESSAGE_MAX_BYTES 1200
#define NET_ROSTERS_MAX 256

/* A message in transit; allocated with malloc. */
typedef struct datagram {
	struct datagram *next; /* in a list of delivery_slots or pending */
	size_t from; /* index of the sending node */
	size_t to; /* index of the receiving node */
	uint32_t xid; /* RPC transaction id */
	uint32_t proc; /* CASSIA_PROC_* */
	bool is_reply;
	uint64_t incarnation; /* of the sender */
	uint64_t to_incarnation; /* of the caller, in a reply */
	int len; /* of data */
	uint8_t data[];
} datagram_t;

typedef struct network network_t;

/* A host with its daemon. */
typedef struct node {
	network_t *net;
	size_t index; /* in net->nodes */
	cas_id_t id; /* index + 1 */
	cas_id_t dc; /* id of its data centre */
	membership_t *m; /* NULL: down */
	cas_rng_t *rng;
	uint64_t incarnation;
	bool paused; /* handles no messages or timers */
	int partition; /* nodes reach only those with the same number */
	datagram_t *pending; /* received while paused, last one first */
	int64_t roster_revision; /* in use, 0: none */
	int64_t table_revision; /* in use, 0: none */
	int64_t fetch_end_us; /* when a fetch ends, 0: none */
	size_t fetch_from; /* index of the node that is fetched from */
	int64_t sent_messages;
	int64_t sent_bytes;
	int64_t received_bytes;
	uint64_t sequence; /* of the last call, for codecs that sign */
} node_t;

/* Encodes and decodes the bodies of datagrams. */
typedef struct net_codec {
	/* Writes at most NET_MESSAGE_MAX_BYTES to out and returns how many, or
	 * a number below 1 on failure. */
	int (*encode)(node_t *from, node_t *to, datagram_t *head, xdrproc_t xdr,
		      const void *body, uint8_t *out);
	/* Decodes into a zeroed body, to be freed with xdr_free. Returns 0, or
	 * a negative number on failure. */
	int (*decode)(node_t *to, node_t *from, const datagram_t *datagram,
		      xdrproc_t xdr, void *body);
	int header_bytes; /* added to the size of each message when counted */
} net_codec_t;

struct network {
	cas_clock_t *clock;
	cas_rng_t *rng;
	const net_codec_t *codec;
	node_t *nodes;
	size_t count; /* of nodes */
	roster_t *rosters[NET_ROSTERS_MAX]; /* by revision */
	/* Messages in transit, by time of delivery in steps modulo the size. */
	datagram_t *delivery_slots[NET_DELIVERY_SLOTS];
	uint32_t loss_permille; /* of messages */
	uint32_t next_xid;
	int64_t fetch_time_us; /* duration of a fetch */
	/* Handles newer revisions instead of a fetch from the host; may be
	 * NULL. */
	void (*on_newer)(node_t *node, int64_t revision, cas_id_t host);
};

/* The default codec: plain XDR. */
static inline int net_xdr_encode(node_t *from, node_t *to, datagram_t *head,
				 xdrproc_t xdr, const void *body, uint8_t *out)
{
	XDR stream;

	(void)from;
	(void)to;
	(void)head;
	xdrmem_create(&stream, (char *)out, NET_MESSAGE_MAX_BYTES, XDR_ENCODE);
	return xdr(&stream, (void *)body) ? (int)xdr_getpos(&stream) : -1;
}

static inline int net_xdr_decode(node_t *to, node_t *from,
				 const datagram_t *datagram, xdrproc_t xdr,
				 void *body)
{
	XDR stream;

	(void)to;
	(void)from;
	xdrmem_create(&stream, (char *)datagram->data, (u_int)datagram->len,
		      XDR_DECODE);
	return xdr(&stream, body) ? 0 : -1;
}

static const net_codec_t net_xdr_codec = { net_xdr_encode, net_xdr_decode, 0 };

static inline bool net_can_reach(const node_t *from, const node_t *to)
{
	return from->partition == to->partition && to->m;
}

/* Encodes a message and schedules its delivery after 1 to 3 steps, unless it is
 * lost. head holds the fields that the caller sets. */
static inline void net_send(node_t *from, node_t *to, datagram_t head,
			    xdrproc_t xdr, const void *body)
{
	network_t *net = from->net;
	uint8_t data[NET_MESSAGE_MAX_BYTES];
	size_t slot;
	datagram_t *datagram;

	head.from = from->index;
	head.to = to->index;
	head.incarnation = from->incarnation;
	head.len = net->codec->encode(from, to, &head, xdr, body, data);
	assert(head.len > 0);
	from->sent_messages++;
	from->sent_bytes += head.len + net->codec->header_bytes;
	if (cas_rng_below(net->rng, 1000) < net->loss_permille ||
	    !net_can_reach(from, to))
		return;
	datagram = malloc(sizeof(*datagram) + (size_t)head.len);
	assert(datagram);
	*datagram = head;
	memcpy(datagram->data, data, (size_t)head.len);
	slot = (size_t)(cas_clock_now(net->clock) / NET_STEP_US) + 1 +
	       cas_rng_below(net->rng, 3);
	datagram->next = net->delivery_slots[slot % NET_DELIVERY_SLOTS];
	net->delivery_slots[slot % NET_DELIVERY_SLOTS] = datagram;
}

/* Sends a call. The id of a node is its index + 1, so that the order of a host
 * list, which is sorted by id, is the order of the nodes. */
static inline void net_send_call(node_t *node, cas_id_t to, uint32_t proc,
				 xdrproc_t xdr, const void *args)
{
	datagram_t head = { .xid = node->net->next_xid++, .proc = proc };

	net_send(node, &node->net->nodes[to - 1], head, xdr, args);
}

static inline void net_send_beat(cas_id_t to, const membership_beat *beat,
				 void *node)
{
	net_send_call(node, to, CASSIA_PROC_BEAT,
		      (xdrproc_t)xdr_membership_beat, beat);
}

static inline void net_send_notice(cas_id_t to, const membership_notice *notice,
				   void *node)
{
	net_send_call(node, to, CASSIA_PROC_NOTICE,
		      (xdrproc_t)xdr_membership_notice, notice);
}

/* Starts a fetch of what host holds, unless the node is fetching already. */
static inline void net_start_fetch(int64_t revision, cas_id_t host,
				   void *private_data)
{
	node_t *node = private_data;

	if (node->net->on_newer) {
		node->net->on_newer(node, revision, host);
		return;
	}
	if (node->fetch_end_us)
		return;
	node->fetch_from = host - 1;
	node->fetch_end_us =
		cas_clock_now(node->net->clock) + node->net->fetch_time_us;
}

static const membership_ops_t net_ops = { net_send_beat, net_send_notice,
					  net_start_fetch, net_start_fetch };

/* Starts a node, or restarts it without its earlier state, as a new incarnation
 * that uses the given roster revision (0: none). */
static inline void net_start(node_t *node, int64_t roster_revision)
{
	network_t *net = node->net;

	talloc_free(node->m);
	node->incarnation++;
	node->paused = false;
	node->fetch_end_us = 0;
	node->table_revision = 0;
	node->roster_revision = roster_revision;
	node->m = membership_create(net, net->clock, node->rng, &net_ops, node,
				    node->id, node->incarnation, node->dc);
	assert(node->m);
	if (roster_revision)
		membership_set_roster(node->m, net->rosters[roster_revision]);
}

static inline void net_stop(node_t *node)
{
	talloc_free(node->m);
	node->m = NULL;
}

/* Creates the host list of a revision. It has node i if listed[i] is set, or
 * all nodes if listed is NULL. No node adopts it by this. */
static inline void net_publish(network_t *net, int64_t revision,
			       const bool *listed)
{
	roster_t *roster = talloc_zero(net, roster_t);

	roster->revision = revision;
	roster->hosts = talloc_zero_array(roster, roster_host_t, net->count);
	for (size_t i = 0; i < net->count; i++) {
		roster_host_t *host = &roster->hosts[roster->host_count];

		if (listed && !listed[i])
			continue;
		host->id = net->nodes[i].id;
		host->data_centre_id = net->nodes[i].dc;
		roster->host_count++;
	}
	net->rosters[revision] = roster;
}

/* Makes a running node adopt a host list that is newer than its own. */
static inline void net_adopt(node_t *node, int64_t revision)
{
	if (node->m && revision > node->roster_revision) {
		node->roster_revision = revision;
		membership_set_roster(node->m, node->net->rosters[revision]);
	}
}

/* Makes a running node adopt a table that is newer than its own. */
static inline void net_set_table(node_t *node, int64_t revision)
{
	if (node->m && revision > node->table_revision) {
		node->table_revision = revision;
		membership_set_table_revision(node->m, revision);
	}
}

/* Returns a new network of count nodes in dcs data centres, all down. They are
 * all in the host list of revision 1. */
static inline network_t *net_create(size_t count, size_t dcs, uint32_t seed)
{
	network_t *net = talloc_zero(NULL, network_t);

	net->clock = cas_clock_create_manual(net, 1000 * CAS_USEC_PER_SEC);
	net->rng = cas_rng_create(net, seed);
	net->codec = &net_xdr_codec;
	net->count = count;
	net->fetch_time_us = 20 * CAS_USEC_PER_MSEC;
	net->nodes = talloc_zero_array(net, node_t, count);
	for (size_t i = 0; i < count; i++) {
		node_t *node = &net->nodes[i];

		node->net = net;
		node->index = i;
		node->id = i + 1;
		node->dc = 100000 + i * dcs / count;
		node->rng = cas_rng_create(net, seed + 1 + (uint32_t)i);
		node->incarnation = 1000 * i;
	}
	net_publish(net, 1, NULL);
	return net;
}

static inline void net_start_all(network_t *net)
{
	for (size_t i = 0; i < net->count; i++)
		net_start(&net->nodes[i], 1);
}

static inline void net_handle_call(node_t *to, node_t *from,
				   const datagram_t *datagram)
{
	datagram_t head = { .xid = datagram->xid,
			    .proc = datagram->proc,
			    .is_reply = true,
			    .to_incarnation = datagram->incarnation };
	membership_beat beat = { 0 };
	membership_reply reply = { 0 };
	membership_notice notice = { 0 };
	membership_notice_reply notice_reply = { 0 };
	const net_codec_t *codec = to->net->codec;

	if (datagram->proc == CASSIA_PROC_BEAT) {
		xdrproc_t xdr = (xdrproc_t)xdr_membership_beat;

		assert(codec->decode(to, from, datagram, xdr, &beat) == 0);
		membership_on_beat(to->m, from->id, datagram->incarnation,
				   &beat, &reply);
		xdr_free(xdr, &beat);
		net_send(to, from, head, (xdrproc_t)xdr_membership_reply,
			 &reply);
	} else {
		assert(codec->decode(to, from, datagram,
				     (xdrproc_t)xdr_membership_notice,
				     &notice) == 0);
		membership_on_notice(to->m, from->id, datagram->incarnation,
				     &notice, &notice_reply);
		net_send(to, from, head, (xdrproc_t)xdr_membership_notice_reply,
			 &notice_reply);
	}
}

static inline void net_handle_reply(node_t *to, node_t *from,
				    const datagram_t *datagram)
{
	const net_codec_t *codec = to->net->codec;
	membership_reply reply = { 0 };
	membership_notice_reply notice_reply = { 0 };

	if (datagram->to_incarnation != to->incarnation)
		return;
	if (datagram->proc == CASSIA_PROC_BEAT) {
		xdrproc_t xdr = (xdrproc_t)xdr_membership_reply;

		assert(codec->decode(to, from, datagram, xdr, &reply) == 0);
		membership_on_reply(to->m, from->id, datagram->incarnation,
				    &reply);
		xdr_free(xdr, &reply);
	} else {
		assert(codec->decode(to, from, datagram,
				     (xdrproc_t)xdr_membership_notice_reply,
				     &notice_reply) == 0);
		membership_on_notice_reply(
			to->m, from->id, datagram->incarnation, &notice_reply);
	}
}

/* Delivers a list of datagrams, and frees those that are not kept pending. */
static inline void net_deliver(network_t *net, datagram_t *list)
{
	while (list) {
		datagram_t *datagram = list;
		node_t *to = &net->nodes[datagram->to];
		node_t *from = &net->nodes[datagram->from];

		list = datagram->next;
		if (to->m && to->paused) {
			datagram->next = to->pending;
			to->pending = datagram;
			continue;
		}
		if (to->m) {
			to->received_bytes +=
				datagram->len + net->codec->header_bytes;
			if (datagram->is_reply)
				net_handle_reply(to, from, datagram);
			else
				net_handle_call(to, from, datagram);
		}
		free(datagram);
	}
}

/* Ends a fetch: adopts what the other node holds, if it can be reached. */
static inline void net_finish_fetch(node_t *node)
{
	const node_t *from = &node->net->nodes[node->fetch_from];

	node->fetch_end_us = 0;
	if (!net_can_reach(node, from) || from->paused)
		return;
	net_set_table(node, from->table_revision);
	net_adopt(node, from->roster_revision);
}

/* Advances the clock by one step, delivers messages and ticks the memberships
 * that are due. Each one is also ticked every 10 steps when nothing is due. */
static inline void net_step(network_t *net)
{
	int64_t now;
	datagram_t **slot;
	datagram_t *list;

	cas_clock_advance(net->clock, NET_STEP_US);
	now = cas_clock_now(net->clock);
	slot = &net->delivery_slots[(size_t)(now / NET_STEP_US) %
				    NET_DELIVERY_SLOTS];
	list = *slot;
	*slot = NULL;
	net_deliver(net, list);
	for (size_t i = 0; i < net->count; i++) {
		node_t *node = &net->nodes[i];

		if (!node->m || node->paused)
			continue;
		if (node->fetch_end_us && now >= node->fetch_end_us)
			net_finish_fetch(node);
		if (now >= membership_next_due(node->m) ||
		    (now / NET_STEP_US + (int64_t)i) % 10 == 0)
			membership_tick(node->m);
	}
}

/* Runs the network for a time in microseconds. */
static inline void net_run(network_t *net, int64_t us)
{
	for (int64_t i = 0; i < us / NET_STEP_US; i++)
		net_step(net);
}

/* Ends a node's pause and lets it handle the messages received meanwhile. */
static inline void net_resume(node_t *node)
{
	datagram_t *list = node->pending;

	node->pending = NULL;
	node->paused = false;
	net_deliver(node->net, list);
}

static inline void net_destroy(network_t *net)
{
	for (size_t i = 0; i < NET_DELIVERY_SLOTS + net->count; i++) {
		datagram_t *list =
			i < NET_DELIVERY_SLOTS
				? net->delivery_slots[i]
				: net->nodes[i - NET_DELIVERY_SLOTS].pending;

		while (list) {
			datagram_t *next = list->next;

			free(list);
			list = next;
		}
	}
	talloc_free(net);
}

/* Returns true if the node's fence is held at the revision that it uses. */
static inline bool net_holds_fence(const node_t *node)
{
	return node->m && membership_fence_held(node->m, node->roster_revision);
}

/* Returns true if the node's fence is settled at the revision that it uses. */
static inline bool net_fence_settled(const node_t *node)
{
	return node->m &&
	       membership_fence_settled(node->m, node->roster_revision);
}

/* Returns how many nodes run and have their fence held. */
static inline size_t net_count_fence_held(const network_t *net)
{
	size_t held = 0;

	for (size_t i = 0; i < net->count; i++)
		held += net_holds_fence(&net->nodes[i]);
	return held;
}

#endif
