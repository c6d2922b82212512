/* Datagrams between hosts: delay, loss, repetition, reordering, partitions,
 * and a socket buffer that fills while the receiver is paused. */
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define HELD_MAX 64
#define PAUSE_AFTER_SEND 6000000 /* microseconds */

typedef struct datagram {
	cas_id_t from;
	fleet_host_t *to;
	uint64_t incarnation;
	size_t part;
	int kind;
	_Alignas(max_align_t) unsigned char bytes[];
} datagram_t;

static void deliver(datagram_t *datagram)
{
	fleet_host_t *to = datagram->to;
	const fleet_part_t *part = to->fleet->parts[datagram->part];

	if (fleet_host_enter(to))
		part->message(to, fleet_find(to->fleet, datagram->from),
			      datagram->incarnation, datagram->kind,
			      datagram->bytes);
}

static void hold(fleet_host_t *to, datagram_t *datagram)
{
	if (!to->held)
		to->held = talloc_zero_array(to->fleet, void *, HELD_MAX);
	if (!to->held)
		abort();
	if (to->held_count == HELD_MAX)
		return;
	/* The simulation frees the datagram after this event. */
	to->held[to->held_count++] =
		talloc_memdup(to->held, datagram, talloc_get_size(datagram));
	to->fleet->held++;
}

static void on_arrival(void *owner, void *data)
{
	fleet_host_t *to = owner;

	if (to->running && to->paused)
		hold(to, data);
	else
		deliver(data);
}

void fleet_deliver_held(fleet_host_t *host)
{
	size_t count = host->held_count;
	void **held = host->held;

	host->held = NULL;
	host->held_count = 0;
	for (size_t i = 0; i < count; i++)
		deliver(held[i]);
	talloc_free(held);
}

void fleet_deliver_later(void *owner, void *data)
{
	fleet_host_t *host = owner;

	(void)data;
	if (fleet_host_enter(host))
		fleet_deliver_held(host);
}

static int64_t delay_between(fleet_t *fleet, const fleet_host_t *a,
			     const fleet_host_t *b)
{
	size_t regions = fleet->config.regions;
	int64_t delay = fleet->config.far_delay_us;

	if (a->dc % regions == b->dc % regions)
		delay = fleet->config.region_delay_us;
	delay += cas_rng_below(sim_rng(fleet->sim), (uint32_t)delay / 10 + 1);
	if (sim_chance(fleet->sim, fleet->faults.late)) {
		delay += cas_rng_below(sim_rng(fleet->sim),
				       (uint32_t)fleet->faults.late_us);
		fleet->delayed++;
	}
	return delay;
}

static bool passes(fleet_t *fleet, const fleet_host_t *a, const fleet_host_t *b)
{
	if (fleet->isolated[a->index] || fleet->isolated[b->index] ||
	    fleet->cut[a->dc * fleet->config.dcs + b->dc])
		return false;
	if (sim_chance(fleet->sim, fleet->faults.loss)) {
		fleet->lost++;
		return false;
	}
	return true;
}

/* A process may stop between any two steps; the ones after a send matter most,
 * because the answer arrives meanwhile. */
static void maybe_pause(fleet_host_t *from)
{
	fleet_t *fleet = from->fleet;

	if (fleet->faults.pause_after_send > 0 && !from->paused &&
	    sim_chance(fleet->sim, fleet->faults.pause_after_send))
		fleet_pause_host(from, 1 + cas_rng_below(sim_rng(fleet->sim),
							 PAUSE_AFTER_SEND));
}

void fleet_send(fleet_host_t *from, cas_id_t to_id, size_t part, int kind,
		const void *bytes, size_t size, size_t wire_bytes)
{
	fleet_t *fleet = from->fleet;
	fleet_host_t *to = fleet_find(fleet, to_id);
	int copies = 1;

	maybe_pause(from);
	fleet->messages++;
	from->sent_messages += wire_bytes > 0;
	from->sent_bytes += wire_bytes;
	if (!to || !passes(fleet, from, to))
		return;
	if (sim_chance(fleet->sim, fleet->faults.repetition)) {
		fleet->repeated++;
		copies++;
	}
	while (copies-- > 0) {
		datagram_t *datagram =
			talloc_size(NULL, sizeof(datagram_t) + size);

		if (!datagram)
			abort();
		datagram->from = from->id;
		datagram->to = to;
		datagram->incarnation = from->incarnation;
		datagram->part = part;
		datagram->kind = kind;
		memcpy(datagram->bytes, bytes, size);
		sim_after(fleet->sim, delay_between(fleet, from, to),
			  on_arrival, to, datagram);
	}
}
