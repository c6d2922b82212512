/* Tells a crash of the upstream from a connection that was reset. */
#include "crash_watch.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/log.h"
#include "control.h"
#include "tick.h"

/* An upstream that has not answered by then is not known to have crashed. */
#define PROBE_TIMEOUT_US (100 * CAS_USEC_PER_MSEC)

struct crash_watch {
	cassiad_t *daemon;
	crash_waiter_t waiters; /* head of a circular list, the oldest first */
	uint8_t secret[ATTEMPT_KEY_BYTES]; /* from which the key was derived */
	uint8_t key[QUARANTINE_KEY_BYTES]; /* of the digests */
	bool probing; /* a connection attempt is running */
	bool refused; /* it has failed at once */
	int fd; /* of the attempt, -1: none */
	struct tevent_fd *fde;
	cas_timer_t *timeout;
};

static void end_probe(crash_watch_t *watch)
{
	TALLOC_FREE(watch->fde);
	if (watch->fd >= 0)
		close(watch->fd);
	watch->fd = -1;
	watch->probing = false;
	cas_timer_disarm(watch->timeout);
}

static int crash_watch_destroy(crash_watch_t *watch)
{
	if (watch->fd >= 0)
		close(watch->fd);
	return 0;
}

static bool is_waiting(const crash_waiter_t *waiter)
{
	return waiter->next != NULL;
}

static void unlink_waiter(crash_waiter_t *waiter)
{
	waiter->next->prev = waiter->prev;
	waiter->prev->next = waiter->next;
	waiter->next = NULL;
	waiter->prev = NULL;
}

/* Reports the waiting requests, the latest first: a request that crashes an
 * upstream has mostly been started last. */
static void report_crash(crash_watch_t *watch)
{
	cassiad_t *daemon = watch->daemon;
	quarantine_digest_t digests[QUARANTINE_DIGESTS_MAX];
	quarantine_digest_t isolated = 0;
	size_t count = 0;

	for (crash_waiter_t *waiter = watch->waiters.prev;
	     waiter != &watch->waiters && count < QUARANTINE_DIGESTS_MAX;
	     waiter = waiter->prev) {
		if (!waiter->digest)
			continue;
		digests[count++] = waiter->digest;
		if (waiter->isolated)
			isolated = waiter->digest;
	}
	cas_log(CAS_LOG_INFO, "upstream_crashed",
		CAS_LOG_INT("requests", (int64_t)count),
		CAS_LOG_INT("isolated", isolated != 0),
		CAS_LOG_INT("running", admission_inflight(daemon->admission)),
		CAS_LOG_INT("queued", admission_queued(daemon->admission)));
	quarantine_note_crash(daemon->quarantine, digests, count, isolated);
	tick_control_changed(daemon);
}

static void finish_probe(crash_watch_t *watch, bool crashed)
{
	end_probe(watch);
	if (crashed)
		report_crash(watch);
	/* Callbacks may remove waiters and add others. */
	while (watch->waiters.next != &watch->waiters) {
		crash_waiter_t *waiter = watch->waiters.next;

		unlink_waiter(waiter);
		waiter->done(waiter, crashed);
	}
}

static void on_probe_timeout(void *private)
{
	crash_watch_t *watch = private;

	finish_probe(watch, watch->refused);
}

static void on_probe_ready(struct tevent_context *ev, struct tevent_fd *fde,
			   uint16_t flags, void *private)
{
	crash_watch_t *watch = private;
	socklen_t len = sizeof(int);
	int error = 0;

	(void)ev;
	(void)fde;
	(void)flags;
	getsockopt(watch->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	finish_probe(watch, error == ECONNREFUSED);
}

/* Returns 0, or the error of a connection attempt that has failed at once. */
static int connect_upstream(crash_watch_t *watch)
{
	const settings_t *settings = watch->daemon->settings;
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = settings->upstream.address,
		.sin_port = htons(settings->upstream.port),
	};

	watch->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (watch->fd < 0)
		return errno;
	if (connect(watch->fd, (const struct sockaddr *)(const void *)&address,
		    sizeof(address)) &&
	    errno != EINPROGRESS)
		return errno;
	return 0;
}

static void start_probe(crash_watch_t *watch)
{
	int error = connect_upstream(watch);

	watch->probing = true;
	watch->refused = error == ECONNREFUSED;
	/* No callback is called before this function returns. */
	cas_timer_arm(watch->timeout, error ? 0 : PROBE_TIMEOUT_US);
	/* tevent reports a failed connection as readable only. */
	if (!error)
		watch->fde = tevent_add_fd(watch->daemon->ev, watch, watch->fd,
					   TEVENT_FD_READ | TEVENT_FD_WRITE,
					   on_probe_ready, watch);
}

void crash_watch_add(cassiad_t *daemon, crash_waiter_t *waiter)
{
	crash_watch_t *watch = daemon->crash_watch;
	crash_waiter_t *head = &watch->waiters;

	waiter->next = head;
	waiter->prev = head->prev;
	head->prev->next = waiter;
	head->prev = waiter;
	if (!watch->probing)
		start_probe(watch);
}

void crash_watch_remove(crash_waiter_t *waiter)
{
	if (is_waiting(waiter))
		unlink_waiter(waiter);
}

static void send_report(void *private, cas_id_t to,
			const quarantine_report *report)
{
	cassiad_t *daemon = private;

	control_send_quarantine_report(daemon, to, report);
}

void crash_watch_format_digest(quarantine_digest_t digest, char *text)
{
	snprintf(text, CRASH_DIGEST_TEXT_BYTES, "%016llx",
		 (unsigned long long)digest);
}

static void log_blocked(void *private, quarantine_digest_t digest,
			int32_t crashes, int64_t block_us)
{
	char text[CRASH_DIGEST_TEXT_BYTES];

	(void)private;
	crash_watch_format_digest(digest, text);
	cas_log(CAS_LOG_WARN, "request_quarantined",
		CAS_LOG_CSTR("digest", text), CAS_LOG_INT("crashes", crashes),
		CAS_LOG_INT("block_ms", block_us / CAS_USEC_PER_MSEC));
}

static const quarantine_ops_t quarantine_ops = {
	.send = send_report,
	.blocked = log_blocked,
};

int crash_watch_create(cassiad_t *daemon)
{
	crash_watch_t *watch = talloc_zero(daemon, crash_watch_t);

	if (!watch)
		return BASE_ENOMEM;
	watch->daemon = daemon;
	watch->fd = -1;
	watch->waiters.next = &watch->waiters;
	watch->waiters.prev = &watch->waiters;
	talloc_set_destructor(watch, crash_watch_destroy);
	watch->timeout =
		cas_timer_create(watch, daemon->ev, on_probe_timeout, watch);
	daemon->crash_watch = watch;
	daemon->quarantine =
		quarantine_create(daemon, daemon->clock, &quarantine_ops,
				  daemon, daemon->settings->host_id);
	return watch->timeout && daemon->quarantine ? 0 : BASE_ENOMEM;
}

/* Derives the key of the digests when the first secret is a new one. */
static void update_key(const cassiad_t *daemon)
{
	static const uint8_t label[] = "cassia-quarantine";
	crash_watch_t *watch = daemon->crash_watch;
	const uint8_t *secret = daemon->secrets.keys[0];

	if (memcmp(watch->secret, secret, sizeof(watch->secret)) == 0)
		return;
	memcpy(watch->secret, secret, sizeof(watch->secret));
	crypto_generichash(watch->key, sizeof(watch->key), secret,
			   sizeof(watch->secret), label, sizeof(label));
}

quarantine_digest_t crash_watch_digest(const cassiad_t *daemon,
				       cas_id_t customer, cas_str_t method,
				       cas_str_t target, http_body_t *body,
				       int64_t content_length)
{
	quarantine_request_t request = {
		.customer = customer,
		.method = method,
		.target = target,
		.body_bytes = body ? content_length : 0,
	};

	if (!daemon->secrets.count)
		return 0;
	if (body)
		request.body = http_body_peek(body);
	/* The rest of a body that has not arrived may differ. */
	if (body && !http_body_is_closed(body) &&
	    request.body.len < QUARANTINE_BODY_BYTES)
		return 0;
	update_key(daemon);
	return quarantine_digest(daemon->crash_watch->key, &request);
}

void crash_watch_set_roster(cassiad_t *daemon)
{
	const roster_t *roster = daemon->roster;
	const settings_t *settings = daemon->settings;
	cas_id_t *hosts = talloc_array(daemon, cas_id_t, roster->host_count);
	size_t count = 0;

	for (size_t i = 0; hosts && i < roster->host_count; i++)
		if (roster->hosts[i].service_id == settings->service_id &&
		    roster->hosts[i].id != settings->host_id)
			hosts[count++] = roster->hosts[i].id;
	if (!hosts || quarantine_set_peers(daemon->quarantine, hosts, count))
		cas_log(CAS_LOG_ERROR, "quarantine_peers_not_set",
			CAS_LOG_INT("error", QUARANTINE_ENOMEM));
	talloc_free(hosts);
	tick_control_changed(daemon);
}

void crash_watch_set_metrics(cassiad_t *daemon)
{
	quarantine_counts_t counts = quarantine_counts(daemon->quarantine);

	cas_metrics_set(daemon->metrics, "cassia_quarantine_suspects", "",
			counts.suspects);
	cas_metrics_set(daemon->metrics, "cassia_quarantine_blocked", "",
			counts.blocked);
	cas_metrics_set(daemon->metrics, "cassia_upstream_crashes_total", "",
			counts.crashes);
	cas_metrics_set(daemon->metrics, "cassia_quarantine_reports_sent_total",
			"", counts.reports_sent);
	cas_metrics_set(daemon->metrics,
			"cassia_quarantine_reports_ignored_total", "",
			counts.reports_ignored);
}
