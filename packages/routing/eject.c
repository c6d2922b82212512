/*
 * Outliers. An upstream with consecutive failures, or far slower than its
 * peers, is ejected for a time that doubles with each ejection.
 */
#include <stdlib.h>

#include "routing_internal.h"

#define FAILURES_MAX 5
#define EJECT_US CAS_USEC_PER_SEC
#define EJECT_DOUBLINGS_MAX 6
/* A host that stays clean for this time starts from the shortest ejection. */
#define EJECT_FORGET_US (60 * CAS_USEC_PER_SEC)
#define LATENCY_WEIGHT 0.1
#define LATENCY_SUCCESSES 20
#define LATENCY_RATIO 3
#define LATENCY_MARGIN_US (10 * CAS_USEC_PER_MSEC)
#define PEERS_MAX 64

static bool is_out(const upstream_t *upstream, int64_t now_us)
{
	return upstream->leaving || now_us < upstream->ejected_until_us;
}

/* Counts listed and already ejected upstreams of the same service and tier,
 * and those of any tier that remain besides this one. */
static void count_peers(const routing_t *routing, const upstream_t *upstream,
			int64_t now_us, size_t *listed, size_t *ejected,
			size_t *remaining)
{
	size_t count;
	const upstream_t *peers =
		routing_service(routing, upstream->service, &count);

	*listed = *ejected = *remaining = 0;
	for (size_t i = 0; i < count; i++) {
		const upstream_t *peer = &peers[i];

		if (peer != upstream && peer->connections &&
		    !is_out(peer, now_us))
			(*remaining)++;
		if (peer->tier != upstream->tier || peer->leaving)
			continue;
		(*listed)++;
		if (peer != upstream && now_us < peer->ejected_until_us)
			(*ejected)++;
	}
}

static bool may_eject(const routing_t *routing, const upstream_t *upstream,
		      int64_t now_us, bool certain)
{
	size_t listed;
	size_t ejected;
	size_t remaining;

	count_peers(routing, upstream, now_us, &listed, &ejected, &remaining);
	if (!remaining)
		return false;
	return certain || (ejected + 1) * 3 <= listed;
}

static void eject(routing_t *routing, upstream_t *upstream, bool certain)
{
	int64_t now_us = cas_clock_now(routing->clock);
	int64_t until_us;

	if (now_us < upstream->ejected_until_us ||
	    !may_eject(routing, upstream, now_us, certain))
		return;
	if (now_us - upstream->ejected_until_us > EJECT_FORGET_US)
		upstream->ejections = 0;
	until_us = now_us + (EJECT_US << upstream->ejections);
	if (upstream->ejections < EJECT_DOUBLINGS_MAX)
		upstream->ejections++;
	upstream->ejected_until_us = until_us;
	upstream->slow_start_us = until_us;
	upstream->failures = 0;
	upstream->successes = 0;
	upstream->latency_us = 0;
	upstream->limit = 0;
	upstream->busy_permille = -1;
	if (routing->ops.ejected)
		routing->ops.ejected(routing->private, upstream->host,
				     until_us);
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Returns the median latency of the other upstreams in the tier, 0 when
 * fewer than two are known. */
static double peer_latency(const routing_t *routing, const upstream_t *upstream)
{
	double latencies[PEERS_MAX];
	size_t known = 0;
	size_t count;
	const upstream_t *peers =
		routing_service(routing, upstream->service, &count);

	for (size_t i = 0; i < count && known < PEERS_MAX; i++)
		if (&peers[i] != upstream && peers[i].tier == upstream->tier &&
		    peers[i].successes >= LATENCY_SUCCESSES)
			latencies[known++] = peers[i].latency_us;
	if (known < 2)
		return 0;
	qsort(latencies, known, sizeof(*latencies), compare_doubles);
	return latencies[known / 2];
}

static void judge_latency(routing_t *routing, upstream_t *upstream,
			  int64_t latency_us)
{
	double others;

	if (!upstream->successes)
		upstream->latency_us = (double)latency_us;
	upstream->latency_us +=
		LATENCY_WEIGHT * ((double)latency_us - upstream->latency_us);
	if (upstream->successes < LATENCY_SUCCESSES)
		upstream->successes++;
	if (upstream->successes < LATENCY_SUCCESSES)
		return;
	others = peer_latency(routing, upstream);
	if (others > 0 && upstream->latency_us > others * LATENCY_RATIO &&
	    upstream->latency_us > others + LATENCY_MARGIN_US)
		eject(routing, upstream, false);
}

void routing_judge(routing_t *routing, upstream_t *upstream,
		   const routing_result_t *result)
{
	switch (result->outcome) {
	case ROUTING_OK:
		upstream->failures = 0;
		judge_latency(routing, upstream, result->latency_us);
		break;
	case ROUTING_SHED:
	case ROUTING_CANCELLED:
		break;
	case ROUTING_FAILED:
		if (++upstream->failures >= FAILURES_MAX)
			eject(routing, upstream, false);
		break;
	case ROUTING_REFUSED:
	case ROUTING_EXPIRED:
		eject(routing, upstream, true);
		break;
	}
}

bool routing_is_ejected(const routing_t *routing, cas_id_t host)
{
	const upstream_t *upstream = routing_find(routing, host);

	return upstream &&
	       cas_clock_now(routing->clock) < upstream->ejected_until_us;
}
