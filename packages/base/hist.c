/* Log-linear histograms. */
#include "cassia/hist.h"

#include <stddef.h>
#include <string.h>

#define SUB_BITS 4
#define SUB_COUNT (1 << SUB_BITS)
/* Values from 2^36 us (19 hours) share the last bucket. */
#define BUCKET_COUNT ((36 - SUB_BITS + 1) * SUB_COUNT)

struct cas_hist {
	uint64_t count;
	int64_t sum_us;
	uint32_t buckets[BUCKET_COUNT];
};

static size_t bucket_of(int64_t value_us)
{
	uint64_t value = value_us > 0 ? (uint64_t)value_us : 0;
	int shift;
	size_t index;

	if (value < SUB_COUNT)
		return value;
	shift = 63 - __builtin_clzll(value) - SUB_BITS;
	index = (size_t)shift * SUB_COUNT + (value >> shift);
	return index < BUCKET_COUNT ? index : BUCKET_COUNT - 1;
}

static int64_t upper_edge(size_t index)
{
	int shift;

	if (index < SUB_COUNT)
		return (int64_t)index;
	shift = (int)(index / SUB_COUNT) - 1;
	return (((int64_t)(index % SUB_COUNT + SUB_COUNT) + 1) << shift) - 1;
}

cas_hist_t *cas_hist_create(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, cas_hist_t);
}

void cas_hist_add(cas_hist_t *hist, int64_t value_us)
{
	hist->count++;
	hist->sum_us += value_us > 0 ? value_us : 0;
	hist->buckets[bucket_of(value_us)]++;
}

uint64_t cas_hist_count(const cas_hist_t *hist)
{
	return hist->count;
}

int64_t cas_hist_sum(const cas_hist_t *hist)
{
	return hist->sum_us;
}

uint64_t cas_hist_count_below(const cas_hist_t *hist, int64_t limit_us)
{
	uint64_t count = 0;
	size_t last = bucket_of(limit_us);

	for (size_t i = 0; i <= last; i++)
		count += hist->buckets[i];
	return count;
}

int64_t cas_hist_quantile(const cas_hist_t *hist, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)hist->count);
	uint64_t seen = 0;

	if (!hist->count)
		return 0;
	if (rank >= hist->count)
		rank = hist->count - 1;
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		seen += hist->buckets[i];
		if (seen > rank)
			return upper_edge(i);
	}
	return upper_edge(BUCKET_COUNT - 1);
}

void cas_hist_reset(cas_hist_t *hist)
{
	memset(hist, 0, sizeof(*hist));
}
