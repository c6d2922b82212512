/* Connects the quota module to the simulated network and the fence. */
#include "part_quota.h"

#include "fence.h"

/* Bytes on the wire of an RPC call and a reply before the message: RPC headers
 * with authentication, and UDP and IP headers (28). */
#define CALL_HEADER_BYTES (84 + 28)
#define REPLY_HEADER_BYTES (72 + 28)
/* Bytes of the encoded messages. */
#define ASK_BYTES 56
#define REPLY_BYTES 60
/* Time from a request to its deadline. */
#define REQUEST_TIMEOUT_US CAS_USEC_PER_SEC

enum kind { KIND_ASK, KIND_REPLY };

/* A token bucket for the whole fleet. */
typedef struct ideal_bucket {
	double tokens;
	int64_t filled_us; /* true time of the last refill */
} ideal_bucket_t;

typedef struct shared {
	fake_customer_t *customers;
	size_t customer_count;
	check_windows_t *windows;
	part_quota_totals_t *totals; /* by customer */
	ideal_bucket_t *ideals; /* by customer */
} shared_t;

typedef struct request {
	fleet_host_t *host;
	size_t customer;
	bool ideal_admitted;
	int64_t sent_us; /* true time */
	bool recorded; /* counted as admitted or refused */
} request_t;

static size_t part_index;

static shared_t *shared_of(fleet_t *fleet)
{
	return fleet->part_shared[part_index];
}

quota_t *part_quota_of(fleet_host_t *host)
{
	return host->part_states[part_index];
}

static void send_ask(void *private_data, cas_id_t to, const quota_ask *ask)
{
	fleet_send(private_data, to, part_index, KIND_ASK, ask, sizeof(*ask),
		   CALL_HEADER_BYTES + ASK_BYTES);
}

static bool is_held(void *private_data, int64_t revision)
{
	return fence_held(private_data, revision);
}

static bool is_settled(void *private_data, int64_t revision)
{
	return fence_settled(private_data, revision);
}

static uint64_t epoch(void *private_data)
{
	return fence_epoch(private_data);
}

static const quota_ops_t quota_ops = {
	.send_ask = send_ask,
	.fence_held = is_held,
	.fence_settled = is_settled,
	.fence_epoch = epoch,
};

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	return sim_require(quota_create(ctx, host->clock,
					sim_rng(host->fleet->sim), &quota_ops,
					host, host->id, host->incarnation));
}

static void tick(fleet_host_t *host)
{
	quota_tick(part_quota_of(host));
}

static void set_view(fleet_host_t *host)
{
	quota_set_view(part_quota_of(host), host->table, host->roster);
}

static void on_message(fleet_host_t *host, const fleet_host_t *from,
		       uint64_t incarnation, int kind, const void *bytes)
{
	quota_reply reply;

	if (kind == KIND_REPLY) {
		quota_on_reply(part_quota_of(host), from->id, incarnation,
			       bytes);
		return;
	}
	quota_on_ask(part_quota_of(host), from->id, incarnation, bytes, &reply);
	fleet_send(host, from->id, part_index, KIND_REPLY, &reply,
		   sizeof(reply), REPLY_HEADER_BYTES + REPLY_BYTES);
}

static const fleet_part_t quota_part = {
	.name = "quota",
	.start = start,
	.tick = tick,
	.set_view = set_view,
	.on_message = on_message,
};

size_t part_quota_add(fleet_t *fleet, fake_customer_t *customers, size_t count,
		      check_windows_t *windows)
{
	shared_t *shared = sim_zero(fleet, shared_t);

	part_index = fleet_add_part(fleet, &quota_part);
	fleet->part_shared[part_index] = shared;
	shared->customers = customers;
	shared->customer_count = count;
	shared->windows = windows;
	shared->totals = sim_zero_array(shared, part_quota_totals_t, count);
	shared->ideals = sim_zero_array(shared, ideal_bucket_t, count);
	return part_index;
}

static bool ideal_bucket_take(fleet_t *fleet, size_t customer)
{
	shared_t *shared = shared_of(fleet);
	ideal_bucket_t *ideal = &shared->ideals[customer];
	const fake_customer_t *limit = &shared->customers[customer];
	int64_t now = sim_now(fleet->sim);

	ideal->tokens += (double)limit->rate *
			 (double)(now - ideal->filled_us) / CAS_USEC_PER_SEC;
	if (ideal->tokens > (double)limit->burst)
		ideal->tokens = (double)limit->burst;
	ideal->filled_us = now;
	if (ideal->tokens < 1)
		return false;
	ideal->tokens -= 1;
	return true;
}

static void record_result(request_t *request, bool admitted)
{
	shared_t *shared = shared_of(request->host->fleet);
	part_quota_totals_t *totals = &shared->totals[request->customer];

	request->recorded = true;
	if (admitted) {
		totals->admitted++;
		totals->total_wait_us +=
			(uint64_t)(sim_now(request->host->fleet->sim) -
				   request->sent_us);
		if (shared->windows)
			check_windows_admit(shared->windows, request->customer);
		return;
	}
	totals->refused++;
	totals->wrongly_refused += request->ideal_admitted;
}

static void on_quota_result(void *private_data, quota_result_t verdict,
			    int64_t retry_after_us)
{
	(void)retry_after_us;
	record_result(private_data, verdict == QUOTA_GRANTED);
	talloc_free(private_data);
}

static int on_request_freed(request_t *request)
{
	shared_t *shared = shared_of(request->host->fleet);

	if (!request->recorded)
		shared->totals[request->customer].aborted++;
	return 0;
}

void part_quota_request(fleet_host_t *host, size_t customer)
{
	shared_t *shared = shared_of(host->fleet);
	quota_pending_t *pending = NULL;
	int64_t retry_after_us = 0;
	request_t *request = NULL;
	int verdict = 0;

	if (!fleet_host_sync_clock(host))
		return;
	request = sim_zero(host->process_ctx, request_t);
	talloc_set_destructor(request, on_request_freed);
	request->host = host;
	request->customer = customer;
	request->sent_us = sim_now(host->fleet->sim);
	request->ideal_admitted = ideal_bucket_take(host->fleet, customer);
	shared->totals[customer].sent++;
	shared->totals[customer].ideal_admitted += request->ideal_admitted;
	verdict = quota_acquire(
		part_quota_of(host), shared->customers[customer].id,
		cas_clock_now(host->clock) + REQUEST_TIMEOUT_US,
		on_quota_result, request, &pending, &retry_after_us);
	if (verdict == QUOTA_PENDING)
		return;
	record_result(request, verdict == QUOTA_GRANTED);
	talloc_free(request);
}

void part_quota_reset(fleet_t *fleet)
{
	shared_t *shared = shared_of(fleet);

	for (size_t i = 0; i < shared->customer_count; i++) {
		shared->totals[i] = (part_quota_totals_t){ 0 };
		shared->ideals[i].tokens = (double)shared->customers[i].burst;
		shared->ideals[i].filled_us = sim_now(fleet->sim);
	}
}

part_quota_totals_t *part_quota_totals(fleet_t *fleet, size_t customer)
{
	return &shared_of(fleet)->totals[customer];
}
