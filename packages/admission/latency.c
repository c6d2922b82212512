/*
 * Latency by kind of request. Requests of different kinds take very different
 * times, so a mean over all of them mostly shows changes of the mix. Each kind
 * has a base time: its own time, without waiting for child calls, when nothing
 * queues in the upstream. The ratio of measured own time to base time is the
 * inflation caused by queueing in the upstream.
 */
#include "latency_internal.h"

#include "cassia/clock.h"

/* Window of the smoothed means, in samples. */
#define SMOOTHING_SAMPLES 64
/* Half-life of the typical time of a kind without successes. A stale value
 * would otherwise reject every request. */
#define STALE_HALF_LIFE_US (CAS_USEC_PER_SEC / 2)
/* After more half-lives than this the typical time is not known. */
#define STALE_HALVINGS_MAX 30

latency_kind_t *latency_kind(latency_t *latency, cas_id_t id)
{
	latency_kind_t *kind;

	for (int i = 0; i < latency->kind_count; i++)
		if (latency->kinds[i].id == id)
			return &latency->kinds[i];
	if (latency->kind_count == LATENCY_KINDS)
		return &latency->kinds[LATENCY_KINDS - 1];
	kind = &latency->kinds[latency->kind_count++];
	kind->id = id;
	return kind;
}

/* Adds a value to a mean: the arithmetic mean of the first SMOOTHING_SAMPLES
 * values, an exponentially weighted one after that. */
static void update_mean(double *mean, int32_t *samples, double value)
{
	if (*samples < SMOOTHING_SAMPLES)
		(*samples)++;
	*mean += (value - *mean) / *samples;
}

void latency_record(latency_kind_t *kind, int64_t now_us, int64_t total_us,
		    int64_t own_us, bool ok)
{
	int32_t samples = kind->finish_samples;

	update_mean(&kind->mean_own_us, &samples, (double)own_us);
	update_mean(&kind->mean_child_us, &kind->finish_samples,
		    (double)(total_us - own_us));
	if (!ok)
		return;
	update_mean(&kind->typical_us, &kind->success_samples,
		    (double)total_us);
	kind->last_success_us = now_us;
}

void latency_add_sample(latency_kind_t *kind, int64_t total_us, int64_t own_us)
{
	kind->period_own_us += (double)own_us;
	kind->period_total_us += (double)total_us;
	kind->period_count++;
}

double latency_unqueued(const latency_kind_t *kind)
{
	double own = kind->mean_own_us;

	if (kind->base_us > 0 && kind->base_us < own)
		own = kind->base_us;
	return own + kind->mean_child_us;
}

int64_t latency_typical(const latency_kind_t *kind, int64_t now_us)
{
	int64_t halvings =
		(now_us - kind->last_success_us) / STALE_HALF_LIFE_US;

	if (halvings > STALE_HALVINGS_MAX)
		return 0;
	return (int64_t)kind->typical_us >> halvings;
}

void latency_reset_period(latency_t *latency)
{
	for (int i = 0; i < latency->kind_count; i++) {
		latency->kinds[i].period_own_us = 0;
		latency->kinds[i].period_total_us = 0;
		latency->kinds[i].period_count = 0;
	}
}

/* Moves the base time of a kind towards its mean own time in the period,
 * divided by the inflation over all kinds. */
static void adapt_base(latency_kind_t *kind, double inflation)
{
	double weight = (double)kind->period_count / SMOOTHING_SAMPLES;
	double mean = kind->period_own_us / kind->period_count / inflation;

	if (kind->base_us <= 0 || weight > 1)
		weight = 1;
	kind->base_us += weight * (mean - kind->base_us);
}

latency_period_t latency_end_period(latency_t *latency)
{
	latency_period_t period = { .inflation = 1, .own_share = 1 };
	double own = 0;
	double total = 0;
	double base = 0;

	for (int i = 0; i < latency->kind_count; i++) {
		const latency_kind_t *kind = &latency->kinds[i];

		if (kind->base_us <= 0)
			continue;
		own += kind->period_own_us;
		total += kind->period_total_us;
		base += kind->base_us * kind->period_count;
		period.sample_count += kind->period_count;
	}
	if (base > 0 && own > 0) {
		period.inflation = own / base;
		period.own_share = own / total;
	}
	for (int i = 0; i < latency->kind_count; i++)
		if (latency->kinds[i].period_count)
			adapt_base(&latency->kinds[i], period.inflation);
	latency_reset_period(latency);
	return period;
}

void latency_scale_base(latency_t *latency, double factor)
{
	for (int i = 0; i < latency->kind_count; i++)
		latency->kinds[i].base_us *= factor;
}
