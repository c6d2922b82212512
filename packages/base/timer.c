/* One-shot timers on the monotonic clock, with a timerfd each. */
#include "cassia/timer.h"

#include <stdbool.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "cassia/clock.h"

#define TIMER_DISARMED INT64_MAX

/*
 * libcurl sets its timer several times per request, mostly to a later time.
 * Then the descriptor stays armed for the earlier time, and is armed for the
 * later time only when it expires, which saves most of the system calls.
 */
struct cas_timer {
	int fd;
	struct tevent_fd *fde;
	cas_clock_t *clock;
	int64_t due_us; /* time of the handler call, or TIMER_DISARMED */
	int64_t armed_us; /* expiry of fd, or TIMER_DISARMED */
	cas_timer_handler_t handler;
	void *private_data;
	bool *destroyed; /* set when freed; NULL unless the handler runs */
};

/* Arms the descriptor for due_us, which is delay_us microseconds from now. */
static void arm_descriptor(cas_timer_t *timer, int64_t delay_us)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = delay_us / CAS_USEC_PER_SEC;
	spec.it_value.tv_nsec = delay_us % CAS_USEC_PER_SEC * 1000;
	/* A time of 0 would disarm the descriptor. */
	if (delay_us <= 0)
		spec.it_value = (struct timespec){ .tv_nsec = 1 };
	timerfd_settime(timer->fd, 0, &spec, NULL);
	timer->armed_us = timer->due_us;
}

/* Makes the descriptor unreadable after it has expired. Nothing can be read if
 * it was armed again since. */
static void clear_descriptor(cas_timer_t *timer)
{
	uint64_t expirations;

	if (read(timer->fd, &expirations, sizeof(expirations)) < 0)
		return;
}

/* Arming the descriptor again also makes it unreadable, so it is read only if
 * the handler does not do that. */
static void on_timerfd_readable(struct tevent_context *ev,
				struct tevent_fd *fde, uint16_t flags,
				void *private_data)
{
	cas_timer_t *timer = private_data;
	int64_t now = cas_clock_now(timer->clock);
	bool destroyed = false;

	(void)ev;
	(void)fde;
	(void)flags;
	if (timer->due_us != TIMER_DISARMED && now < timer->due_us) {
		arm_descriptor(timer, timer->due_us - now);
		return;
	}
	timer->armed_us = TIMER_DISARMED;
	if (timer->due_us == TIMER_DISARMED) {
		clear_descriptor(timer);
		return;
	}
	timer->due_us = TIMER_DISARMED;
	timer->destroyed = &destroyed;
	timer->handler(timer->private_data);
	if (destroyed)
		return;
	timer->destroyed = NULL;
	if (timer->armed_us == TIMER_DISARMED)
		clear_descriptor(timer);
}

static int timer_destroy(cas_timer_t *timer)
{
	if (timer->destroyed)
		*timer->destroyed = true;
	talloc_free(timer->fde);
	if (timer->fd >= 0)
		close(timer->fd);
	return 0;
}

cas_timer_t *cas_timer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      cas_timer_handler_t handler, void *private_data)
{
	cas_timer_t *timer = talloc_zero(ctx, cas_timer_t);

	if (!timer)
		return NULL;
	timer->handler = handler;
	timer->private_data = private_data;
	timer->due_us = TIMER_DISARMED;
	timer->armed_us = TIMER_DISARMED;
	timer->clock = cas_clock_create_real(timer);
	timer->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(timer, timer_destroy);
	if (timer->fd >= 0)
		timer->fde = tevent_add_fd(ev, timer, timer->fd, TEVENT_FD_READ,
					   on_timerfd_readable, timer);
	if (!timer->fde || !timer->clock) {
		talloc_free(timer);
		return NULL;
	}
	return timer;
}

void cas_timer_arm(cas_timer_t *timer, int64_t delay_us)
{
	timer->due_us = cas_clock_now(timer->clock) + delay_us;
	if (timer->armed_us > timer->due_us)
		arm_descriptor(timer, delay_us);
}

void cas_timer_disarm(cas_timer_t *timer)
{
	timer->due_us = TIMER_DISARMED;
}
