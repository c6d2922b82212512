/* Finds the known key that a misspelt one most likely stands for. */
#include "schema_internal.h"

#define WORD_MAX 32

static size_t min3(size_t a, size_t b, size_t c)
{
	size_t least = a < b ? a : b;

	return least < c ? least : c;
}

/* Returns the Levenshtein distance; both words have at most WORD_MAX bytes. */
static size_t edit_distance(cas_str_t a, cas_str_t b)
{
	size_t row[WORD_MAX + 1];

	for (size_t j = 0; j <= b.len; j++)
		row[j] = j;
	for (size_t i = 1; i <= a.len; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= b.len; j++) {
			size_t above = row[j];
			size_t swap = a.ptr[i - 1] != b.ptr[j - 1];

			row[j] = min3(above + 1, row[j - 1] + 1,
				      diagonal + swap);
			diagonal = above;
		}
	}
	return row[b.len];
}

int nearest_pick(cas_str_t text, const char *const *candidates, size_t count)
{
	size_t best_distance = SIZE_MAX;
	int best = -1;

	if (text.len > WORD_MAX)
		text.len = WORD_MAX;
	for (size_t i = 0; i < count; i++) {
		cas_str_t candidate = cas_str_from(candidates[i]);
		size_t distance;

		if (candidate.len > WORD_MAX)
			continue;
		distance = edit_distance(text, candidate);
		if (distance < best_distance) {
			best_distance = distance;
			best = (int)i;
		}
	}
	return best;
}
