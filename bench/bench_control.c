/*
 * Benchmark of the control traffic and processor time of membership. Runs the
 * membership code of all daemons of a fleet in one process, with signed
 * messages, for 60 s of virtual time. Byte counts include the UDP and IP
 * headers.
 */
#include <stdio.h>
#include <time.h>

#include "membership/tests/network.h"
#include "peer/peer_codec.h"

#define UDP_IP_BYTES 28 /* headers of a datagram over IPv4 */
#define WARM_UP_US (20 * CAS_USEC_PER_SEC)
#define MEASURE_SEC 60
#define TABLE_CHANGES_PER_DAY 540

static fleet_secrets_t secrets;

/* Encodes a message as daemons send it; see net_codec_t. */
static int encode_signed(node_t *from, node_t *to, datagram_t *head,
			 xdrproc_t xdr, const void *body, uint8_t *out)
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

/* Verifies the signature of a message and decodes it; see net_codec_t. */
static int decode_signed(node_t *to, node_t *from, const datagram_t *datagram,
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

static const net_codec_t signed_codec = { encode_signed, decode_signed,
					  UDP_IP_BYTES };

/* Returns the processor time of this thread in microseconds. */
static int64_t thread_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * CAS_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static void reset_counters(network_t *net)
{
	for (size_t i = 0; i < net->count; i++) {
		net->nodes[i].sent_messages = 0;
		net->nodes[i].sent_bytes = 0;
		net->nodes[i].received_bytes = 0;
	}
}

/* Prints figures for each daemon. rss_bytes is the memory that talloc has
 * allocated for its membership. */
static void print_row(const network_t *net, size_t dcs, int64_t cpu_used_us)
{
	int64_t total_bytes = 0;
	int64_t sent_bytes = 0;
	int64_t received_bytes = 0;
	int64_t messages = 0;
	int64_t max_bytes = 0;
	int64_t max_sent_bytes = 0;
	int64_t max_received_bytes = 0;
	size_t memory_bytes = 0;
	double count = (double)net->count;

	for (size_t i = 0; i < net->count; i++) {
		const node_t *node = &net->nodes[i];
		int64_t node_bytes = node->sent_bytes + node->received_bytes;

		total_bytes += node_bytes;
		sent_bytes += node->sent_bytes;
		received_bytes += node->received_bytes;
		messages += node->sent_messages;
		max_bytes = node_bytes > max_bytes ? node_bytes : max_bytes;
		if (node->sent_bytes > max_sent_bytes)
			max_sent_bytes = node->sent_bytes;
		if (node->received_bytes > max_received_bytes)
			max_received_bytes = node->received_bytes;
		memory_bytes += talloc_total_size(node->m);
	}
	printf("bench=control daemons=%zu dcs=%zu bytes_per_s_mean=%.0f "
	       "bytes_per_s_max=%.0f sent_per_s_mean=%.0f sent_per_s_max=%.0f "
	       "received_per_s_mean=%.0f received_per_s_max=%.0f "
	       "messages_per_s=%.2f cpu_percent=%.4f rss_bytes=%.0f "
	       "held=%zu\n",
	       net->count, dcs, (double)total_bytes / count / MEASURE_SEC,
	       (double)max_bytes / MEASURE_SEC,
	       (double)sent_bytes / count / MEASURE_SEC,
	       (double)max_sent_bytes / MEASURE_SEC,
	       (double)received_bytes / count / MEASURE_SEC,
	       (double)max_received_bytes / MEASURE_SEC,
	       (double)messages / count / MEASURE_SEC,
	       100.0 * (double)cpu_used_us / count /
		       (MEASURE_SEC * (double)CAS_USEC_PER_SEC),
	       (double)memory_bytes / count, net_count_fence_held(net));
}

/* Measures a fleet without faults, whose table changes TABLE_CHANGES_PER_DAY
 * times a day. */
static void run_fleet(size_t daemons, size_t dcs)
{
	network_t *net = net_create(daemons, dcs, 1);
	int64_t revision = 0;
	int64_t next_change_us = 0;
	int64_t cpu_start_us;

	net->codec = &signed_codec;
	net_start_all(net);
	net_run(net, WARM_UP_US);
	reset_counters(net);
	cpu_start_us = thread_cpu_us();
	for (int64_t elapsed_us = 0;
	     elapsed_us < MEASURE_SEC * CAS_USEC_PER_SEC;
	     elapsed_us += NET_STEP_US) {
		if (elapsed_us >= next_change_us) {
			next_change_us += 86400 / TABLE_CHANGES_PER_DAY *
					  CAS_USEC_PER_SEC;
			net_set_table(&net->nodes[daemons / 2], ++revision);
		}
		net_step(net);
	}
	print_row(net, dcs, thread_cpu_us() - cpu_start_us);
	net_destroy(net);
}

int main(void)
{
	if (fleet_secret_set(&secrets.entries[0], 1,
			     CAS_STR("secret of the benchmark")))
		return 1;
	run_fleet(24, 6);
	run_fleet(136, 5);
	run_fleet(340, 5);
	run_fleet(680, 5);
	run_fleet(136, 1);
	return 0;
}
