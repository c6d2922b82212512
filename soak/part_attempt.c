/* The attempt part: its state on each host, its messages, and the arrivals of
 * root requests. */
#include "part_attempt_internal.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 4096 /* in the at-most-once table of a host */
#define MEAN_ARRIVAL_INTERVAL_US 33000.0 /* of root requests to the fleet */
#define ROOT_TIMEOUT_US (2 * CAS_USEC_PER_SEC)
#define RETRY_UNITS_MAX 6 /* of a root request */
#define FAILING_PROBABILITY 0.2 /* see check_root_t */
#define IDEMPOTENT_PROBABILITY 0.6
#define HOST_PICK_TRIES 20 /* then the root request is dropped */

typedef struct shared {
	attempt_secrets_t secrets;
	part_attempt_totals_t totals;
} shared_t;

static size_t part_index;

static shared_t *shared_of(fleet_t *fleet)
{
	return fleet->part_shared[part_index];
}

part_attempt_state_t *part_attempt_state_of(fleet_host_t *host)
{
	return host->part_states[part_index];
}

part_attempt_totals_t *part_attempt_totals_of(fleet_t *fleet)
{
	return &shared_of(fleet)->totals;
}

const part_attempt_totals_t *part_attempt_totals(fleet_t *fleet)
{
	shared_of(fleet)->totals.checks = check_attempts_checks();
	return &shared_of(fleet)->totals;
}

const attempt_secrets_t *part_attempt_secrets_of(fleet_t *fleet)
{
	return &shared_of(fleet)->secrets;
}

void part_attempt_send(fleet_host_t *from, const fleet_host_t *to, int kind,
		       part_attempt_message_t *message, cas_str_t text)
{
	if (!text.ptr || text.len > PART_ATTEMPT_TEXT_MAX)
		abort();
	message->len = (uint32_t)text.len;
	memcpy(message->text, text.ptr, text.len);
	fleet_send(from, to->id, part_index, kind, message,
		   offsetof(part_attempt_message_t, text) + text.len, text.len);
}

static void *start(TALLOC_CTX *ctx, fleet_host_t *host)
{
	part_attempt_state_t *state = sim_zero(ctx, part_attempt_state_t);

	state->table = sim_require(
		attempt_table_create(state, host->clock, ATTEMPTS_MAX));
	state->live = sim_require(attempt_live_create(state));
	state->throttle =
		sim_require(retry_throttle_create(state, host->clock));
	state->last_outcomes =
		sim_zero_array(state, attempt_outcome, host->fleet->host_count);
	return state;
}

static void tick(fleet_host_t *host)
{
	part_attempt_serve_tick(host);
	part_attempt_call_tick(host);
}

static void on_message(fleet_host_t *host, const fleet_host_t *from,
		       uint64_t incarnation, int kind, const void *bytes)
{
	const part_attempt_message_t *message = bytes;

	if (message->receiver_incarnation != host->incarnation)
		return;
	if (kind == PART_ATTEMPT_REQUEST)
		part_attempt_on_request(host, from, incarnation, message);
	else
		part_attempt_on_response(host, from, message);
}

static const fleet_part_t attempt_part = {
	.name = "attempt",
	.start = start,
	.tick = tick,
	.on_message = on_message,
};

size_t part_attempt_add(fleet_t *fleet)
{
	static const uint8_t secret[] = "secret of the soak run";
	shared_t *shared = talloc_zero(fleet, shared_t);

	if (!shared || sodium_init() < 0)
		abort();
	attempt_secrets_add(&shared->secrets, secret, sizeof(secret));
	part_index = fleet_add_part(fleet, &attempt_part);
	fleet->part_shared[part_index] = shared;
	return part_index;
}

static void start_root(fleet_host_t *host)
{
	sim_t *sim = host->fleet->sim;
	int32_t retry_units =
		(int32_t)cas_rng_below(sim_rng(sim), RETRY_UNITS_MAX + 1);
	bool idempotent = sim_chance(sim, IDEMPOTENT_PROBABILITY);
	check_root_t *root =
		check_root_create(host->fleet, retry_units, idempotent);

	root->always_fails = sim_chance(sim, FAILING_PROBABILITY);
	part_attempt_totals_of(host->fleet)->roots++;
	part_attempt_call(host, NULL, root, 0,
			  cas_clock_now(host->clock) + ROOT_TIMEOUT_US);
}

static void on_arrival(void *owner, void *data)
{
	fleet_t *fleet = owner;
	cas_rng_t *rng = sim_rng(fleet->sim);

	(void)data;
	for (int i = 0; i < HOST_PICK_TRIES; i++) {
		fleet_host_t *host = &fleet->hosts[cas_rng_below(
			rng, (uint32_t)fleet->host_count)];

		if (!fleet_host_sync_clock(host))
			continue;
		start_root(host);
		break;
	}
	sim_schedule(
		fleet->sim,
		(int64_t)cas_rng_exponential(rng, MEAN_ARRIVAL_INTERVAL_US),
		on_arrival, fleet, NULL);
}

void part_attempt_start(fleet_t *fleet)
{
	sim_schedule(fleet->sim, 0, on_arrival, fleet, NULL);
}
