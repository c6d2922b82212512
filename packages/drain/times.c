/* Longest recent times of requests by kind, in two windows of time. */
#include "cassia/drain_times.h"

#include <glib.h>

typedef struct kind_times {
	cas_id_t kind; /* key in the table of the window */
	int64_t longest_us;
	unsigned int samples;
} kind_times_t;

struct drain_times {
	const cas_clock_t *clock;
	GHashTable *current; /* cas_id_t to kind_times_t */
	GHashTable *previous; /* as current, of the window before */
	int64_t current_since_us;
};

static GHashTable *create_window(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

static int destroy_times(drain_times_t *times)
{
	g_hash_table_destroy(times->current);
	g_hash_table_destroy(times->previous);
	return 0;
}

drain_times_t *drain_times_create(TALLOC_CTX *ctx, const cas_clock_t *clock)
{
	drain_times_t *times = talloc_zero(ctx, drain_times_t);

	if (!times)
		return NULL;
	times->clock = clock;
	times->current = create_window();
	times->previous = create_window();
	times->current_since_us = cas_clock_now(clock);
	talloc_set_destructor(times, destroy_times);
	return times;
}

/* Begins a new window when the current one has ended. */
static void update_windows(drain_times_t *times)
{
	int64_t now = cas_clock_now(times->clock);
	int64_t age_us = now - times->current_since_us;
	GHashTable *oldest = times->previous;

	if (age_us < DRAIN_TIMES_WINDOW_US)
		return;
	g_hash_table_remove_all(oldest);
	times->previous = times->current;
	times->current = oldest;
	if (age_us >= 2 * DRAIN_TIMES_WINDOW_US)
		g_hash_table_remove_all(times->previous);
	times->current_since_us = now;
}

void drain_times_add(drain_times_t *times, cas_id_t kind, int64_t time_us)
{
	kind_times_t *entry;

	update_windows(times);
	entry = g_hash_table_lookup(times->current, &kind);
	if (!entry) {
		entry = g_new0(kind_times_t, 1);
		entry->kind = kind;
		g_hash_table_insert(times->current, &entry->kind, entry);
	}
	entry->samples++;
	if (time_us > entry->longest_us)
		entry->longest_us = time_us;
}

int64_t drain_times_longest(drain_times_t *times, cas_id_t kind)
{
	GHashTable *windows[2];
	unsigned int samples = 0;
	int64_t longest_us = 0;

	update_windows(times);
	windows[0] = times->current;
	windows[1] = times->previous;
	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		const kind_times_t *entry =
			g_hash_table_lookup(windows[i], &kind);

		if (!entry)
			continue;
		samples += entry->samples;
		if (entry->longest_us > longest_us)
			longest_us = entry->longest_us;
	}
	return samples < DRAIN_TIMES_SAMPLES_MIN ? INT64_MAX : longest_us;
}
