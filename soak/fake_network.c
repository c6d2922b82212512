/* Simulated network: datagrams between hosts with delay, loss, duplication,
 * reordering and partitions, and a socket buffer that takes up to
 * RECEIVE_BUFFER_MAX datagrams while the receiver is paused. */
#include <stddef.h>
#include <string.h>

#include "fleet_internal.h"

#define RECEIVE_BUFFER_MAX 64 /* datagrams */
/* See pause_after_send_probability in fleet.h. */
#define MAX_PAUSE_AFTER_SEND_US 6000000

/* A message on its way. */
typedef struct datagram {
	cas_id_t from;
	fleet_host_t *to;
	uint64_t incarnation; /* of the sender */
	size_t part; /* index */
	int kind;
	_Alignas(max_align_t) unsigned char bytes[];
} datagram_t;

static void deliver(datagram_t *datagram)
{
	fleet_host_t *to = datagram->to;
	const fleet_part_t *part = to->fleet->parts[datagram->part];

	if (fleet_host_sync_clock(to))
		part->on_message(to, fleet_find_host(to->fleet, datagram->from),
				 datagram->incarnation, datagram->kind,
				 datagram->bytes);
}

static void buffer_datagram(fleet_host_t *to, datagram_t *datagram)
{
	if (!to->buffered)
		to->buffered =
			sim_zero_array(to->fleet, void *, RECEIVE_BUFFER_MAX);
	if (to->buffered_count == RECEIVE_BUFFER_MAX)
		return;
	/* A copy, because sim_run frees the datagram after the event. */
	to->buffered[to->buffered_count++] = talloc_memdup(
		to->buffered, datagram, talloc_get_size(datagram));
	to->fleet->buffered++;
}

static void on_datagram(void *owner, void *data)
{
	fleet_host_t *to = owner;

	if (to->running && to->paused)
		buffer_datagram(to, data);
	else
		deliver(data);
}

void fleet_deliver_buffered(fleet_host_t *host)
{
	size_t count = host->buffered_count;
	void **datagrams = host->buffered;

	host->buffered = NULL;
	host->buffered_count = 0;
	for (size_t i = 0; i < count; i++)
		deliver(datagrams[i]);
	talloc_free(datagrams);
}

void fleet_on_deliver_buffered(void *owner, void *data)
{
	fleet_host_t *host = owner;

	(void)data;
	if (fleet_host_sync_clock(host))
		fleet_deliver_buffered(host);
}

/* Returns a random delay of a message and counts the additional delays. */
static int64_t draw_delay(fleet_t *fleet, const fleet_host_t *a,
			  const fleet_host_t *b)
{
	size_t regions = fleet->config.regions;
	int64_t delay_us = fleet->config.inter_region_delay_us;

	if (a->dc % regions == b->dc % regions)
		delay_us = fleet->config.intra_region_delay_us;
	delay_us +=
		cas_rng_below(sim_rng(fleet->sim), (uint32_t)delay_us / 10 + 1);
	if (sim_chance(fleet->sim, fleet->faults.delay_probability)) {
		delay_us += cas_rng_below(sim_rng(fleet->sim),
					  (uint32_t)fleet->faults.max_delay_us);
		fleet->delayed++;
	}
	return delay_us;
}

/* Returns whether a message from a reaches b, and counts random losses. */
static bool survives_network(fleet_t *fleet, const fleet_host_t *a,
			     const fleet_host_t *b)
{
	if (!fleet_passes(a, b))
		return false;
	if (sim_chance(fleet->sim, fleet->faults.loss_probability)) {
		fleet->lost++;
		return false;
	}
	return true;
}

/* Pauses the sender at random. A process may be paused at any point; right
 * after a send the effect is largest, because the answer arrives during the
 * pause. */
static void maybe_pause_sender(fleet_host_t *from)
{
	fleet_t *fleet = from->fleet;

	if (fleet->faults.pause_after_send_probability > 0 && !from->paused &&
	    sim_chance(fleet->sim, fleet->faults.pause_after_send_probability))
		fleet_pause_host(from,
				 1 + cas_rng_below(sim_rng(fleet->sim),
						   MAX_PAUSE_AFTER_SEND_US));
}

void fleet_send(fleet_host_t *from, cas_id_t to_id, size_t part, int kind,
		const void *bytes, size_t size, size_t wire_bytes)
{
	fleet_t *fleet = from->fleet;
	fleet_host_t *to = fleet_find_host(fleet, to_id);
	int copies = 1;

	maybe_pause_sender(from);
	fleet->messages++;
	from->sent_messages += wire_bytes > 0;
	from->sent_bytes += wire_bytes;
	if (!to || !survives_network(fleet, from, to))
		return;
	if (sim_chance(fleet->sim, fleet->faults.duplication_probability)) {
		fleet->duplicated++;
		copies++;
	}
	while (copies-- > 0) {
		datagram_t *datagram = sim_require(
			talloc_size(NULL, sizeof(datagram_t) + size));

		datagram->from = from->id;
		datagram->to = to;
		datagram->incarnation = from->incarnation;
		datagram->part = part;
		datagram->kind = kind;
		memcpy(datagram->bytes, bytes, size);
		sim_schedule(fleet->sim, draw_delay(fleet, from, to),
			     on_datagram, to, datagram);
	}
}
