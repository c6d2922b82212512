/* Runs the fuzz target fuzz/fuzz_quota.c on seeded sequences of messages and on
 * an input that it failed on. */
#include "cassia/test.h"

#include <string.h>

#include "cassia/quota.h"

#define ROUNDS 4000 /* inputs */
#define RECORD_BYTES 82 /* two selector bytes and an encoded message */
#define RECORDS 16 /* in one input */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Returns a random amount, sometimes one at the edge of the range. */
static int64_t amount(cas_rng_t *rng)
{
	static const int64_t edges[] = { 0,	    1,	       -1,
					 INT64_MAX, INT64_MIN, INT64_MAX / 2 };

	if (cas_rng_below(rng, 8) == 0)
		return edges[cas_rng_below(rng, 6)];
	return cas_rng_below(rng, 20 * QUOTA_TOKEN);
}

/* Returns the usual value, or in one case of eight any value. */
static uint32_t random_or(cas_rng_t *rng, uint32_t usual)
{
	return cas_rng_below(rng, 8) ? usual : (uint32_t)cas_rng_u64(rng);
}

static void encode_ask(XDR *stream, cas_rng_t *rng, uint32_t number)
{
	quota_ask ask = {
		.customer = cas_rng_below(rng, 8),
		.slots = random_or(rng, cas_rng_below(rng, 2)
						? QUOTA_FROM_DAEMON << 16
						: 0),
		.sequence = random_or(rng, number),
		.received = random_or(rng, number - 1),
		.need = amount(rng),
		.ahead = amount(rng),
		.left = amount(rng),
		.returned = amount(rng),
	};

	assert_true(xdr_quota_ask(stream, &ask));
}

static void encode_reply(XDR *stream, cas_rng_t *rng, uint32_t number)
{
	quota_reply reply = {
		.customer = cas_rng_below(rng, 8),
		.slots = random_or(rng, 0),
		.sequence = random_or(rng, number),
		.granted = amount(rng),
		.filled = amount(rng),
		.rate = amount(rng),
		.life = random_or(rng, 2000000),
		.wait = random_or(rng, 100000),
		.report = random_or(rng, 100000),
	};

	assert_true(xdr_quota_reply(stream, &reply));
}

static void make_record(uint8_t *record, cas_rng_t *rng, uint32_t number)
{
	XDR stream;

	memset(record, 0, RECORD_BYTES);
	record[0] = (uint8_t)cas_rng_u64(rng);
	record[1] = (uint8_t)cas_rng_u64(rng);
	xdrmem_create(&stream, (char *)record + 2, RECORD_BYTES - 2,
		      XDR_ENCODE);
	if (record[0] % 4 == 1)
		encode_reply(&stream, rng, number);
	else
		encode_ask(&stream, rng, number);
}

/* Guards against amounts in messages that overflow, abort the process, or make
 * a holder grant more than its burst. */
static void test_random_messages(void **state)
{
	cas_rng_t *rng = cas_rng_create(NULL, 1);
	uint8_t data[RECORD_BYTES * RECORDS];

	(void)state;
	for (int i = 0; i < ROUNDS; i++) {
		for (uint32_t j = 0; j < RECORDS; j++)
			make_record(data + j * RECORD_BYTES, rng, j / 4 + 1);
		assert_int_equal(LLVMFuzzerTestOneInput(data, sizeof(data)), 0);
	}
	talloc_free(rng);
}

/* Guards against accepting loans from other holders that add up to more than
 * the customer's burst. The fuzzer found the input. */
static void test_loans_above_burst(void **state)
{
	static uint8_t data[64 * 1024];
	FILE *file = fopen("fuzz/known/quota-grant-above-burst", "rb");
	size_t size;

	(void)state;
	assert_non_null(file);
	size = fread(data, 1, sizeof(data), file);
	fclose(file);
	assert_true(size > 0);
	assert_int_equal(LLVMFuzzerTestOneInput(data, size), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_loans_above_burst),
		cmocka_unit_test(test_random_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
