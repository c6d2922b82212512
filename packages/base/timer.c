/* One-shot timers on the monotonic clock, by timerfd. */
#include "cassia/timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include "cassia/clock.h"

struct cas_timer {
	int fd;
	struct tevent_fd *fde;
	cas_timer_handler_t handler;
	void *private;
};

static void fd_handler(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *private)
{
	cas_timer_t *timer = private;
	uint64_t fired;

	(void)ev;
	(void)fde;
	(void)flags;
	/* A timer that was armed again meanwhile has nothing to read. */
	if (read(timer->fd, &fired, sizeof(fired)) == sizeof(fired))
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
	timer->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	talloc_set_destructor(timer, timer_destroy);
	if (timer->fd >= 0)
		timer->fde = tevent_add_fd(ev, timer, timer->fd, TEVENT_FD_READ,
					   fd_handler, timer);
	if (!timer->fde) {
		talloc_free(timer);
		return NULL;
	}
	return timer;
}

void cas_timer_arm(cas_timer_t *timer, int64_t delay_us)
{
	struct itimerspec spec = { 0 };

	spec.it_value.tv_sec = delay_us / CAS_USEC_PER_SEC;
	spec.it_value.tv_nsec = delay_us % CAS_USEC_PER_SEC * 1000;
	/* 0 would disarm it. */
	if (!delay_us)
		spec.it_value.tv_nsec = 1;
	timerfd_settime(timer->fd, 0, &spec, NULL);
}

void cas_timer_disarm(cas_timer_t *timer)
{
	struct itimerspec spec = { 0 };

	timerfd_settime(timer->fd, 0, &spec, NULL);
}
