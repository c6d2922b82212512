/*
 * Connects the control protocol between daemons (ONC RPC over UDP) with the
 * modules that use it: heartbeats and the fence, tokens of customers, and the
 * check of revisions at the start.
 */
#ifndef CASSIA_CONTROL_H
#define CASSIA_CONTROL_H

#include "cassia/fleet_secret.h"
#include "daemon.h"

/* A request that waits for a token. */
typedef struct control_token_wait control_token_wait_t;

typedef enum control_token_result {
	CONTROL_GRANTED, /* one token was taken */
	CONTROL_WAITING, /* done is called later */
	CONTROL_REFUSED, /* no token was taken */
} control_token_result_t;

/* Called once with the decision; the wait is freed. retry_after_us is 0 when
 * granted. */
typedef void (*control_token_done_t)(void *private, bool granted,
				     int64_t retry_after_us);

/* Opens the control port and creates the modules. Returns 0 or a negative error
 * number. */
int control_start(cassiad_t *daemon);

/* Passes the current table and host list to the modules. */
void control_apply_config(cassiad_t *daemon);

/* Passes the fleet secrets of the settings to the control protocol. */
void control_set_secrets(cassiad_t *daemon);

/* Copies the counters of the control protocol and of quota to the metrics. */
void control_set_metrics(cassiad_t *daemon);

/* Runs the modules that are due, and sets daemon->ready once the daemon holds a
 * configuration that it may serve from. Called every 10 ms. */
void control_tick(cassiad_t *daemon);

/* Returns when control_tick has something to do, INT64_MAX: never. */
int64_t control_next_due(const cassiad_t *daemon);

/* Takes one token of a customer. When it returns CONTROL_WAITING, *waiting is
 * set and done is called later; when it returns CONTROL_REFUSED,
 * *retry_after_us is set unless memory runs out. deadline_us is on the local
 * clock. */
control_token_result_t
control_take_token(cassiad_t *daemon, cas_id_t customer, int64_t deadline_us,
		   control_token_done_t done, void *private,
		   control_token_wait_t **waiting, int64_t *retry_after_us);

/* Frees a wait whose request has ended; its callback is not called. */
void control_cancel_token_wait(control_token_wait_t *wait);

/* Derives the keys from the secrets in the settings. */
void control_derive_fleet_secrets(const settings_t *settings,
				  fleet_secrets_t *secrets);

/* Sends a report to another host; it may be lost. */
void control_send_quarantine_report(cassiad_t *daemon, cas_id_t to,
				    const quarantine_report *report);

/* Sets whether heartbeats announce that this daemon drains. */
void control_set_draining(cassiad_t *daemon, bool draining);

/* True when this daemon watches the platform for its data centre. */
bool control_is_watcher(const cassiad_t *daemon);

/* True while the fence is held for the host list in use. */
bool control_fence_held(const cassiad_t *daemon);

/* True when a host has announced that it drains, even if the host list does not
 * say so, and has not been heard from in another state since. */
bool control_is_draining(const cassiad_t *daemon, cas_id_t host);

#endif
