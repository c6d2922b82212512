/* Registers the RPC procedures of the control protocol and passes messages
 * between the peer module and membership, quota and config_boot. */
#include "control.h"

#include "cassia/config_boot.h"
#include "cassia/log.h"
#include "cassia/membership.h"
#include "cassia/peer.h"
#include "cassia/quota.h"
#include "cassia/wire.h"
#include "fetch.h"
#include "tick.h"

struct control {
	cassiad_t *daemon;
	peer_t *peer; /* RPC over the control port */
	membership_t *membership;
	quota_t *quota;
	config_boot_t *boot; /* check of revisions at the start */
};

struct control_token_wait {
	control_token_done_t done;
	void *private;
	quota_pending_t *pending;
};

static void send_beat(cas_id_t to, const membership_beat *beat, void *private)
{
	control_t *control = private;

	peer_send(control->peer, to, CASSIA_PROC_BEAT, beat);
}

static void send_notice(cas_id_t to, const membership_notice *notice,
			void *private)
{
	control_t *control = private;

	peer_send(control->peer, to, CASSIA_PROC_NOTICE, notice);
}

static void on_newer_table(int64_t revision, cas_id_t host, void *private)
{
	control_t *control = private;

	config_on_newer_revision(control->daemon, CONFIG_TABLE, revision, host);
}

static void on_newer_roster(int64_t revision, cas_id_t host, void *private)
{
	control_t *control = private;

	config_on_newer_revision(control->daemon, CONFIG_HOSTS, revision, host);
}

static const membership_ops_t membership_ops = {
	.send_beat = send_beat,
	.send_notice = send_notice,
	.on_newer_table = on_newer_table,
	.on_newer_roster = on_newer_roster,
};

static void send_ask(void *private, cas_id_t to, const quota_ask *ask)
{
	control_t *control = private;

	peer_send(control->peer, to, CASSIA_PROC_QUOTA_ASK, ask);
}

static bool fence_held(void *private, int64_t revision)
{
	control_t *control = private;

	return membership_fence_held(control->membership, revision);
}

static bool knows_newer_table(const control_t *control)
{
	membership_newest_t newest = membership_newest(control->membership);

	return newest.table_revision >
	       config_store_revision(control->daemon->store, CONFIG_TABLE);
}

/* A holder that resumes after a long pause must not start to add tokens by a
 * table that other daemons have replaced meanwhile. */
static bool fence_settled(void *private, int64_t revision)
{
	control_t *control = private;

	return membership_fence_settled(control->membership, revision) &&
	       !knows_newer_table(control);
}

static uint64_t fence_epoch(void *private)
{
	control_t *control = private;

	return membership_fence_epoch(control->membership);
}

static const quota_ops_t quota_ops = {
	.send_ask = send_ask,
	.fence_held = fence_held,
	.fence_settled = fence_settled,
	.fence_epoch = fence_epoch,
};

static int on_beat(cas_id_t from, uint64_t incarnation, void *args, void *reply,
		   void *private)
{
	control_t *control = private;
	int result = membership_on_beat(control->membership, from, incarnation,
					args, reply);

	tick_control_changed(control->daemon);
	return result;
}

static void on_beat_reply(cas_id_t from, uint64_t incarnation, void *reply,
			  void *private)
{
	control_t *control = private;

	membership_on_reply(control->membership, from, incarnation, reply);
	tick_control_changed(control->daemon);
}

static int on_notice(cas_id_t from, uint64_t incarnation, void *args,
		     void *reply, void *private)
{
	control_t *control = private;
	int result = membership_on_notice(control->membership, from,
					  incarnation, args, reply);

	tick_control_changed(control->daemon);
	return result;
}

static void on_notice_reply(cas_id_t from, uint64_t incarnation, void *reply,
			    void *private)
{
	control_t *control = private;
	const membership_notice_reply *notice = reply;

	membership_on_notice_reply(control->membership, from, incarnation,
				   notice);
	config_boot_answer(control->boot, from, notice->table_revision,
			   notice->roster_revision);
	tick_control_changed(control->daemon);
}

static int on_ask(cas_id_t from, uint64_t incarnation, void *args, void *reply,
		  void *private)
{
	control_t *control = private;

	quota_on_ask(control->quota, from, incarnation, args, reply);
	tick_control_changed(control->daemon);
	return 0;
}

static void on_ask_reply(cas_id_t from, uint64_t incarnation, void *reply,
			 void *private)
{
	control_t *control = private;

	quota_on_reply(control->quota, from, incarnation, reply);
	tick_control_changed(control->daemon);
}

static int on_crash(cas_id_t from, uint64_t incarnation, void *args,
		    void *reply, void *private)
{
	control_t *control = private;

	quarantine_on_report(control->daemon->quarantine, from, incarnation,
			     args, reply);
	return 0;
}

static void on_crash_reply(cas_id_t from, uint64_t incarnation, void *reply,
			   void *private)
{
	control_t *control = private;

	(void)incarnation;
	quarantine_on_reply(control->daemon->quarantine, from, reply);
}

static void register_procedures(control_t *control)
{
	const peer_proc_t beat = {
		.args_xdr = (xdrproc_t)xdr_membership_beat,
		.args_size = sizeof(membership_beat),
		.reply_xdr = (xdrproc_t)xdr_membership_reply,
		.reply_size = sizeof(membership_reply),
		.on_call = on_beat,
		.on_reply = on_beat_reply,
		.private_data = control,
		.is_open_to_departed = true,
	};
	const peer_proc_t notice = {
		.args_xdr = (xdrproc_t)xdr_membership_notice,
		.args_size = sizeof(membership_notice),
		.reply_xdr = (xdrproc_t)xdr_membership_notice_reply,
		.reply_size = sizeof(membership_notice_reply),
		.on_call = on_notice,
		.on_reply = on_notice_reply,
		.private_data = control,
		.is_open_to_departed = true,
	};
	const peer_proc_t ask = {
		.args_xdr = (xdrproc_t)xdr_quota_ask,
		.args_size = sizeof(quota_ask),
		.reply_xdr = (xdrproc_t)xdr_quota_reply,
		.reply_size = sizeof(quota_reply),
		.on_call = on_ask,
		.on_reply = on_ask_reply,
		.private_data = control,
	};

	const peer_proc_t crash = {
		.args_xdr = (xdrproc_t)xdr_quarantine_report,
		.args_size = sizeof(quarantine_report),
		.reply_xdr = (xdrproc_t)xdr_quarantine_reply,
		.reply_size = sizeof(quarantine_reply),
		.on_call = on_crash,
		.on_reply = on_crash_reply,
		.private_data = control,
	};

	peer_register(control->peer, CASSIA_PROC_BEAT, &beat);
	peer_register(control->peer, CASSIA_PROC_NOTICE, &notice);
	peer_register(control->peer, CASSIA_PROC_QUOTA_ASK, &ask);
	peer_register(control->peer, CASSIA_PROC_CRASH, &crash);
}

static void query_boot_peer(void *private, cas_id_t host)
{
	control_t *control = private;
	const membership_notice own_revisions = {
		.roster_revision = config_store_revision(control->daemon->store,
							 CONFIG_HOSTS),
		.table_revision = config_store_revision(control->daemon->store,
							CONFIG_TABLE),
	};

	peer_send(control->peer, host, CASSIA_PROC_NOTICE, &own_revisions);
}

static void fetch_boot_document(void *private, cas_id_t host,
				config_document_t document, int64_t revision)
{
	control_t *control = private;

	(void)revision;
	fetch_start(control->daemon, host, document);
}

static const config_boot_ops_t boot_ops = {
	.query_revisions = query_boot_peer,
	.fetch = fetch_boot_document,
};

/* A daemon with an outdated host list does not accept the messages that would
 * tell it of a newer one. */
static bool on_unlisted(cas_id_t from, void *private_data)
{
	const control_t *control = private_data;

	(void)from;
	return control->daemon->source &&
	       source_refresh_hosts(control->daemon->source);
}

void control_derive_fleet_secrets(const settings_t *settings,
				  fleet_secrets_t *secrets)
{
	memset(secrets, 0, sizeof(*secrets));
	for (size_t i = 0; i < settings->secret_count; i++) {
		const settings_secret_t *secret = &settings->secrets[i];

		fleet_secret_set(&secrets->entries[i], (uint32_t)secret->id,
				 (cas_str_t){ (const char *)secret->bytes,
					      secret->len });
	}
}

void control_set_secrets(cassiad_t *daemon)
{
	fleet_secrets_t secrets;

	control_derive_fleet_secrets(daemon->settings, &secrets);
	peer_set_secrets(daemon->control->peer, &secrets);
}

static int open_port(control_t *control)
{
	cassiad_t *daemon = control->daemon;
	peer_settings_t settings = {
		.self = daemon->settings->host_id,
		.incarnation = daemon->incarnation,
		.bind_address = daemon->settings->control.address,
		.port = daemon->settings->control.port,
	};
	int error = 0;

	control_derive_fleet_secrets(daemon->settings, &settings.secrets);
	control->peer = peer_create(control, daemon->ev, daemon->clock,
				    &settings, &error);
	return error;
}

static void set_quota_tolerance(control_t *control)
{
	const settings_tolerance_t *settings =
		&control->daemon->settings->tolerance;
	const quota_tolerance_t tolerance = {
		.window_us = settings->window_ms * CAS_USEC_PER_MSEC,
		.over_micro = settings->over_fraction_micro,
		.slack_micro = settings->window_allowance_micro,
	};

	quota_set_tolerance(control->quota, &tolerance);
}

int control_start(cassiad_t *daemon)
{
	control_t *control = talloc_zero(daemon, control_t);
	const settings_t *settings = daemon->settings;
	int error;

	if (!control)
		return PEER_ENOMEM;
	control->daemon = daemon;
	daemon->control = control;
	error = open_port(control);
	if (error)
		return error;
	control->membership = membership_create(
		control, daemon->clock, daemon->rng, &membership_ops, control,
		settings->host_id, daemon->incarnation,
		settings->data_centre_id);
	control->quota =
		quota_create(control, daemon->clock, daemon->rng, &quota_ops,
			     control, settings->host_id, daemon->incarnation);
	control->boot = config_boot_create(control, daemon->clock,
					   daemon->store, &boot_ops, control);
	if (!control->membership || !control->quota || !control->boot)
		return PEER_ENOMEM;
	set_quota_tolerance(control);
	register_procedures(control);
	peer_on_unlisted(control->peer, on_unlisted, control);
	return 0;
}

void control_apply_config(cassiad_t *daemon)
{
	control_t *control = daemon->control;

	if (daemon->roster) {
		peer_set_roster(control->peer, daemon->roster);
		membership_set_roster(control->membership, daemon->roster);
		config_boot_set_roster(control->boot, daemon->roster,
				       daemon->settings->host_id);
	}
	if (daemon->table)
		membership_set_table_revision(control->membership,
					      daemon->table->revision);
	if (daemon->table && daemon->roster)
		quota_set_view(control->quota, daemon->table, daemon->roster);
	tick_control_changed(daemon);
}

int64_t control_next_due(const cassiad_t *daemon)
{
	int64_t membership_due =
		membership_next_due(daemon->control->membership);
	int64_t quota_due = quota_next_due(daemon->control->quota);
	int64_t quarantine_due = quarantine_next_due(daemon->quarantine);
	int64_t due = membership_due < quota_due ? membership_due : quota_due;

	return quarantine_due < due ? quarantine_due : due;
}

/* Returns whether the documents are as new as the source, which spares the
 * answers of all peers. */
static bool documents_are_current(const control_t *control)
{
	const cassiad_t *daemon = control->daemon;

	return daemon->table && daemon->roster &&
	       source_is_current(daemon->source, CONFIG_HOSTS) &&
	       (source_is_current(daemon->source, CONFIG_TABLE) ||
		config_boot_has_fleet_table(control->boot));
}

void control_tick(cassiad_t *daemon)
{
	control_t *control = daemon->control;
	int64_t now = cas_clock_now(daemon->clock);

	if (membership_next_due(control->membership) <= now)
		membership_tick(control->membership);
	if (quota_next_due(control->quota) <= now)
		quota_tick(control->quota);
	if (quarantine_next_due(daemon->quarantine) <= now)
		quarantine_tick(daemon->quarantine);
	if (daemon->ready)
		return;
	config_boot_tick(control->boot);
	daemon->ready = config_boot_ready(control->boot) ||
			documents_are_current(control);
	if (daemon->ready)
		cas_log(CAS_LOG_INFO, "ready",
			CAS_LOG_INT("table_revision", daemon->table->revision),
			CAS_LOG_INT("hosts_revision",
				    daemon->roster->revision));
}

static void on_token(void *private, quota_result_t result,
		     int64_t retry_after_us)
{
	control_token_wait_t *wait = private;
	control_token_done_t done = wait->done;
	void *user_private = wait->private;

	talloc_free(wait);
	done(user_private, result == QUOTA_GRANTED, retry_after_us);
}

control_token_result_t
control_take_token(cassiad_t *daemon, cas_id_t customer, int64_t deadline_us,
		   control_token_done_t done, void *private,
		   control_token_wait_t **waiting, int64_t *retry_after_us)
{
	control_t *control = daemon->control;
	control_token_wait_t *wait = talloc(control, control_token_wait_t);
	int result;

	if (!wait)
		return CONTROL_REFUSED;
	wait->done = done;
	wait->private = private;
	result = quota_acquire(control->quota, customer, deadline_us, on_token,
			       wait, &wait->pending, retry_after_us);
	if (result == QUOTA_PENDING) {
		*waiting = wait;
		return CONTROL_WAITING;
	}
	talloc_free(wait);
	return result == QUOTA_GRANTED ? CONTROL_GRANTED : CONTROL_REFUSED;
}

void control_cancel_token_wait(control_token_wait_t *wait)
{
	quota_cancel(wait->pending);
	talloc_free(wait);
}

void control_send_quarantine_report(cassiad_t *daemon, cas_id_t to,
				    const quarantine_report *report)
{
	peer_send(daemon->control->peer, to, CASSIA_PROC_CRASH, report);
}

void control_set_draining(cassiad_t *daemon, bool draining)
{
	membership_set_draining(daemon->control->membership, draining);
	tick_control_changed(daemon);
}

bool control_fence_held(const cassiad_t *daemon)
{
	return daemon->roster &&
	       membership_fence_held(daemon->control->membership,
				     daemon->roster->revision);
}

bool control_is_draining(const cassiad_t *daemon, cas_id_t host)
{
	return membership_is_draining(daemon->control->membership, host);
}

bool control_is_watcher(const cassiad_t *daemon)
{
	return membership_is_watcher(daemon->control->membership);
}

/* Sets a metric without labels. */
static void set_gauge(cassiad_t *daemon, const char *name, int64_t value)
{
	cas_metrics_set(daemon->metrics, name, "", value);
}

void control_set_metrics(cassiad_t *daemon)
{
	const peer_counters_t *peer = peer_counters(daemon->control->peer);
	const quota_stats_t *quota = quota_stats(daemon->control->quota);

	set_gauge(daemon, "cassia_control_sent_bytes", peer->sent_bytes);
	set_gauge(daemon, "cassia_control_received_bytes",
		  peer->received_bytes);
	set_gauge(daemon, "cassia_control_dropped_mac", peer->dropped_mac);
	set_gauge(daemon, "cassia_control_dropped_secret",
		  peer->dropped_secret);
	set_gauge(daemon, "cassia_control_dropped_replay",
		  peer->dropped_replay);
	set_gauge(daemon, "cassia_control_dropped_incarnation",
		  peer->dropped_incarnation);
	set_gauge(daemon, "cassia_control_dropped_sender",
		  peer->dropped_sender);
	set_gauge(daemon, "cassia_control_dropped_malformed",
		  peer->dropped_malformed);
	set_gauge(daemon, "cassia_control_dropped_oversized",
		  peer->dropped_oversized);
	set_gauge(daemon, "cassia_control_dropped_reply", peer->dropped_reply);
	set_gauge(daemon, "cassia_quota_granted", quota->granted);
	set_gauge(daemon, "cassia_quota_refused", quota->refused);
	set_gauge(daemon, "cassia_quota_asks_sent", quota->asks_sent);
	set_gauge(daemon, "cassia_quota_lapses", quota->lapses);
	set_gauge(daemon, "cassia_fence_held", control_fence_held(daemon));
}
