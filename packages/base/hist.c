/* Log-linear histograms: the buckets and quantiles. */
#include "cassia/hist.h"

#include <stddef.h>
#include <string.h>

/* Each power of two is divided into SUB_BUCKET_COUNT buckets of equal width. */
#define SUB_BUCKET_BITS 4
#define SUB_BUCKET_COUNT (1 << SUB_BUCKET_BITS)
/* Values of 2^36 us (19 hours) and more share the last bucket. */
#define BUCKET_COUNT ((36 - SUB_BUCKET_BITS + 1) * SUB_BUCKET_COUNT)

struct cas_hist {
	uint64_t count;
	int64_t sum_us;
	uint32_t buckets[BUCKET_COUNT];
};

static size_t bucket_index(int64_t value_us)
{
	uint64_t value = value_us > 0 ? (uint64_t)value_us : 0;
	int shift;
	size_t index;

	if (value < SUB_BUCKET_COUNT)
		return value;
	shift = 63 - __builtin_clzll(value) - SUB_BUCKET_BITS;
	index = (size_t)shift * SUB_BUCKET_COUNT + (value >> shift);
	return index < BUCKET_COUNT ? index : BUCKET_COUNT - 1;
}

/* Returns the highest value of a bucket in microseconds. */
static int64_t bucket_upper_bound(size_t index)
{
	int shift;

	if (index < SUB_BUCKET_COUNT)
		return (int64_t)index;
	shift = (int)(index / SUB_BUCKET_COUNT) - 1;
	return (((int64_t)(index % SUB_BUCKET_COUNT + SUB_BUCKET_COUNT) + 1)
		<< shift) -
	       1;
}

cas_hist_t *cas_hist_create(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, cas_hist_t);
}

void cas_hist_add(cas_hist_t *hist, int64_t value_us)
{
	hist->count++;
	hist->sum_us += value_us > 0 ? value_us : 0;
	hist->buckets[bucket_index(value_us)]++;
}

uint64_t cas_hist_count(const cas_hist_t *hist)
{
	return hist->count;
}

int64_t cas_hist_sum(const cas_hist_t *hist)
{
	return hist->sum_us;
}

uint64_t cas_hist_count_up_to(const cas_hist_t *hist, int64_t limit_us)
{
	uint64_t count = 0;
	size_t last = bucket_index(limit_us);

	for (size_t i = 0; i <= last; i++)
		count += hist->buckets[i];
	return count;
}

int64_t cas_hist_quantile(const cas_hist_t *hist, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)hist->count);
	uint64_t count = 0;

	if (!hist->count)
		return 0;
	if (rank >= hist->count)
		rank = hist->count - 1;
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		count += hist->buckets[i];
		if (count > rank)
			return bucket_upper_bound(i);
	}
	return bucket_upper_bound(BUCKET_COUNT - 1);
}

void cas_hist_reset(cas_hist_t *hist)
{
	memset(hist, 0, sizeof(*hist));
}
