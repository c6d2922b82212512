/*
 * Connects libcurl's multi socket interface with a tevent event loop. libcurl
 * says through two callbacks which sockets and which timeout to wait for; the
 * loop calls libcurl when one of them is due.
 */
#include "cassia/transfer_loop.h"

#include <glib.h>
#include <unistd.h>

#include "cassia/clock.h"
#include "cassia/timer.h"

struct transfer_loop {
	struct tevent_context *ev;
	const transfer_loop_ops_t *ops;
	void *private;
	CURLM *multi;
	cas_timer_t *timer; /* the timeout that libcurl asked for */
	struct tevent_immediate *run_immediate;
	bool run_scheduled; /* run_immediate is scheduled */
	GHashTable *sockets; /* by descriptor */
};

/* An open socket of libcurl. */
typedef struct watched_socket {
	transfer_loop_t *loop;
	curl_socket_t fd;
	struct tevent_fd *fde;
	bool in_use; /* libcurl waits for it; else its connection is idle */
	bool wants_read; /* libcurl waits for the socket to become readable */
} watched_socket_t;

/* Calls finished for every transfer that has ended. */
static void finish_transfers(transfer_loop_t *loop)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(loop->multi, &remaining))) {
		if (message->msg == CURLMSG_DONE)
			loop->ops->finished(loop->private, message->easy_handle,
					    message->data.result);
	}
}

/* Lets libcurl handle events (CURL_CSELECT_*) of a socket, or a timeout if fd
 * is CURL_SOCKET_TIMEOUT. */
static void run_socket_action(transfer_loop_t *loop, curl_socket_t fd,
			      int events)
{
	int running;

	curl_multi_socket_action(loop->multi, fd, events, &running);
	finish_transfers(loop);
	if (loop->ops->handled)
		loop->ops->handled(loop->private);
}

static void on_run_immediate(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private)
{
	transfer_loop_t *loop = private;

	(void)ev;
	(void)im;
	loop->run_scheduled = false;
	run_socket_action(loop, CURL_SOCKET_TIMEOUT, 0);
}

void transfer_loop_schedule(transfer_loop_t *loop)
{
	if (loop->run_scheduled)
		return;
	loop->run_scheduled = true;
	tevent_schedule_immediate(loop->run_immediate, loop->ev,
				  on_run_immediate, loop);
}

static void on_timer(void *private)
{
	run_socket_action(private, CURL_SOCKET_TIMEOUT, 0);
}

/* Timer callback of libcurl; a negative timeout means none. */
static int timer_changed(CURLM *multi, long timeout_ms, void *private)
{
	transfer_loop_t *loop = private;

	(void)multi;
	if (timeout_ms == 0)
		transfer_loop_schedule(loop);
	if (timeout_ms > 0)
		cas_timer_arm(loop->timer, timeout_ms * CAS_USEC_PER_MSEC);
	else
		cas_timer_disarm(loop->timer);
	return 0;
}

/* An event of an idle connection means that the server has closed it or has
 * sent something unexpected. That is for its next user to find out; here only
 * the event must not be reported again and again. */
static void on_socket_ready(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	watched_socket_t *watched = private;
	int events = 0;

	(void)ev;
	if (!watched->in_use) {
		tevent_fd_set_flags(fde, 0);
		return;
	}
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

/* Adds a socket to the event loop. Returns NULL when out of memory. */
static watched_socket_t *watch_socket(transfer_loop_t *loop, curl_socket_t fd)
{
	watched_socket_t *watched = talloc_zero(loop, watched_socket_t);

	if (!watched)
		return NULL;
	watched->loop = loop;
	watched->fd = fd;
	watched->fde = tevent_add_fd(loop->ev, watched, fd, 0, on_socket_ready,
				     watched);
	if (!watched->fde) {
		talloc_free(watched);
		return NULL;
	}
	g_hash_table_insert(loop->sockets, GINT_TO_POINTER(fd), watched);
	return watched;
}

/* Socket callback of libcurl: poll_mode (CURL_POLL_*) is what to wait for on
 * fd. A socket that libcurl no longer waits for is either about to be closed or
 * belongs to a connection that is kept. */
static int socket_changed(CURL *easy, curl_socket_t fd, int poll_mode,
			  void *private, void *socket_data)
{
	transfer_loop_t *loop = private;
	watched_socket_t *watched =
		g_hash_table_lookup(loop->sockets, GINT_TO_POINTER(fd));
	uint16_t flags = 0;

	(void)easy;
	(void)socket_data;
	if (poll_mode == CURL_POLL_REMOVE) {
		if (watched)
			watched->in_use = false;
		return 0;
	}
	if (!watched)
		watched = watch_socket(loop, fd);
	if (!watched)
		return -1;
	watched->in_use = true;
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

void transfer_loop_socket_closed(transfer_loop_t *loop, curl_socket_t fd)
{
	watched_socket_t *watched =
		g_hash_table_lookup(loop->sockets, GINT_TO_POINTER(fd));

	if (!watched)
		return;
	g_hash_table_remove(loop->sockets, GINT_TO_POINTER(fd));
	talloc_free(watched);
}

void transfer_loop_socket_opened(transfer_loop_t *loop, curl_socket_t fd)
{
	/* An earlier socket with this number is closed, noticed or not. */
	transfer_loop_socket_closed(loop, fd);
}

static int on_socket_closed(void *private, curl_socket_t fd)
{
	transfer_loop_socket_closed(private, fd);
	return close(fd);
}

void transfer_loop_prepare(transfer_loop_t *loop, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closed);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, loop);
}

CURLM *transfer_loop_multi(transfer_loop_t *loop)
{
	return loop->multi;
}

static int loop_destroy(transfer_loop_t *loop)
{
	if (loop->multi)
		curl_multi_cleanup(loop->multi);
	if (loop->sockets)
		g_hash_table_destroy(loop->sockets);
	return 0;
}

transfer_loop_t *transfer_loop_create(TALLOC_CTX *ctx,
				      struct tevent_context *ev,
				      const transfer_loop_ops_t *ops,
				      void *private)
{
	transfer_loop_t *loop = talloc_zero(ctx, transfer_loop_t);

	if (!loop)
		return NULL;
	loop->ev = ev;
	loop->ops = ops;
	loop->private = private;
	talloc_set_destructor(loop, loop_destroy);
	loop->sockets = g_hash_table_new(NULL, NULL);
	loop->timer = cas_timer_create(loop, ev, on_timer, loop);
	loop->run_immediate = tevent_create_immediate(loop);
	loop->multi = curl_multi_init();
	if (!loop->timer || !loop->run_immediate || !loop->multi) {
		talloc_free(loop);
		return NULL;
	}
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	return loop;
}
