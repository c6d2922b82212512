/* Shares of request trees that can be completed, by kind and importance. */
#include "cassia/tree_shares.h"

#include <glib.h>

#include "cassia/draw.h"
#include "cassia/retry_plan.h"

/* Weight of a new share in the smoothed one, which covers the plans of several
 * daemons. */
#define LEARN_WEIGHT 0.3
/* A share without an update for this time no longer limits less important trees,
 * and rises, from at least RISE_START to the double in each RISE_DOUBLING_US. */
#define FRESH_US CAS_USEC_PER_SEC
#define RISE_START 0.05
#define RISE_DOUBLING_US (300 * CAS_USEC_PER_MSEC)
/* While less than this share of more important trees is started, none of the
 * repeats is left for less important ones but for PROBE_SHARE of their trees,
 * which show when that changes. */
#define SHORT_SHARE 0.9
#define PROBE_SHARE 0.01
/* Kinds are forgotten when there are more, since routes come and go. What is
 * still needed is learned again with the next outcomes. */
#define KINDS_MAX 4096

typedef struct known_share {
	double share;
	int64_t learned_us; /* 0: never */
} known_share_t;

typedef struct kind_shares {
	cas_id_t kind; /* key of the table */
	known_share_t shares[RETRY_IMPORTANCES];
} kind_shares_t;

struct tree_shares {
	const cas_clock_t *clock;
	GHashTable *kinds; /* kind_shares_t, by kind */
};

static int destroy(tree_shares_t *shares)
{
	g_hash_table_destroy(shares->kinds);
	return 0;
}

tree_shares_t *tree_shares_create(TALLOC_CTX *ctx, const cas_clock_t *clock)
{
	tree_shares_t *shares = talloc_zero(ctx, tree_shares_t);

	if (!shares)
		return NULL;
	shares->clock = clock;
	shares->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	talloc_set_destructor(shares, destroy);
	return shares;
}

/* Returns the share now. One that is not updated rises. */
static double risen(const known_share_t *known, int64_t now_us)
{
	int64_t stale_us = now_us - known->learned_us - FRESH_US;
	double share = known->share;

	if (!known->learned_us)
		return 1;
	if (stale_us <= 0)
		return share;
	if (share < RISE_START)
		share = RISE_START;
	for (; stale_us >= RISE_DOUBLING_US && share < 1;
	     stale_us -= RISE_DOUBLING_US)
		share *= 2;
	return share < 1 ? share : 1;
}

/* Returns whether trees that are more important do not get all repeats. */
static bool is_short_above(const kind_shares_t *kind, int32_t importance,
			   int64_t now_us)
{
	for (int32_t i = importance + 1; i < RETRY_IMPORTANCES; i++)
		if (kind->shares[i].learned_us &&
		    now_us - kind->shares[i].learned_us <= FRESH_US &&
		    kind->shares[i].share < SHORT_SHARE)
			return true;
	return false;
}

void tree_shares_learn(tree_shares_t *shares, cas_id_t kind, int32_t importance,
		       double share)
{
	int64_t now_us = cas_clock_now(shares->clock);
	kind_shares_t *known = g_hash_table_lookup(shares->kinds, &kind);
	known_share_t *entry;

	if (!(share >= 0 && share <= 1) || importance < 0 ||
	    importance >= RETRY_IMPORTANCES)
		return;
	if (!known) {
		/* Nothing is kept of kinds that can always be completed. */
		if (share >= 1)
			return;
		if (g_hash_table_size(shares->kinds) >= KINDS_MAX)
			g_hash_table_remove_all(shares->kinds);
		known = g_new0(kind_shares_t, 1);
		known->kind = kind;
		g_hash_table_insert(shares->kinds, &known->kind, known);
	}
	entry = &known->shares[importance];
	entry->share = risen(entry, now_us);
	entry->share += LEARN_WEIGHT * (share - entry->share);
	entry->learned_us = now_us;
}

double tree_shares_get(const tree_shares_t *shares, cas_id_t kind,
		       int32_t importance)
{
	int64_t now_us = cas_clock_now(shares->clock);
	const kind_shares_t *known = g_hash_table_lookup(shares->kinds, &kind);

	if (!known)
		return 1;
	return is_short_above(known, importance, now_us)
		       ? PROBE_SHARE
		       : risen(&known->shares[importance], now_us);
}

bool tree_shares_include(const tree_shares_t *shares, cas_id_t kind,
			 int32_t importance, uint32_t draw)
{
	return cas_draw_below(draw, tree_shares_get(shares, kind, importance));
}
