/* Quarantine: what one daemon learns from its own upstream and from others. */
#include "quarantine_internal.h"

#include <string.h>

/* Crashes of one host that are believed within a window. An upstream that
 * returns takes longer. */
#define REPORT_WINDOW_US CAS_USEC_PER_SEC
#define REPORTED_CRASHES_MAX 2
/* Reports of the own upstream within this time are of one crash. */
#define SAME_CRASH_US (500 * CAS_USEC_PER_MSEC)
/* Latest reports of a host that are remembered one by one. */
#define SEEN_BITS 32

static int quarantine_destroy(quarantine_t *quarantine)
{
	suspects_fini(&quarantine->suspects);
	g_hash_table_destroy(quarantine->reporters);
	return 0;
}

quarantine_t *quarantine_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				const quarantine_ops_t *ops, void *private,
				cas_id_t self)
{
	quarantine_t *quarantine = talloc_zero(ctx, quarantine_t);

	if (!quarantine)
		return NULL;
	quarantine->clock = clock;
	quarantine->ops = *ops;
	quarantine->private = private;
	quarantine->self = self;
	suspects_init(&quarantine->suspects);
	quarantine->reporters = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(quarantine, quarantine_destroy);
	return quarantine;
}

/* Asks peers which requests they have blocked: this daemon may have started. */
static void ask_peers(quarantine_t *quarantine)
{
	const quarantine_report report = { .isolated = 0 };

	reports_start(quarantine, &report);
}

int quarantine_set_peers(quarantine_t *quarantine, const cas_id_t *hosts,
			 size_t count)
{
	bool is_first = !quarantine->peer_count;
	cas_id_t *copy;

	if (count == quarantine->peer_count &&
	    (!count ||
	     memcmp(hosts, quarantine->peers, count * sizeof(*hosts)) == 0))
		return 0;
	copy = talloc_memdup(quarantine, hosts, count * sizeof(*hosts));
	if (!copy && count)
		return QUARANTINE_ENOMEM;
	talloc_free(quarantine->peers);
	quarantine->peers = copy;
	quarantine->peer_count = count;
	if (is_first)
		ask_peers(quarantine);
	return 0;
}

quarantine_verdict_t quarantine_check(quarantine_t *quarantine,
				      quarantine_digest_t digest)
{
	int64_t now_us = cas_clock_now(quarantine->clock);

	if (!digest || !g_hash_table_size(quarantine->suspects.by_digest))
		return QUARANTINE_FREE;
	return suspects_verdict(
		suspects_find(&quarantine->suspects, digest, now_us), now_us);
}

int64_t quarantine_blocked_us(quarantine_t *quarantine,
			      quarantine_digest_t digest)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	const suspect_t *suspect =
		suspects_find(&quarantine->suspects, digest, now_us);

	return suspect && now_us < suspect->blocked_until_us
		       ? suspect->blocked_until_us - now_us
		       : 0;
}

static void add_crash(quarantine_t *quarantine, quarantine_digest_t digest,
		      cas_id_t host, bool isolated)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	const suspect_t *suspect;

	if (!digest ||
	    !suspects_add_crash(&quarantine->suspects, digest, host, isolated,
				host == quarantine->self, now_us) ||
	    !quarantine->ops.blocked)
		return;
	suspect = suspects_find(&quarantine->suspects, digest, now_us);
	quarantine->ops.blocked(quarantine->private, digest, suspect->crashes,
				suspect->blocked_until_us - now_us);
}

/* Returns whether the digest at the index is not among those before it. */
static bool is_first(const quarantine_digest_t *digests, size_t index)
{
	for (size_t i = 0; i < index; i++)
		if (digests[i] == digests[index])
			return false;
	return true;
}

/* Adds the requests that ran at the upstream of a host. Several runs of one
 * request count once. */
static void add_crashes(quarantine_t *quarantine,
			const quarantine_digest_t *digests, size_t count,
			cas_id_t host, quarantine_digest_t isolated)
{
	for (size_t i = 0; i < count; i++)
		if (is_first(digests, i))
			add_crash(quarantine, digests[i], host,
				  digests[i] == isolated);
}

void quarantine_note_crash(quarantine_t *quarantine,
			   const quarantine_digest_t *digests, size_t count,
			   quarantine_digest_t isolated)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	quarantine_report report = { .isolated = isolated };

	if (!quarantine->crashes ||
	    now_us - quarantine->crash_us >= SAME_CRASH_US)
		quarantine->crashes++;
	quarantine->crash_us = now_us;
	if (!count)
		return;
	if (count > QUARANTINE_DIGESTS_MAX)
		count = QUARANTINE_DIGESTS_MAX;
	add_crashes(quarantine, digests, count, quarantine->self, isolated);
	report.crashed.crashed_len = (u_int)count;
	/* rpcgen does not know of const; the list is copied. */
	report.crashed.crashed_val = (uint64_t *)(uintptr_t)digests;
	reports_start(quarantine, &report);
}

void quarantine_note_served(quarantine_t *quarantine,
			    quarantine_digest_t digest)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	quarantine_report report = { .isolated = 0 };

	if (quarantine_check(quarantine, digest) == QUARANTINE_FREE)
		return;
	suspects_add_served(&quarantine->suspects, digest, now_us);
	report.served.served_len = 1;
	report.served.served_val = &digest;
	reports_start(quarantine, &report);
}

/* Returns the reports of a host in its present incarnation. */
static reporter_t *ensure_reporter(quarantine_t *quarantine, cas_id_t host,
				   uint64_t incarnation)
{
	reporter_t *reporter =
		g_hash_table_lookup(quarantine->reporters, &host);

	if (!reporter) {
		reporter = g_new0(reporter_t, 1);
		reporter->host = host;
		g_hash_table_insert(quarantine->reporters, &reporter->host,
				    reporter);
	}
	if (reporter->incarnation != incarnation) {
		reporter->incarnation = incarnation;
		reporter->highest = 0;
		reporter->seen = 0;
	}
	return reporter;
}

/* Returns whether a report has not been received before. Far older ones than the
 * latest count as received. */
static bool is_new_report(reporter_t *reporter, uint32_t number)
{
	uint32_t age;

	if (number > reporter->highest) {
		age = number - reporter->highest;
		reporter->seen = age < SEEN_BITS ? reporter->seen << age : 0;
		reporter->seen |= 1;
		reporter->highest = number;
		return true;
	}
	age = reporter->highest - number;
	if (age >= SEEN_BITS || reporter->seen & (1U << age))
		return false;
	reporter->seen |= 1U << age;
	return true;
}

/* Returns whether the crash that a host reports is to be believed. */
static bool accepts_crash(const quarantine_t *quarantine, reporter_t *reporter)
{
	int64_t now_us = cas_clock_now(quarantine->clock);

	if (now_us - reporter->window_us >= REPORT_WINDOW_US) {
		reporter->window_us = now_us;
		reporter->crashes = 0;
	}
	return reporter->crashes++ < REPORTED_CRASHES_MAX;
}

static bool is_peer(const quarantine_t *quarantine, cas_id_t host)
{
	for (size_t i = 0; i < quarantine->peer_count; i++)
		if (quarantine->peers[i] == host)
			return true;
	return false;
}

/* Lists the requests that are blocked now. */
static void list_blocked(quarantine_t *quarantine, quarantine_reply *reply)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	u_int count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->suspects.by_digest);
	while (count < QUARANTINE_DIGESTS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const suspect_t *suspect = value;

		if (now_us < suspect->blocked_until_us)
			quarantine->reply_digests[count++] = suspect->digest;
	}
	reply->blocked.blocked_len = count;
	reply->blocked.blocked_val = quarantine->reply_digests;
}

void quarantine_on_report(quarantine_t *quarantine, cas_id_t from,
			  uint64_t incarnation, const quarantine_report *report,
			  quarantine_reply *reply)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	u_int crashed = report->crashed.crashed_len;
	reporter_t *reporter;

	reply->number = report->number;
	/* A host of another service has no upstream that could tell. */
	if (!is_peer(quarantine, from))
		return;
	if (!crashed && !report->served.served_len)
		list_blocked(quarantine, reply);
	reporter = ensure_reporter(quarantine, from, incarnation);
	if (!is_new_report(reporter, report->number))
		return;
	if (crashed && !accepts_crash(quarantine, reporter)) {
		quarantine->reports_ignored++;
		return;
	}
	add_crashes(quarantine, report->crashed.crashed_val, crashed, from,
		    report->isolated);
	for (u_int i = 0; i < report->served.served_len; i++)
		suspects_add_served(&quarantine->suspects,
				    report->served.served_val[i], now_us);
}

void quarantine_on_reply(quarantine_t *quarantine, cas_id_t from,
			 const quarantine_reply *reply)
{
	int64_t now_us = cas_clock_now(quarantine->clock);

	reports_acknowledged(quarantine, from, reply->number);
	if (!is_peer(quarantine, from))
		return;
	for (u_int i = 0; i < reply->blocked.blocked_len; i++)
		if (reply->blocked.blocked_val[i])
			suspects_add_blocked(&quarantine->suspects,
					     reply->blocked.blocked_val[i],
					     from, now_us);
}

quarantine_counts_t quarantine_counts(quarantine_t *quarantine)
{
	int64_t now_us = cas_clock_now(quarantine->clock);
	quarantine_counts_t counts = {
		.crashes = quarantine->crashes,
		.reports_sent = quarantine->reports_sent,
		.reports_ignored = quarantine->reports_ignored,
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quarantine->suspects.by_digest);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quarantine_verdict_t verdict = suspects_verdict(value, now_us);

		counts.suspects += verdict != QUARANTINE_FREE;
		counts.blocked += verdict == QUARANTINE_BLOCKED;
	}
	return counts;
}
