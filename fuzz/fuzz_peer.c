/*
 * Entry for libFuzzer: bytes from the network through the message codec, and
 * bodies that passed authentication through membership. The first byte of the
 * input selects which.
 */
#include <stdint.h>
#include <string.h>

#include "cassia/membership.h"
#include "cassia/peer.h"
#include "peer_codec.h"

#define HOSTS 40
#define SELF 3

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static fleet_secrets_t secrets;
static cas_clock_t *clock_;
static membership_t *membership;

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

static void set_up(void)
{
	static roster_host_t hosts[HOSTS];
	const roster_t roster = { .revision = 5,
				  .hosts = hosts,
				  .host_count = HOSTS };
	cas_rng_t *rng = cas_rng_create(NULL, 1);

	fleet_secret_set(&secrets.entries[0], 1,
			 CAS_STR("secret of the fuzz target"));
	clock_ = cas_clock_create_manual(NULL, 1000 * CAS_USEC_PER_SEC);
	membership =
		membership_create(NULL, clock_, rng, &ops, NULL, SELF, 1, 7);
	for (size_t i = 0; i < HOSTS; i++) {
		hosts[i].id = i + 1;
		hosts[i].data_centre_id = i < HOSTS - 5 ? 7 : 8;
	}
	membership_set_roster(membership, &roster);
}

static void take_datagram(const uint8_t *data, size_t size)
{
	uint32_t xid = 0;
	peer_call_t call;
	peer_reply_t reply = { .proc = 1, .from = 2, .to = SELF };
	membership_beat beat = { 0 };
	int offset;

	if (peer_codec_is_reply(data, size, &xid) > 0) {
		reply.xid = xid;
		peer_codec_open_reply(&secrets, data, size, &reply);
		return;
	}
	offset = peer_codec_open_call(&secrets, SELF, data, size, &call);
	if (offset >= 0 &&
	    !peer_codec_decode_body(data, size, offset,
				    (xdrproc_t)xdr_membership_beat, &beat))
		xdr_free((xdrproc_t)xdr_membership_beat, &beat);
}

static void take_beat(const uint8_t *data, size_t size)
{
	membership_beat beat = { 0 };
	membership_reply reply = { 0 };

	if (peer_codec_decode_body(data, size, 0,
				   (xdrproc_t)xdr_membership_beat, &beat))
		return;
	membership_on_beat(membership, 1 + size % HOSTS, 1, &beat, &reply);
	xdr_free((xdrproc_t)xdr_membership_beat, &beat);
}

static void take_reply(const uint8_t *data, size_t size)
{
	membership_reply reply = { 0 };

	if (peer_codec_decode_body(data, size, 0,
				   (xdrproc_t)xdr_membership_reply, &reply))
		return;
	membership_on_reply(membership, 1 + size % HOSTS, 1, &reply);
	xdr_free((xdrproc_t)xdr_membership_reply, &reply);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!membership)
		set_up();
	if (size == 0)
		return 0;
	cas_clock_advance(clock_, 100 * CAS_USEC_PER_MSEC);
	if (data[0] % 3 == 0)
		take_datagram(data + 1, size - 1);
	else if (data[0] % 3 == 1)
		take_beat(data + 1, size - 1);
	else
		take_reply(data + 1, size - 1);
	membership_tick(membership);
	return 0;
}
