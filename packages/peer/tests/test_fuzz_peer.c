/* Runs the fuzz target on pseudo-random mutations, with a fixed seed, of
 * well-formed messages. */
#include "cassia/test.h"

#include "cassia/membership.h"
#include "cassia/rng.h"
#include "peer_codec.h"

#define ROUNDS 30000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Input of the fuzz target. The first byte selects what the rest is read as: 0
 * a datagram, 1 the body of a heartbeat, 2 the body of its reply. */
typedef struct sample {
	uint8_t data[PEER_MAX_BYTES + 64]; /* mutations may extend it by 63 */
	size_t size;
} sample_t;

/* Encodes a body into the sample. */
static void encode_body(sample_t *sample, uint8_t kind, xdrproc_t xdr,
			const void *body)
{
	XDR stream;

	sample->data[0] = kind;
	xdrmem_create(&stream, (char *)sample->data + 1, PEER_MAX_BYTES,
		      XDR_ENCODE);
	assert_true(xdr(&stream, (void *)body));
	sample->size = 1 + xdr_getpos(&stream);
}

/* Makes well-formed samples: the bodies of a heartbeat and of its reply, and
 * the datagrams of both. */
static void make_samples(sample_t samples[4])
{
	char bytes[40];
	membership_run run = { .first = 2,
			       .lives = { 30, bytes },
			       .helds = { 30, bytes } };
	membership_beat beat = { .roster_revision = 5,
				 .flags = MEMBERSHIP_KIND_SIBLING |
					  MEMBERSHIP_FLAG_ECHO,
				 .runs = { 1, &run } };
	membership_summary summary = { .life_ms = 3000,
				       .confirming = { 5, bytes },
				       .alive = { 5, bytes } };
	membership_reply reply = { .roster_revision = 5,
				   .summary = &summary,
				   .runs = { 1, &run } };
	const peer_call_t call = { .proc = 1, .from = 1, .sequence = 1 };
	const peer_reply_t reply_header = { .proc = 1, .from = 2, .to = 3 };
	fleet_secrets_t secrets = { 0 };

	memset(bytes, 0x55, sizeof(bytes));
	fleet_secret_set(&secrets.entries[0], 1,
			 CAS_STR("secret of the fuzz target"));
	encode_body(&samples[0], 1, (xdrproc_t)xdr_membership_beat, &beat);
	encode_body(&samples[1], 2, (xdrproc_t)xdr_membership_reply, &reply);
	samples[2].data[0] = 0;
	samples[2].size =
		1 + (size_t)peer_codec_encode_call(
			    &secrets, &call, 3, (xdrproc_t)xdr_membership_beat,
			    &beat, samples[2].data + 1);
	samples[3].data[0] = 0;
	samples[3].size = 1 + (size_t)peer_codec_encode_reply(
				      &secrets, &reply_header,
				      (xdrproc_t)xdr_membership_reply, &reply,
				      samples[3].data + 1);
}

/* Overwrites up to five bytes; may also shorten the sample or extend it with
 * the bytes that follow it in the buffer. */
static void mutate(sample_t *sample, cas_rng_t *rng)
{
	uint32_t changes = cas_rng_below(rng, 6);

	for (uint32_t i = 0; i < changes; i++) {
		size_t offset =
			1 + cas_rng_below(rng, (uint32_t)sample->size - 1);

		if (cas_rng_below(rng, 3))
			sample->data[offset] = (uint8_t)cas_rng_u64(rng);
		else
			sample->data[offset] = cas_rng_below(rng, 2) ? 0xff : 0;
	}
	if (cas_rng_below(rng, 4) == 0)
		sample->size = 1 + cas_rng_below(rng, (uint32_t)sample->size);
	else if (cas_rng_below(rng, 8) == 0)
		sample->size += cas_rng_below(rng, 64);
}

/* Guards against messages that abort the process or, in a build with the
 * sanitizers, are read out of bounds. */
static void test_mutated_messages(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);
	static sample_t samples[4];

	(void)state;
	make_samples(samples);
	for (int i = 0; i < ROUNDS; i++) {
		sample_t sample = samples[i % 4];

		if (i >= 4)
			mutate(&sample, rng);
		assert_int_equal(
			LLVMFuzzerTestOneInput(sample.data, sample.size), 0);
	}
	talloc_free(rng);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
