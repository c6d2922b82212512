/*
 * One-shot timers on the monotonic clock. Timers of tevent use the wall clock:
 * after it is set back they do not fire until it has reached their time again.
 */
#ifndef CASSIA_TIMER_H
#define CASSIA_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

typedef struct cas_timer cas_timer_t;

typedef void (*cas_timer_handler_t)(void *private_data);

/* Returns a new timer (owned by ctx) that is not armed, or NULL when out of
 * memory or file descriptors. ev is borrowed. */
cas_timer_t *cas_timer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      cas_timer_handler_t handler, void *private_data);

/* Arms the timer: the handler is called once, after delay_us microseconds (0 or
 * more). Replaces the time set by an earlier call. */
void cas_timer_arm(cas_timer_t *timer, int64_t delay_us);

/* Disarms the timer: the handler is not called until the timer is armed
 * again. */
void cas_timer_disarm(cas_timer_t *timer);

#endif
