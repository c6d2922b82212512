/*
 * One-shot timers on the monotonic clock. tevent's own timers follow the wall
 * clock: after it is set back they would not fire until it has caught up.
 */
#ifndef CASSIA_TIMER_H
#define CASSIA_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

typedef struct cas_timer cas_timer_t;

typedef void (*cas_timer_handler_t)(void *private);

/* Returns a new timer that is not armed, or NULL. */
cas_timer_t *cas_timer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      cas_timer_handler_t handler, void *private);

/* Fires once after delay_us microseconds (0 or more), in place of a former
 * arming. */
void cas_timer_arm(cas_timer_t *timer, int64_t delay_us);

void cas_timer_disarm(cas_timer_t *timer);

#endif
