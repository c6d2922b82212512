/* Finds the known key that is closest to a misspelled one. */
#include "schema_internal.h"

/* Longest word that is compared; it bounds the memory of edit_distance. */
#define WORD_MAX_BYTES 32

static size_t min3(size_t a, size_t b, size_t c)
{
	size_t smallest = a < b ? a : b;

	return smallest < c ? smallest : c;
}

/*
 * Returns the Levenshtein distance of two words of at most WORD_MAX_BYTES bytes
 * each. distances is one row of the matrix of the distances between prefixes
 * of a and b, updated in place for each byte of a.
 */
static size_t edit_distance(cas_str_t a, cas_str_t b)
{
	size_t distances[WORD_MAX_BYTES + 1];

	for (size_t j = 0; j <= b.len; j++)
		distances[j] = j;
	for (size_t i = 1; i <= a.len; i++) {
		size_t diagonal = distances[0];

		distances[0] = i;
		for (size_t j = 1; j <= b.len; j++) {
			size_t above = distances[j];
			size_t substitution_cost = a.ptr[i - 1] != b.ptr[j - 1];

			distances[j] = min3(above + 1, distances[j - 1] + 1,
					    diagonal + substitution_cost);
			diagonal = above;
		}
	}
	return distances[b.len];
}

int nearest_find(cas_str_t text, const char *const *candidates, size_t count)
{
	size_t best_distance = SIZE_MAX;
	int best = -1;

	if (text.len > WORD_MAX_BYTES)
		text.len = WORD_MAX_BYTES;
	for (size_t i = 0; i < count; i++) {
		cas_str_t candidate = cas_str_from_cstr(candidates[i]);
		size_t distance;

		if (candidate.len > WORD_MAX_BYTES)
			continue;
		distance = edit_distance(text, candidate);
		if (distance < best_distance) {
			best_distance = distance;
			best = (int)i;
		}
	}
	return best;
}
