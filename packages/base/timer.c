/* One-shot timers on the monotonic clock, by timerfd. */
#include "cassia/timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include "cassia/clock.h"

#define TIMER_OFF INT64_MAX

/*
 * libcurl moves its timer several times in a request, mostly to a later time.
 * The descriptor stays armed for the earlier time then and is armed again when
 * that has come, which saves most of the system calls.
 */
struct cas_timer {
	int fd;
	struct tevent_fd *fde;
	cas_clock_t *clock;
	int64_t due_us; /* when the handler is to be called, or TIMER_OFF */
	int64_t armed_us; /* when the descriptor wakes up, or TIMER_OFF */
	cas_timer_handler_t handler;
	void *private;
};

static void set_descriptor(cas_timer_t *timer, int64_t delay_us)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = delay_us / CAS_USEC_PER_SEC;
	spec.it_value.tv_nsec = delay_us % CAS_USEC_PER_SEC * 1000;
	/* 0 would disarm it. */
	if (delay_us <= 0)
		spec.it_value = (struct timespec){ .tv_nsec = 1 };
	timerfd_settime(timer->fd, 0, &spec, NULL);
	timer->armed_us = timer->due_us;
}

static void fd_handler(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *private)
{
	cas_timer_t *timer = private;
	int64_t now = cas_clock_now(timer->clock);
	uint64_t fired;

	(void)ev;
	(void)fde;
	(void)flags;
	/* A timer that was armed again meanwhile has nothing to read. */
	if (read(timer->fd, &fired, sizeof(fired)) != sizeof(fired))
		return;
	timer->armed_us = TIMER_OFF;
	if (timer->due_us == TIMER_OFF)
		return;
	if (now < timer->due_us) {
		set_descriptor(timer, timer->due_us - now);
		return;
	}
	timer->due_us = TIMER_OFF;
	timer->handler(timer->private);
}

static int timer_destroy(cas_timer_t *timer)
{
	talloc_free(timer->fde);
	if (timer->fd >= 0)
		close(timer->fd);
	return 0;
}

cas_timer_t *cas_timer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      cas_timer_handler_t handler, void *private)
{
	cas_timer_t *timer = talloc_zero(ctx, cas_timer_t);

	if (!timer)
		return NULL;
	timer->handler = handler;
	timer->private = private;
	timer->due_us = TIMER_OFF;
	timer->armed_us = TIMER_OFF;
	timer->clock = cas_clock_create_real(timer);
	timer->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(timer, timer_destroy);
	if (timer->fd >= 0)
		timer->fde = tevent_add_fd(ev, timer, timer->fd, TEVENT_FD_READ,
					   fd_handler, timer);
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
		set_descriptor(timer, delay_us);
}

void cas_timer_disarm(cas_timer_t *timer)
{
	timer->due_us = TIMER_OFF;
}
