/*
 * Control cost of membership: the decision code and the signed messages of a
 * whole fleet in one process, over 60 s of virtual time. Bytes include the
 * UDP and IP headers.
 */
#include <stdio.h>
#include <time.h>

#include "membership/tests/network.h"
#include "peer/peer_codec.h"

#define UDP_IP_BYTES 28
#define WARM_UP_US (20 * CAS_USEC_PER_SEC)
#define RUN_SEC 60
#define CHANGES_A_DAY 540

static fleet_secrets_t secrets;

static int encode(node_t *from, node_t *to, datagram_t *head, xdrproc_t xdr,
		  const void *body, uint8_t *out)
{
	peer_call_t call = { .xid = head->xid,
			     .proc = head->proc,
			     .from = from->id,
			     .incarnation = from->incarnation,
			     .sequence = ++from->sequence };
	peer_reply_t reply = { .xid = head->xid,
			       .proc = head->proc,
			       .from = from->id,
			       .to = to->id,
			       .to_incarnation = head->to_incarnation,
			       .incarnation = from->incarnation };

	if (head->is_reply)
		return peer_codec_encode_reply(&secrets, &reply, xdr, body,
					       out);
	return peer_codec_encode_call(&secrets, &call, to->id, xdr, body, out);
}

static int decode(node_t *to, node_t *from, const datagram_t *datagram,
		  xdrproc_t xdr, void *body)
{
	size_t len = (size_t)datagram->len;
	peer_call_t call;
	peer_reply_t reply = { .xid = datagram->xid,
			       .proc = datagram->proc,
			       .from = from->id,
			       .to = to->id,
			       .to_incarnation = datagram->to_incarnation };
	int offset;

	if (datagram->is_reply)
		offset = peer_codec_open_reply(&secrets, datagram->data, len,
					       &reply);
	else
		offset = peer_codec_open_call(&secrets, to->id, datagram->data,
					      len, &call);
	return offset < 0 ? offset
			  : peer_codec_decode_body(datagram->data, len, offset,
						   xdr, body);
}

static const net_codec_t signed_codec = { encode, decode, UDP_IP_BYTES };

static int64_t cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * CAS_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static void reset(network_t *net)
{
	for (size_t i = 0; i < net->count; i++) {
		net->nodes[i].sent_messages = 0;
		net->nodes[i].sent_bytes = 0;
		net->nodes[i].received_bytes = 0;
	}
}

static void print(const network_t *net, size_t dcs, int64_t used_us)
{
	int64_t sum = 0;
	int64_t sent = 0;
	int64_t received = 0;
	int64_t messages = 0;
	int64_t most = 0;
	int64_t most_sent = 0;
	int64_t most_received = 0;
	size_t memory = 0;
	double count = (double)net->count;

	for (size_t i = 0; i < net->count; i++) {
		const node_t *node = &net->nodes[i];
		int64_t total = node->sent_bytes + node->received_bytes;

		sum += total;
		sent += node->sent_bytes;
		received += node->received_bytes;
		messages += node->sent_messages;
		most = total > most ? total : most;
		if (node->sent_bytes > most_sent)
			most_sent = node->sent_bytes;
		if (node->received_bytes > most_received)
			most_received = node->received_bytes;
		memory += talloc_total_size(node->m);
	}
	printf("bench=control daemons=%zu dcs=%zu bytes_per_s_mean=%.0f "
	       "bytes_per_s_max=%.0f sent_per_s_mean=%.0f sent_per_s_max=%.0f "
	       "received_per_s_mean=%.0f received_per_s_max=%.0f "
	       "messages_per_s=%.2f cpu_percent=%.4f rss_bytes=%.0f "
	       "held=%zu\n",
	       net->count, dcs, (double)sum / count / RUN_SEC,
	       (double)most / RUN_SEC, (double)sent / count / RUN_SEC,
	       (double)most_sent / RUN_SEC, (double)received / count / RUN_SEC,
	       (double)most_received / RUN_SEC,
	       (double)messages / count / RUN_SEC,
	       100.0 * (double)used_us / count /
		       (RUN_SEC * (double)CAS_USEC_PER_SEC),
	       (double)memory / count, net_count_fence_held(net));
}

/* Runs a fleet in steady state, with the day's rate of table changes. */
static void run(size_t daemons, size_t dcs)
{
	network_t *net = net_create(daemons, dcs, 1);
	int64_t revision = 0;
	int64_t next_us = 0;
	int64_t began_us;

	net->codec = &signed_codec;
	net_start_all(net);
	net_run(net, WARM_UP_US);
	reset(net);
	began_us = cpu_us();
	for (int64_t t = 0; t < RUN_SEC * CAS_USEC_PER_SEC; t += NET_STEP_US) {
		if (t >= next_us) {
			next_us += 86400 / CHANGES_A_DAY * CAS_USEC_PER_SEC;
			net_set_table(&net->nodes[daemons / 2], ++revision);
		}
		net_step(net);
	}
	print(net, dcs, cpu_us() - began_us);
	net_destroy(net);
}

int main(void)
{
	if (fleet_secret_set(&secrets.entries[0], 1,
			     CAS_STR("secret of the benchmark")))
		return 1;
	run(24, 6);
	run(136, 5);
	run(340, 5);
	run(680, 5);
	run(136, 1);
	return 0;
}
