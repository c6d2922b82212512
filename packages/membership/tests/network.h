/*
 * A network of memberships in one process on one manual clock, for tests and
 * the benchmark. Messages travel encoded, may be lost, and wait while their
 * receiver is paused. A node that hears of a newer revision fetches it from
 * the host that has it.
 */
#ifndef CASSIA_TEST_NETWORK_H
#define CASSIA_TEST_NETWORK_H

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "cassia/membership.h"
#include "cassia/wire.h"

#define NET_STEP_US CAS_USEC_PER_MSEC
#define NET_SLOTS 64
#define NET_MAX_BYTES 1200
#define NET_ROSTERS 256

typedef struct datagram {
	struct datagram *next;
	size_t from;
	size_t to;
	uint32_t xid;
	uint32_t proc;
	bool is_reply;
	uint64_t incarnation; /* of the sender */
	uint64_t to_incarnation; /* of the caller, in a reply */
	int len;
	uint8_t data[];
} datagram_t;

typedef struct network network_t;

typedef struct node {
	network_t *net;
	size_t index;
	cas_id_t id;
	cas_id_t dc;
	membership_t *m; /* NULL: down */
	cas_rng_t *rng;
	uint64_t incarnation;
	bool paused;
	int side; /* nodes of different sides do not reach each other */
	datagram_t *waiting;
	int64_t roster_revision;
	int64_t table_revision;
	int64_t fetch_us; /* when a fetch ends, 0: none */
	size_t fetch_from;
	int64_t sent_messages;
	int64_t sent_bytes;
	int64_t received_bytes;
	uint64_t sequence;
} node_t;

/* Turns a datagram's body into bytes and back; returns a size or offset, or a
 * negative number. */
typedef struct net_codec {
	int (*encode)(node_t *from, node_t *to, datagram_t *head, xdrproc_t xdr,
		      const void *body, uint8_t *out);
	int (*decode)(node_t *to, node_t *from, const datagram_t *datagram,
		      xdrproc_t xdr, void *body);
	int header_bytes; /* added to each message when bytes are counted */
} net_codec_t;

struct network {
	cas_clock_t *clock;
	cas_rng_t *rng;
	const net_codec_t *codec;
	node_t *nodes;
	size_t count;
	roster_t *rosters[NET_ROSTERS]; /* by revision */
	datagram_t *slots[NET_SLOTS];
	uint32_t loss_permille;
	uint32_t next_xid;
	int64_t fetch_time_us;
};

static inline int net_xdr_encode(node_t *from, node_t *to, datagram_t *head,
				 xdrproc_t xdr, const void *body, uint8_t *out)
{
	XDR stream;

	(void)from;
	(void)to;
	(void)head;
	xdrmem_create(&stream, (char *)out, NET_MAX_BYTES, XDR_ENCODE);
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

static inline bool net_reaches(const node_t *from, const node_t *to)
{
	return from->side == to->side && to->m;
}

static inline void net_send(node_t *from, node_t *to, datagram_t head,
			    xdrproc_t xdr, const void *body)
{
	network_t *net = from->net;
	uint8_t data[NET_MAX_BYTES];
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
	    !net_reaches(from, to))
		return;
	datagram = malloc(sizeof(*datagram) + (size_t)head.len);
	assert(datagram);
	*datagram = head;
	memcpy(datagram->data, data, (size_t)head.len);
	slot = (size_t)(cas_clock_now(net->clock) / NET_STEP_US) + 1 +
	       cas_rng_below(net->rng, 3);
	datagram->next = net->slots[slot % NET_SLOTS];
	net->slots[slot % NET_SLOTS] = datagram;
}

/* Ids are index + 1, so that the sorted order is the order of the nodes. */
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

static inline void net_fetch(int64_t revision, cas_id_t host,
			     void *private_data)
{
	node_t *node = private_data;

	(void)revision;
	if (node->fetch_us)
		return;
	node->fetch_from = host - 1;
	node->fetch_us =
		cas_clock_now(node->net->clock) + node->net->fetch_time_us;
}

static const membership_ops_t net_ops = { net_send_beat, net_send_notice,
					  net_fetch, net_fetch };

/* Starts a node, or starts it again without memory, at a roster revision. */
static inline void net_start(node_t *node, int64_t roster_revision)
{
	network_t *net = node->net;

	talloc_free(node->m);
	node->incarnation++;
	node->paused = false;
	node->fetch_us = 0;
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

/* Publishes the list of the nodes of a bitmap; bit i is node i. */
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

static inline void net_adopt(node_t *node, int64_t revision)
{
	if (node->m && revision > node->roster_revision) {
		node->roster_revision = revision;
		membership_set_roster(node->m, node->net->rosters[revision]);
	}
}

static inline void net_set_table(node_t *node, int64_t revision)
{
	if (node->m && revision > node->table_revision) {
		node->table_revision = revision;
		membership_set_table_revision(node->m, revision);
	}
}

/* Makes count nodes in dcs data centres; all are listed at revision 1. */
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

static inline void net_take_call(node_t *to, node_t *from,
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

static inline void net_take_reply(node_t *to, node_t *from,
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

static inline void net_deliver(network_t *net, datagram_t *list)
{
	while (list) {
		datagram_t *datagram = list;
		node_t *to = &net->nodes[datagram->to];
		node_t *from = &net->nodes[datagram->from];

		list = datagram->next;
		if (to->m && to->paused) {
			datagram->next = to->waiting;
			to->waiting = datagram;
			continue;
		}
		if (to->m) {
			to->received_bytes +=
				datagram->len + net->codec->header_bytes;
			if (datagram->is_reply)
				net_take_reply(to, from, datagram);
			else
				net_take_call(to, from, datagram);
		}
		free(datagram);
	}
}

static inline void net_end_fetch(node_t *node)
{
	const node_t *from = &node->net->nodes[node->fetch_from];

	node->fetch_us = 0;
	if (!net_reaches(node, from) || from->paused)
		return;
	net_set_table(node, from->table_revision);
	net_adopt(node, from->roster_revision);
}

static inline void net_step(network_t *net)
{
	int64_t now;
	datagram_t **slot;
	datagram_t *list;

	cas_clock_advance(net->clock, NET_STEP_US);
	now = cas_clock_now(net->clock);
	slot = &net->slots[(size_t)(now / NET_STEP_US) % NET_SLOTS];
	list = *slot;
	*slot = NULL;
	net_deliver(net, list);
	for (size_t i = 0; i < net->count; i++) {
		node_t *node = &net->nodes[i];

		if (!node->m || node->paused)
			continue;
		if (node->fetch_us && now >= node->fetch_us)
			net_end_fetch(node);
		if (now >= membership_next_due(node->m) ||
		    (now / NET_STEP_US + (int64_t)i) % 10 == 0)
			membership_tick(node->m);
	}
}

static inline void net_run(network_t *net, int64_t us)
{
	for (int64_t i = 0; i < us / NET_STEP_US; i++)
		net_step(net);
}

static inline void net_resume(node_t *node)
{
	datagram_t *list = node->waiting;

	node->waiting = NULL;
	node->paused = false;
	net_deliver(node->net, list);
}

static inline void net_destroy(network_t *net)
{
	for (size_t i = 0; i < NET_SLOTS + net->count; i++) {
		datagram_t *list = i < NET_SLOTS
					   ? net->slots[i]
					   : net->nodes[i - NET_SLOTS].waiting;

		while (list) {
			datagram_t *next = list->next;

			free(list);
			list = next;
		}
	}
	talloc_free(net);
}

static inline bool net_held(const node_t *node)
{
	return node->m && membership_fence_held(node->m, node->roster_revision);
}

static inline bool net_settled(const node_t *node)
{
	return node->m &&
	       membership_fence_settled(node->m, node->roster_revision);
}

/* Returns how many running nodes hold the fence. */
static inline size_t net_count_held(const network_t *net)
{
	size_t held = 0;

	for (size_t i = 0; i < net->count; i++)
		held += net_held(&net->nodes[i]);
	return held;
}

#endif
