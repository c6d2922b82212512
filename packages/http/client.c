/* HTTP client: runs libcurl's sockets and timer on the tevent loop. */
#include "client_internal.h"

/* A socket of libcurl that the event loop polls. */
typedef struct client_socket {
	http_client_t *client;
	curl_socket_t fd;
	struct tevent_fd *fde;
	bool wants_read; /* libcurl waits for the socket to become readable */
} client_socket_t;

static void client_finish_calls(http_client_t *client)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(client->multi, &remaining))) {
		http_call_t *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		call_finish(call, message->data.result);
	}
}

/* The head and done callbacks are called only from here, outside of libcurl's
 * functions, so that they may start and cancel calls. */
static void client_run_callbacks(http_client_t *client)
{
	client_finish_calls(client);
	while (client->pending) {
		http_call_t *call = client->pending;

		client_remove_pending(call);
		if (call->resume_pending)
			call_resume(call);
		else
			call_deliver_head(call);
	}
}

void client_add_pending(http_call_t *call)
{
	http_client_t *client = call->client;

	if (call->is_pending)
		return;
	call->is_pending = true;
	call->next_pending = NULL;
	if (client->last_pending)
		client->last_pending->next_pending = call;
	else
		client->pending = call;
	client->last_pending = call;
}

void client_remove_pending(http_call_t *call)
{
	http_client_t *client = call->client;
	http_call_t **link = &client->pending;
	http_call_t *previous = NULL;

	if (!call->is_pending)
		return;
	while (*link != call) {
		previous = *link;
		link = &previous->next_pending;
	}
	*link = call->next_pending;
	if (client->last_pending == call)
		client->last_pending = previous;
	call->is_pending = false;
}

static void client_socket_action(http_client_t *client, curl_socket_t fd,
				 int mask)
{
	int running;

	curl_multi_socket_action(client->multi, fd, mask, &running);
	client_run_callbacks(client);
}

static void on_action_immediate(struct tevent_context *ev,
				struct tevent_immediate *im, void *private)
{
	http_client_t *client = private;

	(void)ev;
	(void)im;
	client->action_scheduled = false;
	client_socket_action(client, CURL_SOCKET_TIMEOUT, 0);
}

void client_schedule_action(http_client_t *client)
{
	if (client->action_scheduled)
		return;
	client->action_scheduled = true;
	tevent_schedule_immediate(client->action_immediate, client->ev,
				  on_action_immediate, client);
}

static void on_timer(void *private)
{
	client_socket_action(private, CURL_SOCKET_TIMEOUT, 0);
}

static int set_timer(CURLM *multi, long wait_ms, void *cls)
{
	http_client_t *client = cls;

	(void)multi;
	if (wait_ms == 0)
		client_schedule_action(client);
	if (wait_ms > 0)
		cas_timer_arm(client->timer, wait_ms * CAS_USEC_PER_MSEC);
	else
		cas_timer_disarm(client->timer);
	return 0;
}

static void on_socket_ready(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	client_socket_t *socket = private;
	int mask = 0;

	(void)ev;
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	/* Data that libcurl does not want to read yet would be reported again
	 * and again. */
	if ((flags & TEVENT_FD_READ) && !socket->wants_read)
		tevent_fd_set_flags(fde, TEVENT_FD_WRITE);
	client_socket_action(socket->client, socket->fd, mask);
}

/* Adds a socket to the event loop, and assigns the result to it in libcurl.
 * Returns NULL when out of memory. */
static client_socket_t *add_socket(http_client_t *client, curl_socket_t fd)
{
	client_socket_t *socket = talloc_zero(client, client_socket_t);

	if (!socket)
		return NULL;
	socket->client = client;
	socket->fd = fd;
	socket->fde = tevent_add_fd(client->ev, socket, fd, 0, on_socket_ready,
				    socket);
	if (!socket->fde) {
		talloc_free(socket);
		return NULL;
	}
	curl_multi_assign(client->multi, fd, socket);
	return socket;
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *cls,
		      void *assigned)
{
	client_socket_t *socket = assigned;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		talloc_free(socket);
		return 0;
	}
	if (!socket)
		socket = add_socket(cls, fd);
	if (!socket)
		return -1;
	socket->wants_read = what & CURL_POLL_IN;
	/* tevent reports errors, such as a refused connection, only to those
	 * that wait for a socket to become readable. */
	if (what & (CURL_POLL_IN | CURL_POLL_OUT))
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(socket->fde, flags);
	return 0;
}

static int client_destroy(http_client_t *client)
{
	while (client->calls)
		http_call_cancel(client->calls);
	while (client->idle_handle_count)
		curl_easy_cleanup(
			client->idle_handles[--client->idle_handle_count]);
	if (client->multi)
		curl_multi_cleanup(client->multi);
	client_conn_destroy(client);
	return 0;
}

http_client_t *http_client_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const http_client_settings_t *settings)
{
	http_client_t *client = talloc_zero(ctx, http_client_t);

	if (!client)
		return NULL;
	client->ev = ev;
	client->settings = *settings;
	client->action_immediate = tevent_create_immediate(client);
	client->timer = cas_timer_create(client, ev, on_timer, client);
	client->multi = curl_multi_init();
	talloc_set_destructor(client, client_destroy);
	if (!client_conn_init(client) || !client->action_immediate ||
	    !client->timer || !client->multi) {
		talloc_free(client);
		return NULL;
	}
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  settings->connections_max);
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  settings->connections_per_destination);
	return client;
}

unsigned int http_client_calls(const http_client_t *client)
{
	return client->call_count;
}
