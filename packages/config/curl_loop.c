/*
 * Connects libcurl's multi socket interface with a tevent event loop. libcurl
 * says through two callbacks which sockets and which timeout to wait for; the
 * loop calls libcurl when one of them is due.
 */
#include "cassia/curl_loop.h"

#include "cassia/clock.h"
#include "cassia/fault.h"
#include "cassia/timer.h"

struct curl_loop {
	struct tevent_context *ev;
	CURLM *multi;
	cas_timer_t *timer; /* the timeout that libcurl asked for */
};

/* A socket that libcurl waits for. */
typedef struct watched_socket {
	curl_loop_t *loop;
	curl_socket_t fd;
	struct tevent_fd *fde;
	bool wants_read; /* libcurl waits for the socket to become readable */
} watched_socket_t;

/* Removes every transfer that has ended, and calls its done callback. */
static void finish_transfers(curl_loop_t *loop)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(loop->multi, &remaining))) {
		CURLcode code = message->data.result;
		CURL *easy = message->easy_handle;
		curl_transfer_t *transfer = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
		curl_multi_remove_handle(loop->multi, easy);
		transfer->done(transfer->private, code);
	}
}

/* Lets libcurl handle events (CURL_CSELECT_*) of a socket, or a timeout if fd
 * is CURL_SOCKET_TIMEOUT. */
static void run_socket_action(curl_loop_t *loop, curl_socket_t fd, int events)
{
	int running;

	curl_multi_socket_action(loop->multi, fd, events, &running);
	finish_transfers(loop);
}

static void fd_handler(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *private)
{
	watched_socket_t *watched = private;
	int events = 0;

	(void)ev;
	if (flags & TEVENT_FD_READ)
		events |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		events |= CURL_CSELECT_OUT;
	/* Data that libcurl does not want to read yet would be reported again
	 * and again. */
	if ((flags & TEVENT_FD_READ) && !watched->wants_read)
		tevent_fd_set_flags(fde, TEVENT_FD_WRITE);
	run_socket_action(watched->loop, watched->fd, events);
}

/* Adds a socket to the event loop, and assigns the result to it in libcurl.
 * Returns NULL when out of memory. */
static watched_socket_t *watch_socket(curl_loop_t *loop, curl_socket_t fd)
{
	watched_socket_t *watched = talloc_zero(loop, watched_socket_t);

	if (!watched)
		return NULL;
	watched->loop = loop;
	watched->fd = fd;
	watched->fde =
		tevent_add_fd(loop->ev, watched, fd, 0, fd_handler, watched);
	if (!watched->fde) {
		talloc_free(watched);
		return NULL;
	}
	curl_multi_assign(loop->multi, fd, watched);
	return watched;
}

/* Socket callback of libcurl: poll_mode (CURL_POLL_*) is what to wait for on
 * fd, socket_data what curl_multi_assign has set for it, or NULL. */
static int socket_changed(CURL *easy, curl_socket_t fd, int poll_mode,
			  void *private, void *socket_data)
{
	watched_socket_t *watched = socket_data;
	curl_loop_t *loop = private;
	uint16_t flags = 0;

	(void)easy;
	if (poll_mode == CURL_POLL_REMOVE) {
		talloc_free(watched);
		curl_multi_assign(loop->multi, fd, NULL);
		return 0;
	}
	if (!watched)
		watched = watch_socket(loop, fd);
	if (!watched)
		return -1;
	watched->wants_read = poll_mode & CURL_POLL_IN;
	/* tevent reports errors, such as a refused connection, only to those
	 * that wait for a socket to become readable. */
	if (poll_mode & (CURL_POLL_IN | CURL_POLL_OUT))
		flags |= TEVENT_FD_READ;
	if (poll_mode & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(watched->fde, flags);
	return 0;
}

static void timer_fired(void *private)
{
	run_socket_action(private, CURL_SOCKET_TIMEOUT, 0);
}

/* Timer callback of libcurl; a negative timeout means none. */
static int timer_changed(CURLM *multi, long timeout_ms, void *private)
{
	curl_loop_t *loop = private;

	(void)multi;
	if (timeout_ms < 0)
		cas_timer_disarm(loop->timer);
	else
		cas_timer_arm(loop->timer, timeout_ms * CAS_USEC_PER_MSEC);
	return 0;
}

static int loop_destroy(curl_loop_t *loop)
{
	curl_multi_cleanup(loop->multi);
	return 0;
}

curl_loop_t *curl_loop_create(TALLOC_CTX *ctx, struct tevent_context *ev)
{
	curl_loop_t *loop = talloc_zero(ctx, curl_loop_t);

	if (!loop)
		return NULL;
	loop->ev = ev;
	loop->timer = cas_timer_create(loop, ev, timer_fired, loop);
	loop->multi = loop->timer ? curl_multi_init() : NULL;
	if (!loop->multi) {
		talloc_free(loop);
		return NULL;
	}
	talloc_set_destructor(loop, loop_destroy);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	return loop;
}

/* Header callback of libcurl. A result other than the number of bytes aborts
 * the transfer. */
static size_t count_head_bytes(char *data, size_t size, size_t count,
			       void *private)
{
	curl_transfer_t *transfer = private;

	(void)data;
	transfer->head_bytes += size * count;
	return transfer->head_bytes > CURL_LOOP_HEAD_MAX_BYTES ? 0
							       : size * count;
}

int curl_loop_start(curl_loop_t *loop, curl_transfer_t *transfer)
{
	transfer->head_bytes = 0;
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERFUNCTION,
			 count_head_bytes);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERDATA, transfer);
	return curl_multi_add_handle(loop->multi, transfer->easy) == CURLM_OK
		       ? 0
		       : CONFIG_EINVAL;
}

void curl_loop_stop(curl_loop_t *loop, curl_transfer_t *transfer)
{
	curl_multi_remove_handle(loop->multi, transfer->easy);
}
