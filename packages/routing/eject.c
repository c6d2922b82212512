/*
 * Outlier detection. An upstream is ejected after consecutive failures, or when
 * it fails far more often or responds far more slowly than its peers. The
 * duration of an ejection doubles each time.
 */
#include <stdlib.h>

#include "routing_internal.h"

/* Number of consecutive failures that ejects an upstream. */
#define CONSECUTIVE_FAILURES_MAX 5
/* Duration of the first ejection, and how often it may double. */
#define EJECT_BASE_US CAS_USEC_PER_SEC
#define EJECT_DOUBLINGS_MAX 6
/* After this time without an ejection the duration starts from EJECT_BASE_US
 * again. */
#define EJECT_RESET_US (60 * CAS_USEC_PER_SEC)
/* Weight of the newest sample in the moving average of the latency. */
#define LATENCY_SMOOTHING 0.1
/* Fewer samples are not compared with others. */
#define LATENCY_SAMPLES_MIN 20
/* A latency is an outlier above both this multiple of the peers' median and the
 * median plus the margin. */
#define LATENCY_OUTLIER_RATIO 3
#define LATENCY_OUTLIER_MARGIN_US (10 * CAS_USEC_PER_MSEC)
/* Bounds the array for the median: further peers are left out. */
#define LATENCY_PEERS_MAX 64
/* The failure rate is a moving average over about ten requests. */
#define FAILURE_RATE_SMOOTHING 0.1
#define FAILURE_RATE_SAMPLES_MIN 10
/* An upstream is not ejected below this failure rate, or up to this multiple
 * of the mean of its peers: when all fail alike, the cause is a service that
 * they depend on. */
#define FAILURE_RATE_OUTLIER_MIN 0.2
#define FAILURE_RATE_OUTLIER_RATIO 2
/* A request that expires indicates a hung upstream only when it has waited this
 * long, and longer than this multiple of the upstream's usual latency. One that
 * was sent shortly before its deadline does not. */
#define EXPIRED_MIN_US (500 * CAS_USEC_PER_MSEC)
#define EXPIRED_LATENCY_RATIO 3

/* The set of upstreams of which at most a third may be ejected at a time. */
typedef enum eject_cap {
	EJECT_CAP_NONE, /* no bound: it refuses all, and so does not serve */
	EJECT_CAP_DOWN, /* the same, and never longer than EJECT_BASE_US */
	EJECT_CAP_TIER, /* those of the same tier */
	EJECT_CAP_SERVICE, /* all; also ejects the only one of a tier */
} eject_cap_t;

/* Returns whether the upstream certainly does not serve. */
static bool is_refusal(eject_cap_t cap)
{
	return cap == EJECT_CAP_NONE || cap == EJECT_CAP_DOWN;
}

static bool is_unavailable(const upstream_t *upstream, int64_t now_us)
{
	return routing_is_closed(upstream) ||
	       now_us < upstream->ejected_until_us;
}

/* Counts upstreams of the same service. scope_size: those in the scope of the
 * cap that are not closed. already_ejected: the ejected ones among these
 * apart from upstream. usable_others: usable ones of any tier apart from
 * upstream; one whose daemon is stopping is of more use only than an upstream
 * that certainly does not serve. */
static void count_peers(const routing_t *routing, const upstream_t *upstream,
			int64_t now_us, eject_cap_t cap, size_t *scope_size,
			size_t *already_ejected, size_t *usable_others)
{
	size_t count;
	const upstream_t *peers =
		routing_service_upstreams(routing, upstream->service, &count);

	*scope_size = *already_ejected = *usable_others = 0;
	for (size_t i = 0; i < count; i++) {
		const upstream_t *peer = &peers[i];

		if (peer != upstream && peer->max_connections &&
		    !is_unavailable(peer, now_us) &&
		    (!peer->stopping || is_refusal(cap)))
			(*usable_others)++;
		if (routing_is_closed(peer) ||
		    (cap == EJECT_CAP_TIER && peer->tier != upstream->tier))
			continue;
		(*scope_size)++;
		if (peer != upstream && now_us < peer->ejected_until_us)
			(*already_ejected)++;
	}
}

/* Returns whether the cap allows one more ejection. The last usable upstream
 * of a service is never ejected. */
static bool may_eject(const routing_t *routing, const upstream_t *upstream,
		      int64_t now_us, eject_cap_t cap)
{
	size_t scope_size;
	size_t already_ejected;
	size_t usable_others;

	count_peers(routing, upstream, now_us, cap, &scope_size,
		    &already_ejected, &usable_others);
	if (!usable_others)
		return false;
	return is_refusal(cap) || (already_ejected + 1) * 3 <= scope_size;
}

/* Ejects the upstream unless it is ejected already or the cap forbids it. Its
 * slow start begins when the ejection ends, unless only its daemon restarts.
 * Returns whether it was ejected. */
static bool eject(routing_t *routing, upstream_t *upstream, eject_cap_t cap)
{
	int64_t now_us = cas_clock_now(routing->clock);
	bool refused = is_refusal(cap);
	int64_t until_us;

	if (now_us < upstream->ejected_until_us ||
	    !may_eject(routing, upstream, now_us, cap))
		return false;
	if (now_us - upstream->ejected_until_us > EJECT_RESET_US) {
		upstream->recent_ejections = 0;
		upstream->refusal_doublings = 0;
	}
	until_us = now_us +
		   (cap == EJECT_CAP_DOWN
			    ? EJECT_BASE_US
			    : EJECT_BASE_US << upstream->recent_ejections);
	if (cap != EJECT_CAP_DOWN &&
	    upstream->recent_ejections < EJECT_DOUBLINGS_MAX) {
		upstream->recent_ejections++;
		upstream->refusal_doublings += refused;
	}
	upstream->ejected_until_us = until_us;
	upstream->refused = refused;
	upstream->unreachable = false;
	if (refused)
		upstream->refused_at_us = now_us;
	if (!refused || !upstream->stopping)
		upstream->slow_start_at_us = until_us;
	upstream->consecutive_failures = 0;
	upstream->latency_samples = 0;
	upstream->smoothed_latency_us = 0;
	upstream->concurrency_limit = 0;
	upstream->busy_permille = -1;
	if (refused)
		estimate_reset(&upstream->estimate, now_us);
	placement_invalidate(routing, upstream->service);
	if (routing->ops.ejected)
		routing->ops.ejected(routing->private, upstream->host,
				     until_us);
	return true;
}

/* Ends an ejection for a refusal when the upstream has responded to a request
 * that was sent after it, and takes back the doublings: the daemon is back. The
 * response to an earlier request may come from a daemon that has closed its
 * listener. */
static void readmit_responding(routing_t *routing, upstream_t *upstream,
			       int64_t latency_us)
{
	int64_t now_us = cas_clock_now(routing->clock);

	if (!upstream->refused || now_us - latency_us < upstream->refused_at_us)
		return;
	upstream->refused = false;
	upstream->unreachable = false;
	upstream->recent_ejections -= upstream->refusal_doublings;
	upstream->refusal_doublings = 0;
	if (now_us < upstream->ejected_until_us) {
		upstream->ejected_until_us = now_us;
		placement_invalidate(routing, upstream->service);
	}
	if (now_us < upstream->slow_start_at_us)
		upstream->slow_start_at_us = now_us;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Returns the median latency of the other upstreams in the tier, in
 * microseconds, or 0 when fewer than two are known. */
static double peer_median_latency(const routing_t *routing,
				  const upstream_t *upstream)
{
	double latencies[LATENCY_PEERS_MAX];
	size_t known = 0;
	size_t count;
	const upstream_t *peers =
		routing_service_upstreams(routing, upstream->service, &count);

	for (size_t i = 0; i < count && known < LATENCY_PEERS_MAX; i++)
		if (&peers[i] != upstream && peers[i].tier == upstream->tier &&
		    peers[i].latency_samples >= LATENCY_SAMPLES_MIN)
			latencies[known++] = peers[i].smoothed_latency_us;
	if (known < 2)
		return 0;
	qsort(latencies, known, sizeof(*latencies), compare_doubles);
	return latencies[known / 2];
}

/* Adds the latency of a success and ejects a slow outlier. */
static void record_latency(routing_t *routing, upstream_t *upstream,
			   int64_t latency_us)
{
	double peer_latency_us;

	if (!upstream->latency_samples)
		upstream->smoothed_latency_us = (double)latency_us;
	upstream->smoothed_latency_us +=
		LATENCY_SMOOTHING *
		((double)latency_us - upstream->smoothed_latency_us);
	if (upstream->latency_samples < LATENCY_SAMPLES_MIN)
		upstream->latency_samples++;
	if (upstream->latency_samples < LATENCY_SAMPLES_MIN)
		return;
	peer_latency_us = peer_median_latency(routing, upstream);
	if (peer_latency_us > 0 &&
	    upstream->smoothed_latency_us >
		    peer_latency_us * LATENCY_OUTLIER_RATIO &&
	    upstream->smoothed_latency_us >
		    peer_latency_us + LATENCY_OUTLIER_MARGIN_US)
		eject(routing, upstream, EJECT_CAP_TIER);
}

/* Returns the mean failure rate of the other upstreams of the service, or 0
 * when none is known. */
static double peer_mean_failure_rate(const routing_t *routing,
				     const upstream_t *upstream)
{
	double sum = 0;
	size_t known = 0;
	size_t count;
	const upstream_t *peers =
		routing_service_upstreams(routing, upstream->service, &count);

	for (size_t i = 0; i < count; i++) {
		if (&peers[i] == upstream ||
		    peers[i].failure_rate_samples < FAILURE_RATE_SAMPLES_MIN)
			continue;
		sum += peers[i].failure_rate;
		known++;
	}
	return known ? sum / (double)known : 0;
}

/* Updates the failure rate and ejects an outlier. The rate is kept during an
 * ejection, so that peers that take over the traffic are compared with it. */
static void record_outcome(routing_t *routing, upstream_t *upstream,
			   bool failed)
{
	double peer_failure_rate;

	upstream->failure_rate +=
		FAILURE_RATE_SMOOTHING *
		((failed ? 1.0 : 0.0) - upstream->failure_rate);
	if (upstream->failure_rate_samples < FAILURE_RATE_SAMPLES_MIN)
		upstream->failure_rate_samples++;
	if (!failed ||
	    upstream->failure_rate_samples < FAILURE_RATE_SAMPLES_MIN ||
	    upstream->failure_rate < FAILURE_RATE_OUTLIER_MIN)
		return;
	peer_failure_rate = peer_mean_failure_rate(routing, upstream);
	if (upstream->failure_rate >
	    peer_failure_rate * FAILURE_RATE_OUTLIER_RATIO)
		eject(routing, upstream, EJECT_CAP_SERVICE);
}

/* latency_us is the time that the request has waited. */
static void record_expired(routing_t *routing, upstream_t *upstream,
			   int64_t latency_us)
{
	record_outcome(routing, upstream, true);
	if (latency_us >= EXPIRED_MIN_US &&
	    latency_us > upstream->smoothed_latency_us * EXPIRED_LATENCY_RATIO)
		eject(routing, upstream, EJECT_CAP_SERVICE);
}

void routing_record_result(routing_t *routing, upstream_t *upstream,
			   const routing_result_t *result)
{
	switch (result->outcome) {
	case ROUTING_OK:
		readmit_responding(routing, upstream, result->latency_us);
		upstream->consecutive_failures = 0;
		record_outcome(routing, upstream, false);
		record_latency(routing, upstream, result->latency_us);
		break;
	case ROUTING_ERROR:
		readmit_responding(routing, upstream, result->latency_us);
		record_outcome(routing, upstream, true);
		break;
	case ROUTING_SHED:
		/* Without a report it was shed before it was sent. */
		if (result->busy_permille >= 0)
			readmit_responding(routing, upstream,
					   result->latency_us);
		break;
	case ROUTING_CANCELLED:
		break;
	case ROUTING_FAILED:
		record_outcome(routing, upstream, true);
		if (++upstream->consecutive_failures >=
		    CONSECUTIVE_FAILURES_MAX)
			eject(routing, upstream, EJECT_CAP_TIER);
		break;
	case ROUTING_EXPIRED:
		record_expired(routing, upstream, result->latency_us);
		break;
	case ROUTING_REFUSED:
		eject(routing, upstream, EJECT_CAP_NONE);
		break;
	case ROUTING_DOWN:
		eject(routing, upstream, EJECT_CAP_DOWN);
		break;
	case ROUTING_UNREACHABLE:
		if (eject(routing, upstream, EJECT_CAP_NONE))
			upstream->unreachable = true;
		break;
	}
}

bool routing_is_ejected(const routing_t *routing, cas_id_t host)
{
	const upstream_t *upstream = routing_find_upstream(routing, host);

	return upstream &&
	       cas_clock_now(routing->clock) < upstream->ejected_until_us;
}
