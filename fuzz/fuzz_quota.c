/*
 * Entry for libFuzzer: asks and replies of other daemons, as they are after
 * authentication, through the quota module of a bucket holder. The input is a
 * row of records; the first byte of each selects what happens.
 */
#include <stdlib.h>
#include <string.h>

#include "cassia/quota.h"

#define HOSTS 6
#define SELF 1
#define DC 100
#define BODY_BYTES 80
#define RECORDS_MAX 64
#define RATE 50
#define BURST 40
#define START (1000 * CAS_USEC_PER_SEC)
#define WAIT (100 * CAS_USEC_PER_MSEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Not assert: it must hold in every build type. */
#define REQUIRE(condition)                                                     \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

typedef struct target {
	cas_clock_t *clock;
	quota_t *quota;
	cas_id_t customer;
	quota_ask sent; /* the latest ask, so that replies can match it */
} target_t;

static void send_ask(void *private_data, cas_id_t to, const quota_ask *ask)
{
	target_t *target = private_data;

	(void)to;
	target->sent = *ask;
}

static bool fence_true(void *private_data, int64_t revision)
{
	(void)private_data;
	(void)revision;
	return true;
}

static const quota_ops_t ops = {
	.send_ask = send_ask,
	.fence_held = fence_true,
	.fence_settled = fence_true,
};

/* Two data centres with HOSTS / 2 hosts each, one customer. */
static void set_view(target_t *target)
{
	static table_data_centre_t dcs[2];
	static table_customer_t customer;
	static roster_host_t hosts[HOSTS];
	static table_t table;
	static roster_t roster;

	for (size_t i = 0; i < 2; i++)
		dcs[i] = (table_data_centre_t){ .id = DC + i,
						.region_id = 1,
						.share_permille = 500 };
	for (size_t i = 0; i < HOSTS; i++)
		hosts[i] = (roster_host_t){
			.id = SELF + i,
			.data_centre_id = DC + i / (HOSTS / 2),
			/* So that self holds the buckets of its data centre. */
			.leaving = i > 0 && i < HOSTS / 2,
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
			     .host_count = HOSTS };
	target->customer = customer.id;
	REQUIRE(quota_set_view(target->quota, &table, &roster) == QUOTA_OK);
}

static void on_done(void *private_data, quota_result_t verdict,
		    int64_t retry_after_us)
{
	(void)private_data;
	(void)verdict;
	(void)retry_after_us;
}

/* Takes a token, so that the module asks. */
static void acquire(target_t *target)
{
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;

	quota_acquire(target->quota, target->customer,
		      cas_clock_now(target->clock) + WAIT, on_done, target,
		      &pending, &retry_after_us);
}

static void take_ask(target_t *target, cas_id_t from, XDR *stream)
{
	quota_ask ask = { 0 };
	quota_reply reply = { 0 };

	if (!xdr_quota_ask(stream, &ask))
		return;
	if (ask.customer % 2)
		ask.customer = target->customer;
	quota_on_ask(target->quota, from, 1, &ask, &reply);
	REQUIRE(reply.granted >= 0 && reply.granted <= BURST * QUOTA_TOKEN);
	REQUIRE(reply.filled >= 0 && reply.filled <= reply.granted);
	REQUIRE(reply.rate >= 0);
}

static void take_reply(target_t *target, cas_id_t from, XDR *stream)
{
	quota_reply reply = { 0 };

	if (!xdr_quota_reply(stream, &reply))
		return;
	if (reply.customer % 2) {
		reply.customer = target->sent.customer;
		reply.slots = target->sent.slots;
		reply.sequence = target->sent.sequence;
	}
	quota_on_reply(target->quota, from, 1, &reply);
}

static void take_record(target_t *target, const uint8_t *data)
{
	cas_id_t from = SELF + 1 + data[1] % (HOSTS - 1);
	XDR stream;

	xdrmem_create(&stream, (char *)data + 2, BODY_BYTES, XDR_DECODE);
	cas_clock_advance(target->clock, 1 + (int64_t)data[0] * 1000);
	switch (data[0] % 4) {
	case 0:
		acquire(target);
		break;
	case 1:
		take_reply(target, from, &stream);
		break;
	default:
		take_ask(target, from, &stream);
		break;
	}
	quota_tick(target->quota);
}

static void check_buckets(const target_t *target)
{
	quota_bucket_info_t infos[8];
	size_t count = quota_buckets(target->quota, infos, 8);

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
	target_t target = { .clock = cas_clock_create_manual(ctx, START) };
	size_t records = size / (BODY_BYTES + 2);

	target.quota =
		quota_create(ctx, target.clock, rng, &ops, &target, SELF, 1);
	set_view(&target);
	quota_tick(target.quota);
	cas_clock_advance(target.clock, 4 * CAS_USEC_PER_SEC);
	quota_tick(target.quota);
	for (size_t i = 0; i < records && i < RECORDS_MAX; i++) {
		take_record(&target, data + i * (BODY_BYTES + 2));
		check_buckets(&target);
	}
	talloc_free(ctx);
	return 0;
}
