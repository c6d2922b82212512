/*
 * One-shot timers on the monotonic clock. tevent's own timers follow the wall
 * clock: after it is set back they would not fire until it has caught up.
 */
#ifndef CASSIA_MONO_TIMER_INTERNAL_H
#define CASSIA_MONO_TIMER_INTERNAL_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

typedef struct mono_timer mono_timer_t;

typedef void (*mono_timer_handler_t)(void *private);

/* Returns a new timer that is not armed, or NULL. */
mono_timer_t *mono_timer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				mono_timer_handler_t handler, void *private);

/* Fires once after delay_us microseconds (0 or more), in place of a former
 * arming. */
void mono_timer_arm(mono_timer_t *timer, int64_t delay_us);

void mono_timer_disarm(mono_timer_t *timer);

#endif
