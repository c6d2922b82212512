/* Estimates the time of a response, see estimate.h. */
#include "estimate.h"

#include <string.h>

#include "cassia/number.h"

#include "links.h"

/* A report has lost its weight at this age. Slow intervals of machines last
 * about 600 ms and a queue less, so a report is half true after half of it. */
#define REPORT_LIFE_US CAS_USEC_PER_SEC
/* A latency that exceeds what is known by more than this is a sign that the
 * report has waited in this daemon or on the way, so it counts as that old. */
#define LATE_REPORT_US (500 * CAS_USEC_PER_MSEC)
/* What is usual of rejections is forgotten in this time. */
#define TURNED_AWAY_LIFE_US (2 * CAS_USEC_PER_SEC)
/* Weights of the newest sample. */
#define SMOOTHING 0.05
#define LIMIT_SMOOTHING 0.2
#define UNEXPLAINED_SMOOTHING 0.1
/* The usual speed of an upstream is a mean over this time: it has about 100
 * intervals of 600 ms, so that their chance part is a few percent. */
#define SPEED_MEAN_US (60 * CAS_USEC_PER_SEC)
/* Time that one sample of the speed stands for at most, and the first one. */
#define SPEED_SAMPLE_MAX_US CAS_USEC_PER_SEC
/* Values beyond these bounds are taken as the bound: reports may be wrong. */
#define SLOWDOWN_MIN 0.1
#define SLOWDOWN_MAX 10.0
#define REPORTED_TIME_MAX_US (30 * CAS_USEC_PER_SEC)
#define OWN_SAMPLE_RATIO_MAX 4
/* A sample of the time of child calls counts at most this part of the present
 * time away from it, so that one late upstream does not explain itself. */
#define CHILDREN_STEP_RATIO 0.5
#define LIMIT_SAMPLE_RATIO_MAX 4
#define LIMIT_MAX 10000
/* A reported slowdown counts at most this far beyond the measured own time. */
#define SLOWDOWN_TRUST_RATIO 2
/* Part of a change of the reported own time that counts as a slow moment, where
 * no slowdown is reported: it is a mean over few requests. */
#define OWN_TIME_TRUST 0.5
/* Round trips by tier until they are learned. */
static const double default_network_us[ROUTING_TIERS] = { 50, 200, 1800,
							  20000 };
/* The network time follows samples by this part of its default at a time: the
 * spread of own times is much larger than that of the network. */
#define NETWORK_STEP 0.02
#define NETWORK_MIN_RATIO 0.5
/* Transfer time inside a region: that of 1 Gbit/s. */
#define REGION_US_PER_KB 8.0
/* Price of a kilobyte by tier, in time: a fiftieth and an eighth of the 20 ms
 * that a plain request takes. */
static const double price_us_per_kb[ROUTING_TIERS] = { 0, 0, 400, 2500 };
/* Bytes of head and response of a plain request. */
#define PLAIN_BYTES 2048
/* Part of the usual own time that each outstanding request of this daemon adds
 * to the cost. It is the only sign of a slow or full upstream that is newer than
 * the last report. */
#define PENDING_PART 0.3
/* Own time until one is known. */
#define DEFAULT_OWN_US 20000.0
/* Residue of an exponential own time that is not unexplained. */
#define OWN_SPREAD 3
/* Processor time of one call in the daemon beside the upstream, and the use up
 * to which its queue is estimated. */
#define PROCESSOR_CALL_US 300.0
#define PROCESSOR_USE_MAX 0.98
/* Rejections are expected up to this probability: the request goes elsewhere
 * afterwards, which succeeds at some time. */
#define REFUSAL_MAX 0.9
/* Spread of a tie: a refusal also costs a second choice and its messages. */
#define REFUSAL_EXTRA_US 5000.0

static void smooth(double *average, double sample, double weight)
{
	*average += weight * (sample - *average);
}

static size_t kind_slot(cas_id_t service, cas_id_t kind, size_t probe)
{
	return (cas_rendezvous_weight(service, kind) + probe) %
	       ESTIMATE_KIND_SLOTS;
}

const estimate_kind_t *estimate_find_kind(const estimate_kinds_t *kinds,
					  cas_id_t service, cas_id_t kind)
{
	for (size_t i = 0; i < ESTIMATE_KIND_PROBES; i++) {
		const estimate_kind_t *slot =
			&kinds->slots[kind_slot(service, kind, i)];

		if (slot->service == service && slot->kind == kind)
			return slot;
	}
	return NULL;
}

/* Returns the slot of the kind, which replaces another one if it is new. */
static estimate_kind_t *use_kind(estimate_kinds_t *kinds, cas_id_t service,
				 cas_id_t kind, int64_t now_us)
{
	estimate_kind_t *oldest = NULL;

	for (size_t i = 0; i < ESTIMATE_KIND_PROBES; i++) {
		estimate_kind_t *slot =
			&kinds->slots[kind_slot(service, kind, i)];

		if (slot->service == service && slot->kind == kind) {
			slot->used_at_us = now_us;
			return slot;
		}
		if (!oldest || slot->used_at_us < oldest->used_at_us)
			oldest = slot;
	}
	*oldest = (estimate_kind_t){ .service = service,
				     .kind = kind,
				     .used_at_us = now_us };
	return oldest;
}

double estimate_report_weight(const estimate_upstream_t *upstream,
			      int64_t now_us)
{
	int64_t age_us = now_us - upstream->report_at_us;

	if (!upstream->reported || age_us >= REPORT_LIFE_US)
		return 0;
	return 1 - (double)age_us / (double)REPORT_LIFE_US;
}

double estimate_usual_speed(const estimate_upstream_t *upstream)
{
	double speed = upstream->speed > 0 ? upstream->speed : 1;

	if (!(upstream->slowdown > 0))
		return cas_clamp(speed, SLOWDOWN_MIN, SLOWDOWN_MAX);
	return cas_clamp(upstream->slowdown, speed / SLOWDOWN_TRUST_RATIO,
			 speed * SLOWDOWN_TRUST_RATIO);
}

double estimate_turned_away(const estimate_service_t *service, int64_t now_us)
{
	int64_t age_us = now_us - service->turned_away_at_us;

	if (age_us >= TURNED_AWAY_LIFE_US)
		return 0;
	return service->turned_away *
	       (1 - (double)age_us / (double)TURNED_AWAY_LIFE_US);
}

static double price_us(routing_tier_t tier, int64_t body_bytes)
{
	return price_us_per_kb[tier] *
	       (double)(PLAIN_BYTES + link_body_bytes(body_bytes)) / 1024;
}

double estimate_distance_us(routing_tier_t tier, int64_t body_bytes)
{
	return default_network_us[tier] + price_us(tier, body_bytes);
}

static double network_of(const estimate_upstream_t *upstream,
			 routing_tier_t tier)
{
	return upstream->network_us > 0 ? upstream->network_us
					: default_network_us[tier];
}

/* Returns the usual time of the request at the speed of the service. */
static double base_own_us(const estimate_input_t *input)
{
	if (input->kind && input->kind->own_us > 0)
		return input->kind->own_us;
	return input->service->own_us > 0 ? input->service->own_us
					  : DEFAULT_OWN_US;
}

/* Sets the wait as the report has it, with own requests since then, and the
 * usual wait as far as the report has aged. */
static void compute_wait(const estimate_input_t *input, estimate_t *estimate)
{
	const estimate_upstream_t *upstream = input->upstream;
	double sent = upstream->sent_since < input->outstanding
			      ? upstream->sent_since
			      : input->outstanding;
	double limit = upstream->limit >= 1 ? upstream->limit
					    : DEFAULT_CONCURRENCY_LIMIT;
	double turn_us = estimate->own_us / limit;
	double use = cas_clamp(upstream->report.processor_permille / 1000.0, 0,
			       PROCESSOR_USE_MAX);
	double reported_us = PROCESSOR_CALL_US * use / (1 - use);
	double usual_us = input->service->wait_us;

	estimate->room = upstream->report.room - sent;
	if (estimate->room < 1)
		reported_us += (double)upstream->report.wait_us +
			       (1 - estimate->room) * turn_us;
	if (input->outstanding > limit)
		usual_us += (input->outstanding - limit) * turn_us;
	estimate->pending_us =
		PENDING_PART * input->outstanding * base_own_us(input);
	estimate->wait_us = estimate->weight * reported_us +
			    (1 - estimate->weight) * usual_us;
}

/* A rejected request goes elsewhere afterwards, at the usual time. */
static void compute_refusal(const estimate_input_t *input, estimate_t *estimate)
{
	double reported = input->upstream->report.turned_away_permille / 1000.0;
	double usual = estimate_turned_away(input->service, input->now_us);
	double refused =
		estimate->weight * reported + (1 - estimate->weight) * usual;
	double lost = cas_clamp(refused + input->failure_rate, 0, REFUSAL_MAX);

	estimate->refusal_us = lost / (1 - lost) *
			       (estimate->network_us + input->service->wait_us +
				base_own_us(input) + REFUSAL_EXTRA_US);
}

void estimate_compute(const estimate_input_t *input, estimate_t *estimate)
{
	const estimate_upstream_t *upstream = input->upstream;
	double base_us = base_own_us(input);
	double usual = estimate_usual_speed(upstream);
	double now = usual;

	memset(estimate, 0, sizeof(*estimate));
	estimate->weight = estimate_report_weight(upstream, input->now_us);
	estimate->age_us = input->now_us - upstream->report_at_us;
	if (upstream->report.slowdown > 0 && upstream->slowdown > 0)
		now = usual * cas_clamp(upstream->report.slowdown / 100.0 /
						upstream->slowdown,
					SLOWDOWN_MIN, SLOWDOWN_MAX);
	else if (upstream->last_speed > 0)
		now = usual + OWN_TIME_TRUST * (upstream->last_speed - usual);
	estimate->base_us = base_us;
	estimate->excess_us = estimate->weight * base_us * (now / usual - 1);
	estimate->own_us = (base_us + estimate->excess_us) * usual;
	estimate->network_us = network_of(upstream, input->tier);
	estimate->transfer_us =
		input->tier == ROUTING_OTHER_REGION
			? input->link_transfer_us
			: REGION_US_PER_KB *
				  (double)link_body_bytes(input->body_bytes) /
				  1024;
	estimate->price_us = price_us(input->tier, input->body_bytes);
	estimate->children_us = input->kind ? input->kind->children_us : 0;
	estimate->unexplained_us = upstream->unexplained_us;
	compute_wait(input, estimate);
	compute_refusal(input, estimate);
}

double estimate_response_us(const estimate_t *estimate)
{
	return estimate->network_us + estimate->transfer_us +
	       estimate->wait_us + estimate->own_us + estimate->children_us +
	       estimate->unexplained_us;
}

double estimate_cost_us(const estimate_t *estimate)
{
	return estimate->network_us + estimate->transfer_us +
	       estimate->price_us + estimate->wait_us + estimate->refusal_us +
	       estimate->unexplained_us + estimate->excess_us +
	       estimate->pending_us;
}

void estimate_reset(estimate_upstream_t *upstream, int64_t now_us)
{
	double network_us = upstream->network_us;
	double speed = upstream->speed;
	double slowdown = upstream->slowdown;
	int64_t speed_at_us = upstream->speed_at_us;
	int64_t speed_span_us = upstream->speed_span_us;

	*upstream = (estimate_upstream_t){ .run_since_us = now_us,
					   .speed_at_us = speed_at_us,
					   .speed_span_us = speed_span_us,
					   .network_us = network_us,
					   .slowdown = slowdown,
					   .speed = speed };
}

/* Returns the weight of a sample of the speed in its mean over time: a sample
 * stands for the time since the one before. */
static double speed_sample_weight(estimate_upstream_t *upstream, int64_t now_us)
{
	int64_t since_us = now_us - upstream->speed_at_us;

	if (since_us > SPEED_SAMPLE_MAX_US)
		since_us = SPEED_SAMPLE_MAX_US;
	upstream->speed_at_us = now_us;
	upstream->speed_span_us += since_us;
	if (upstream->speed_span_us > SPEED_MEAN_US)
		upstream->speed_span_us = SPEED_MEAN_US;
	return upstream->speed_span_us
		       ? (double)since_us / (double)upstream->speed_span_us
		       : 0;
}

/* Learns the usual own time of the kind and the speed of the upstream. */
static void learn_own_time(estimate_upstream_t *upstream,
			   estimate_service_t *service, estimate_kind_t *kind,
			   const routing_load_t *load, int64_t now_us)
{
	double own_us =
		cas_clamp((double)load->own_us, 0, REPORTED_TIME_MAX_US);
	double weight = speed_sample_weight(upstream, now_us);
	double sample;

	if (load->slowdown > 0) {
		sample = cas_clamp(load->slowdown / 100.0, SLOWDOWN_MIN,
				   SLOWDOWN_MAX);
		if (!(upstream->slowdown > 0))
			upstream->slowdown = sample;
		smooth(&upstream->slowdown, sample, weight);
	}
	if (!(own_us > 0))
		return;
	sample = upstream->slowdown > 0 ? own_us / upstream->slowdown : own_us;
	if (!(kind->own_us > 0))
		kind->own_us = sample;
	sample = cas_clamp(sample, kind->own_us / OWN_SAMPLE_RATIO_MAX,
			   kind->own_us * OWN_SAMPLE_RATIO_MAX);
	smooth(&kind->own_us, sample, SMOOTHING);
	if (!(service->own_us > 0))
		service->own_us = own_us;
	smooth(&service->own_us, own_us, SMOOTHING);
	sample = cas_clamp(own_us / kind->own_us, SLOWDOWN_MIN, SLOWDOWN_MAX);
	upstream->last_speed = sample;
	if (!(upstream->speed > 0))
		upstream->speed = sample;
	smooth(&upstream->speed, sample, weight);
}

/* Learns from the latency of a served request. Returns what own time, wait and
 * child calls do not account for, in microseconds. */
static double learn_latency(estimate_upstream_t *upstream,
			    estimate_kind_t *kind, routing_tier_t tier,
			    const routing_result_t *result)
{
	double usual_us = default_network_us[tier];
	double step_us = usual_us * NETWORK_STEP;
	double own_us = result->load.own_us > 0
				? cas_clamp((double)result->load.own_us, 0,
					    REPORTED_TIME_MAX_US)
				: kind->own_us * estimate_usual_speed(upstream);
	double wait_us = cas_clamp((double)result->load.wait_us, 0,
				   REPORTED_TIME_MAX_US);
	double rest_us = (double)result->latency_us - own_us - wait_us;
	double sample_us;

	if (tier != ROUTING_OTHER_REGION) {
		double children_us = rest_us - network_of(upstream, tier);
		double most_us =
			(kind->children_us + own_us) * CHILDREN_STEP_RATIO;

		kind->children_us +=
			SMOOTHING * cas_clamp(children_us - kind->children_us,
					      -most_us, most_us);
		if (kind->children_us < 0)
			kind->children_us = 0;
	}
	rest_us -= kind->children_us;
	sample_us = rest_us - network_of(upstream, tier);
	upstream->network_us =
		cas_clamp(network_of(upstream, tier) +
				  cas_clamp(sample_us, -step_us, step_us),
			  usual_us * NETWORK_MIN_RATIO,
			  usual_us + (double)LATE_REPORT_US);
	sample_us -= OWN_SPREAD * (own_us + kind->children_us);
	smooth(&upstream->unexplained_us, sample_us > 0 ? sample_us : 0,
	       UNEXPLAINED_SMOOTHING);
	return rest_us;
}

static void learn_service(const estimate_upstream_t *upstream,
			  estimate_service_t *service, int64_t now_us)
{
	const routing_load_t *load = &upstream->report;
	double turned_away = estimate_turned_away(service, now_us);

	service->turned_away = turned_away;
	service->turned_away_at_us = now_us;
	smooth(&service->turned_away, load->turned_away_permille / 1000.0,
	       SMOOTHING);
	smooth(&service->wait_us, load->room > 0 ? 0 : (double)load->wait_us,
	       SMOOTHING);
	if (!(service->limit > 0))
		service->limit = upstream->limit;
	smooth(&service->limit,
	       cas_clamp(upstream->limit,
			 service->limit / LIMIT_SAMPLE_RATIO_MAX,
			 service->limit * LIMIT_SAMPLE_RATIO_MAX),
	       SMOOTHING);
}

static void learn_limit(estimate_upstream_t *upstream,
			const routing_result_t *result)
{
	double limit = cas_clamp(result->limit_hint, 1, LIMIT_MAX);

	if (result->limit_hint <= 0)
		return;
	if (!(upstream->limit > 0))
		upstream->limit = limit;
	smooth(&upstream->limit, limit,
	       result->load.paced ? 1 : LIMIT_SMOOTHING);
}

/* Takes over the report, within bounds. late_us: its age at the arrival. */
static void take_report(estimate_upstream_t *upstream,
			const routing_load_t *load, int64_t late_us,
			int64_t now_us)
{
	upstream->reported = true;
	upstream->report = *load;
	upstream->report.wait_us = (int64_t)cas_clamp((double)load->wait_us, 0,
						      REPORTED_TIME_MAX_US);
	upstream->report.room = load->room > 0 ? load->room : 0;
	upstream->report.turned_away_permille =
		(int32_t)cas_clamp(load->turned_away_permille, 0, 1000);
	upstream->report_at_us = now_us - late_us;
	upstream->sent_since = 0;
}

bool estimate_learn(estimate_upstream_t *upstream, estimate_service_t *service,
		    estimate_kinds_t *kinds, cas_id_t service_id,
		    routing_tier_t tier, const routing_result_t *result,
		    int64_t now_us, int64_t *transfer_us, int64_t *spread_us)
{
	estimate_kind_t *kind;
	double late_us = 0;

	*transfer_us = -1;
	*spread_us = 0;
	service->load_seen_us = now_us;
	if (now_us - result->latency_us < upstream->run_since_us)
		return false;
	kind = use_kind(kinds, service_id, result->kind, now_us);
	learn_own_time(upstream, service, kind, &result->load, now_us);
	learn_limit(upstream, result);
	if (result->outcome == ROUTING_OK) {
		double rest_us = learn_latency(upstream, kind, tier, result);
		double own_us = cas_clamp((double)result->load.own_us, 0,
					  REPORTED_TIME_MAX_US);

		*spread_us =
			(int64_t)(OWN_SPREAD * (kind->children_us + own_us));
		late_us = rest_us - (double)*spread_us;
		late_us = late_us > (double)LATE_REPORT_US ? late_us : 0;
		rest_us -= network_of(upstream, tier);
		*transfer_us = rest_us > 0 ? (int64_t)rest_us : 0;
	}
	take_report(upstream, &result->load, (int64_t)late_us, now_us);
	if (tier != ROUTING_OTHER_REGION)
		learn_service(upstream, service, now_us);
	return late_us < (double)REPORT_LIFE_US;
}

void estimate_learn_plain(estimate_upstream_t *upstream,
			  const estimate_service_t *service,
			  const routing_result_t *result, int64_t now_us)
{
	double busy = cas_clamp(result->busy_permille / 1000.0, 0, LIMIT_MAX);
	double own_us = service->own_us > 0 ? service->own_us : DEFAULT_OWN_US;
	routing_load_t load = { .known = false };

	if (result->limit_hint <= 0 ||
	    now_us - result->latency_us < upstream->run_since_us)
		return;
	learn_limit(upstream, result);
	if (busy < 1)
		load.room = (int32_t)(upstream->limit * (1 - busy));
	else
		load.wait_us = (int64_t)((busy - 1) * own_us);
	take_report(upstream, &load, 0, now_us);
}
