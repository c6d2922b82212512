/* Runs the fuzz target over seeded mutations of well-formed structures. */
#include "cassia/test.h"

#include <string.h>

#include "cassia/attempt.h"
#include "cassia/rng.h"

#define ROUNDS 9000
#define SAMPLE_MAX_BYTES 900
#define SAMPLES 3

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* An input of the fuzz target. */
typedef struct sample {
	uint8_t data[SAMPLE_MAX_BYTES]; /* its first byte selects the kind */
	size_t size;
} sample_t;

/* Makes a sample of the kind from the XDR encoding of value. */
static void encode(sample_t *sample, uint8_t kind, xdrproc_t xdr, void *value)
{
	XDR stream;

	sample->data[0] = kind;
	xdrmem_create(&stream, (char *)sample->data + 1, SAMPLE_MAX_BYTES - 1,
		      XDR_ENCODE);
	assert_true(xdr(&stream, value));
	sample->size = 1 + xdr_getpos(&stream);
}

/* Makes a signed text of a context, an encoded context and an encoded
 * outcome. */
static void make_samples(sample_t *samples)
{
	attempt_early early[ATTEMPT_EARLY_MAX] = { { 7, 3, 9 } };
	attempt_context context = {
		.sender = 1,
		.receiver = 2,
		.deadline = 1001 * CAS_USEC_PER_SEC,
		.weight = 1,
		.budget = 2,
		.early = { ATTEMPT_EARLY_MAX, early },
	};
	attempt_outcome outcome = { .host = 2, .unspent = 1, .busy = -1 };
	attempt_secrets_t secrets = { .count = 1 };
	cas_str_t text = attempt_sign_context(NULL, &secrets, &context);

	assert_non_null(text.ptr);
	assert_true(text.len < SAMPLE_MAX_BYTES);
	samples[0].data[0] = 0;
	memcpy(samples[0].data + 1, text.ptr, text.len);
	samples[0].size = 1 + text.len;
	encode(&samples[1], 1, (xdrproc_t)xdr_attempt_context, &context);
	encode(&samples[2], 2, (xdrproc_t)xdr_attempt_outcome, &outcome);
	talloc_free((void *)text.ptr);
}

/* Changes up to 5 bytes after the first, and truncates one sample in 4. */
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
}

/* Guards against texts from other daemons that abort the process, are read out
 * of bounds (found in builds with sanitizers), or create retry units. */
static void test_mutated_structures(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);
	static sample_t samples[SAMPLES];

	(void)state;
	make_samples(samples);
	for (int i = 0; i < ROUNDS; i++) {
		sample_t sample = samples[i % SAMPLES];

		if (i >= SAMPLES)
			mutate(&sample, rng);
		assert_int_equal(
			LLVMFuzzerTestOneInput(sample.data, sample.size), 0);
	}
	talloc_free(rng);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_structures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
