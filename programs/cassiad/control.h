/* Control between daemons: heartbeats, the fence, and tokens. */
#ifndef CASSIA_CONTROL_H
#define CASSIA_CONTROL_H

#include "cassia/fleet_secret.h"
#include "daemon.h"

typedef struct control_wait control_wait_t;

typedef enum control_verdict {
	CONTROL_GRANTED,
	CONTROL_WAITING, /* done is called later */
	CONTROL_REFUSED,
} control_verdict_t;

typedef void (*control_done_t)(void *private, bool granted,
			       int64_t retry_after_us);

/* Opens the control port. Returns 0 or a negative number. */
int control_start(cassiad_t *daemon);

/* Takes over the current table and host list. */
void control_apply(cassiad_t *daemon);

/* Takes over the current fleet secrets. */
void control_set_secrets(cassiad_t *daemon);

/* Writes the figures of peer and quota into the metrics. */
void control_set_metrics(cassiad_t *daemon);

/* Does what is due; called every 10 ms. */
void control_tick(cassiad_t *daemon);

/* Takes one token of a customer. */
control_verdict_t control_take(cassiad_t *daemon, cas_id_t customer,
			       int64_t deadline_us, control_done_t done,
			       void *private, control_wait_t **waiting,
			       int64_t *retry_after_us);
void control_forget(control_wait_t *waiting);

/* Derives the keys of the fleet secrets in the settings. */
void control_fleet_secrets(const settings_t *settings,
			   fleet_secrets_t *secrets);

/* Tells the peers that this daemon drains. */
void control_set_draining(cassiad_t *daemon, bool draining);

/* True when this daemon is to watch the platform. */
bool control_is_watcher(const cassiad_t *daemon);

bool control_fence_held(const cassiad_t *daemon);

/* True when a host is known to drain, though the host list has it as live. */
bool control_is_draining(const cassiad_t *daemon, cas_id_t host);

#endif
