/*
 * Latency by kind of request. Requests of different kinds take very different
 * times, so a mean over all of them mostly shows changes of the mix. Each
 * kind has a base time, without waiting for child calls; the ratio of measured
 * to base time is the inflation that queueing in the upstream causes.
 */
#include "latency_internal.h"

#include "cassia/clock.h"

#define SMOOTHING 64
/* Without successes the typical latency halves in each such time, so that a
 * stale value does not keep every request out. */
#define STALE_US (CAS_USEC_PER_SEC / 2)
#define STALE_HALVINGS_MAX 30

latency_kind_t *latency_kind(latency_t *latency, cas_id_t id)
{
	latency_kind_t *kind;

	for (int i = 0; i < latency->count; i++)
		if (latency->kinds[i].id == id)
			return &latency->kinds[i];
	if (latency->count == LATENCY_KINDS)
		return &latency->kinds[LATENCY_KINDS - 1];
	kind = &latency->kinds[latency->count++];
	kind->id = id;
	return kind;
}

/* Moves a mean towards a value; the first values weigh equally. */
static void smooth(double *mean, int32_t *samples, double value)
{
	if (*samples < SMOOTHING)
		(*samples)++;
	*mean += (value - *mean) / *samples;
}

void latency_add(latency_kind_t *kind, int64_t now_us, int64_t total_us,
		 int64_t own_us, bool ok)
{
	int32_t samples = kind->finishes;

	smooth(&kind->own_held_us, &samples, (double)own_us);
	smooth(&kind->child_held_us, &kind->finishes,
	       (double)(total_us - own_us));
	if (!ok)
		return;
	smooth(&kind->typical_us, &kind->samples, (double)total_us);
	kind->typical_at_us = now_us;
}

void latency_sample(latency_kind_t *kind, int64_t total_us, int64_t own_us)
{
	kind->own_us += (double)own_us;
	kind->total_us += (double)total_us;
	kind->count++;
}

double latency_held(const latency_kind_t *kind)
{
	double own = kind->own_held_us;

	if (kind->base_us > 0 && kind->base_us < own)
		own = kind->base_us;
	return own + kind->child_held_us;
}

int64_t latency_typical(const latency_kind_t *kind, int64_t now_us)
{
	int64_t halvings = (now_us - kind->typical_at_us) / STALE_US;

	if (halvings > STALE_HALVINGS_MAX)
		return 0;
	return (int64_t)kind->typical_us >> halvings;
}

void latency_restart(latency_t *latency)
{
	for (int i = 0; i < latency->count; i++) {
		latency->kinds[i].own_us = 0;
		latency->kinds[i].total_us = 0;
		latency->kinds[i].count = 0;
	}
}

/* Moves the base of a kind towards its mean without the inflation. */
static void adapt(latency_kind_t *kind, double inflation)
{
	double weight = (double)kind->count / SMOOTHING;
	double mean = kind->own_us / kind->count / inflation;

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

	for (int i = 0; i < latency->count; i++) {
		const latency_kind_t *kind = &latency->kinds[i];

		if (kind->base_us <= 0)
			continue;
		own += kind->own_us;
		total += kind->total_us;
		base += kind->base_us * kind->count;
		period.count += kind->count;
	}
	if (base > 0 && own > 0) {
		period.inflation = own / base;
		period.own_share = own / total;
	}
	for (int i = 0; i < latency->count; i++)
		if (latency->kinds[i].count)
			adapt(&latency->kinds[i], period.inflation);
	latency_restart(latency);
	return period;
}

void latency_scale(latency_t *latency, double factor)
{
	for (int i = 0; i < latency->count; i++)
		latency->kinds[i].base_us *= factor;
}
