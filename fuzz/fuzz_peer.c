/*
 * Fuzz target for messages of peers. The first byte of the input selects
 * whether the others are decoded as a datagram, or passed to membership as the
 * body of a beat or a reply that was authenticated.
 */
#include <stdint.h>
#include <string.h>

#include "cassia/membership.h"
#include "cassia/peer.h"
#include "peer_codec.h"

#define HOST_COUNT 40
#define SELF_ID 3 /* of the host that receives */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static fleet_secrets_t secrets;
static cas_clock_t *manual_clock;
static membership_t *membership;

/* Messages that membership sends are ignored. */
static void ignore_beat(cas_id_t to, const membership_beat *beat, void *unused)
{
	(void)to;
	(void)beat;
	(void)unused;
}

static void ignore_notice(cas_id_t to, const membership_notice *notice,
			  void *unused)
{
	(void)to;
	(void)notice;
	(void)unused;
}

static const membership_ops_t ops = { ignore_beat, ignore_notice, NULL, NULL };

/* Most hosts are in the data centre of this host, 7, the others in 8. */
static void create_membership(void)
{
	static roster_host_t hosts[HOST_COUNT];
	const roster_t roster = { .revision = 5,
				  .hosts = hosts,
				  .host_count = HOST_COUNT };
	cas_rng_t *rng = cas_rng_create(NULL, 1);

	fleet_secret_set(&secrets.entries[0], 1,
			 CAS_STR("secret of the fuzz target"));
	manual_clock = cas_clock_create_manual(NULL, 1000 * CAS_USEC_PER_SEC);
	membership = membership_create(NULL, manual_clock, rng, &ops, NULL,
				       SELF_ID, 1, 7);
	for (size_t i = 0; i < HOST_COUNT; i++) {
		hosts[i].id = i + 1;
		hosts[i].data_centre_id = i < HOST_COUNT - 5 ? 7 : 8;
	}
	membership_set_roster(membership, &roster);
}

/* Decodes a datagram as a call, or as a reply of host 2 to a call of procedure
 * 1. */
static void fuzz_datagram(const uint8_t *data, size_t size)
{
	uint32_t xid = 0;
	peer_call_t call;
	peer_reply_t reply = { .proc = 1, .from = 2, .to = SELF_ID };
	membership_beat beat = { 0 };
	int offset;

	if (peer_codec_is_reply(data, size, &xid) > 0) {
		reply.xid = xid;
		peer_codec_open_reply(&secrets, data, size, &reply);
		return;
	}
	offset = peer_codec_open_call(&secrets, SELF_ID, data, size, &call);
	if (offset >= 0 &&
	    !peer_codec_decode_body(data, size, offset,
				    (xdrproc_t)xdr_membership_beat, &beat))
		xdr_free((xdrproc_t)xdr_membership_beat, &beat);
}

/* The sender is chosen by the size of the body. */
static void fuzz_beat(const uint8_t *data, size_t size)
{
	membership_beat beat = { 0 };
	membership_reply reply = { 0 };

	if (peer_codec_decode_body(data, size, 0,
				   (xdrproc_t)xdr_membership_beat, &beat))
		return;
	membership_on_beat(membership, 1 + size % HOST_COUNT, 1, &beat, &reply);
	xdr_free((xdrproc_t)xdr_membership_beat, &beat);
}

static void fuzz_reply(const uint8_t *data, size_t size)
{
	membership_reply reply = { 0 };

	if (peer_codec_decode_body(data, size, 0,
				   (xdrproc_t)xdr_membership_reply, &reply))
		return;
	membership_on_reply(membership, 1 + size % HOST_COUNT, 1, &reply);
	xdr_free((xdrproc_t)xdr_membership_reply, &reply);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!membership)
		create_membership();
	if (size == 0)
		return 0;
	cas_clock_advance(manual_clock, 100 * CAS_USEC_PER_MSEC);
	if (data[0] % 3 == 0)
		fuzz_datagram(data + 1, size - 1);
	else if (data[0] % 3 == 1)
		fuzz_beat(data + 1, size - 1);
	else
		fuzz_reply(data + 1, size - 1);
	membership_tick(membership);
	return 0;
}
