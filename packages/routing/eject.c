/*
 * Outliers. An upstream with consecutive failures, or one that fails or takes
 * far longer than its peers, is ejected for a time that doubles with each
 * ejection.
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
/* Share of failed requests, smoothed over about ten of them. */
#define FAILURE_WEIGHT 0.1
#define FAILURE_RESULTS 10
/* Below this share, or below twice that of its peers, an upstream stays: when
 * all of them fail alike, the cause lies behind them. */
#define FAILURE_SHARE_MIN 0.2
#define FAILURE_RATIO 2
/* A request without response is a sign of a hung upstream when it waited this
 * long, and longer than is usual there. One that came with little time left
 * says nothing. */
#define EXPIRED_MIN_US (500 * CAS_USEC_PER_MSEC)
#define EXPIRED_RATIO 3

/* Among which upstreams at most a third are ejected. */
typedef enum eject_cap {
	EJECT_NO_CAP, /* the upstream certainly does not serve */
	EJECT_OF_TIER,
	EJECT_OF_SERVICE, /* also where a tier has one upstream only */
} eject_cap_t;

static bool is_out(const upstream_t *upstream, int64_t now_us)
{
	return upstream->leaving || now_us < upstream->ejected_until_us;
}

/* Counts listed and already ejected upstreams under the cap, and those of any
 * tier that remain besides this one. */
static void count_peers(const routing_t *routing, const upstream_t *upstream,
			int64_t now_us, eject_cap_t cap, size_t *listed,
			size_t *ejected, size_t *remaining)
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
		if (peer->leaving ||
		    (cap == EJECT_OF_TIER && peer->tier != upstream->tier))
			continue;
		(*listed)++;
		if (peer != upstream && now_us < peer->ejected_until_us)
			(*ejected)++;
	}
}

static bool may_eject(const routing_t *routing, const upstream_t *upstream,
		      int64_t now_us, eject_cap_t cap)
{
	size_t listed;
	size_t ejected;
	size_t remaining;

	count_peers(routing, upstream, now_us, cap, &listed, &ejected,
		    &remaining);
	if (!remaining)
		return false;
	return cap == EJECT_NO_CAP || (ejected + 1) * 3 <= listed;
}

static void eject(routing_t *routing, upstream_t *upstream, eject_cap_t cap)
{
	int64_t now_us = cas_clock_now(routing->clock);
	int64_t until_us;

	if (now_us < upstream->ejected_until_us ||
	    !may_eject(routing, upstream, now_us, cap))
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
		eject(routing, upstream, EJECT_OF_TIER);
}

/* Returns the mean share of failures of the other upstreams of the service, 0
 * when none is known. */
static double peer_failures(const routing_t *routing,
			    const upstream_t *upstream)
{
	double sum = 0;
	size_t known = 0;
	size_t count;
	const upstream_t *peers =
		routing_service(routing, upstream->service, &count);

	for (size_t i = 0; i < count; i++) {
		if (&peers[i] == upstream || peers[i].results < FAILURE_RESULTS)
			continue;
		sum += peers[i].failure_share;
		known++;
	}
	return known ? sum / (double)known : 0;
}

/* The share is kept over an ejection, so that peers which take over the
 * traffic are compared with it. */
static void judge_failures(routing_t *routing, upstream_t *upstream,
			   bool failed)
{
	double others;

	upstream->failure_share += FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) -
						     upstream->failure_share);
	if (upstream->results < FAILURE_RESULTS)
		upstream->results++;
	if (!failed || upstream->results < FAILURE_RESULTS ||
	    upstream->failure_share < FAILURE_SHARE_MIN)
		return;
	others = peer_failures(routing, upstream);
	if (upstream->failure_share > others * FAILURE_RATIO)
		eject(routing, upstream, EJECT_OF_SERVICE);
}

static void judge_expired(routing_t *routing, upstream_t *upstream,
			  int64_t latency_us)
{
	judge_failures(routing, upstream, true);
	if (latency_us >= EXPIRED_MIN_US &&
	    latency_us > upstream->latency_us * EXPIRED_RATIO)
		eject(routing, upstream, EJECT_OF_SERVICE);
}

void routing_judge(routing_t *routing, upstream_t *upstream,
		   const routing_result_t *result)
{
	switch (result->outcome) {
	case ROUTING_OK:
		upstream->failures = 0;
		judge_failures(routing, upstream, false);
		judge_latency(routing, upstream, result->latency_us);
		break;
	case ROUTING_ERROR:
		judge_failures(routing, upstream, true);
		break;
	case ROUTING_SHED:
	case ROUTING_CANCELLED:
		break;
	case ROUTING_FAILED:
		judge_failures(routing, upstream, true);
		if (++upstream->failures >= FAILURES_MAX)
			eject(routing, upstream, EJECT_OF_TIER);
		break;
	case ROUTING_EXPIRED:
		judge_expired(routing, upstream, result->latency_us);
		break;
	case ROUTING_REFUSED:
		eject(routing, upstream, EJECT_NO_CAP);
		break;
	}
}

bool routing_is_ejected(const routing_t *routing, cas_id_t host)
{
	const upstream_t *upstream = routing_find(routing, host);

	return upstream &&
	       cas_clock_now(routing->clock) < upstream->ejected_until_us;
}
