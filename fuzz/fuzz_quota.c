/*
 * Fuzz target for the quota module of a bucket holder, with asks and replies of
 * other daemons after authentication. The input is a sequence of records. The
 * first byte of a record selects the operation and the time before it, the
 * second byte the sender, and the rest is the encoded message.
 */
#include <stdlib.h>
#include <string.h>

#include "cassia/quota.h"

#define HOST_COUNT 6
#define SELF_ID 1 /* of the host under test */
#define FIRST_DC_ID 100 /* the data centre of that host */
#define BODY_BYTES 80 /* of the message in a record */
#define RECORDS_MAX 64
#define RATE 50 /* tokens a second */
#define BURST 40 /* tokens */
#define START_US (1000 * CAS_USEC_PER_SEC)
#define ACQUIRE_WAIT_US (100 * CAS_USEC_PER_MSEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Used instead of assert, which NDEBUG would turn off. */
#define REQUIRE(condition)                                                     \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

/* The quota module under test and its inputs. */
typedef struct harness {
	cas_clock_t *clock;
	quota_t *quota;
	cas_id_t customer;
	quota_ask last_ask; /* sent by quota, so that replies can match it */
} harness_t;

static void send_ask(void *private_data, cas_id_t to, const quota_ask *ask)
{
	harness_t *harness = private_data;

	(void)to;
	harness->last_ask = *ask;
}

/* The fence is held and settled at all times. */
static bool fence_always(void *private_data, int64_t revision)
{
	(void)private_data;
	(void)revision;
	return true;
}

static const quota_ops_t ops = {
	.send_ask = send_ask,
	.fence_held = fence_always,
	.fence_settled = fence_always,
};

/* Two data centres with HOST_COUNT / 2 hosts each, one customer. */
static void set_view(harness_t *harness)
{
	static table_data_centre_t dcs[2];
	static table_customer_t customer;
	static roster_host_t hosts[HOST_COUNT];
	static table_t table;
	static roster_t roster;

	for (size_t i = 0; i < 2; i++)
		dcs[i] = (table_data_centre_t){ .id = FIRST_DC_ID + i,
						.region_id = 1,
						.share_permille = 500 };
	for (size_t i = 0; i < HOST_COUNT; i++)
		hosts[i] = (roster_host_t){
			.id = SELF_ID + i,
			.data_centre_id = FIRST_DC_ID + i / (HOST_COUNT / 2),
			/* The other hosts of the data centre are leaving, so
			 * that this host holds its buckets. */
			.leaving = i > 0 && i < HOST_COUNT / 2,
		};
	customer = (table_customer_t){ .id = 7,
				       .weight = 1,
				       .rate_micro = RATE * QUOTA_TOKEN,
				       .burst_micro = BURST * QUOTA_TOKEN };
	table = (table_t){ .revision = 1,
			   .data_centres = dcs,
			   .data_centre_count = 2,
			   .customers = &customer,
			   .customer_count = 1 };
	roster = (roster_t){ .revision = 1,
			     .hosts = hosts,
			     .host_count = HOST_COUNT };
	harness->customer = customer.id;
	REQUIRE(quota_set_view(harness->quota, &table, &roster) == QUOTA_OK);
}

static void ignore_result(void *private_data, quota_result_t verdict,
			  int64_t retry_after_us)
{
	(void)private_data;
	(void)verdict;
	(void)retry_after_us;
}

/* Takes a token of the customer, which makes quota send asks. */
static void acquire_token(harness_t *harness)
{
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;

	quota_acquire(harness->quota, harness->customer,
		      cas_clock_now(harness->clock) + ACQUIRE_WAIT_US,
		      ignore_result, harness, &pending, &retry_after_us);
}

/* Passes an ask to quota. An odd customer is replaced by the one of the table,
 * because few random asks would have its id. */
static void handle_ask(harness_t *harness, cas_id_t from, XDR *stream)
{
	quota_ask ask = { 0 };
	quota_reply reply = { 0 };

	if (!xdr_quota_ask(stream, &ask))
		return;
	if (ask.customer % 2)
		ask.customer = harness->customer;
	quota_on_ask(harness->quota, from, 1, &ask, &reply);
	REQUIRE(reply.granted >= 0 && reply.granted <= BURST * QUOTA_TOKEN);
	REQUIRE(reply.filled >= 0 && reply.filled <= reply.granted);
	REQUIRE(reply.rate >= 0);
}

/* Passes a reply to quota. If its customer is odd, it is made to match the last
 * ask. */
static void handle_reply(harness_t *harness, cas_id_t from, XDR *stream)
{
	quota_reply reply = { 0 };

	if (!xdr_quota_reply(stream, &reply))
		return;
	if (reply.customer % 2) {
		reply.customer = harness->last_ask.customer;
		reply.slots = harness->last_ask.slots;
		reply.sequence = harness->last_ask.sequence;
	}
	quota_on_reply(harness->quota, from, 1, &reply);
}

/* Advances the clock by up to 255 ms and carries out one record. */
static void handle_record(harness_t *harness, const uint8_t *data)
{
	cas_id_t from = SELF_ID + 1 + data[1] % (HOST_COUNT - 1);
	XDR stream;

	xdrmem_create(&stream, (char *)data + 2, BODY_BYTES, XDR_DECODE);
	cas_clock_advance(harness->clock, 1 + (int64_t)data[0] * 1000);
	switch (data[0] % 4) {
	case 0:
		acquire_token(harness);
		break;
	case 1:
		handle_reply(harness, from, &stream);
		break;
	default:
		handle_ask(harness, from, &stream);
		break;
	}
	quota_tick(harness->quota);
}

/* Checks the invariants of the buckets that this host holds. */
static void check_buckets(const harness_t *harness)
{
	quota_bucket_info_t infos[8];
	size_t count = quota_buckets(harness->quota, infos, 8);

	REQUIRE(count > 0 && count <= 8);
	for (size_t i = 0; i < count; i++) {
		REQUIRE(infos[i].level >= 0 && infos[i].outstanding >= 0);
		REQUIRE(infos[i].level <= infos[i].burst_share);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	cas_rng_t *rng = cas_rng_create(ctx, 1);
	harness_t harness = { .clock = cas_clock_create_manual(ctx, START_US) };
	size_t record_count = size / (BODY_BYTES + 2);

	harness.quota = quota_create(ctx, harness.clock, rng, &ops, &harness,
				     SELF_ID, 1);
	set_view(&harness);
	quota_tick(harness.quota);
	cas_clock_advance(harness.clock, 4 * CAS_USEC_PER_SEC);
	quota_tick(harness.quota);
	for (size_t i = 0; i < record_count && i < RECORDS_MAX; i++) {
		handle_record(&harness, data + i * (BODY_BYTES + 2));
		check_buckets(&harness);
	}
	talloc_free(ctx);
	return 0;
}
