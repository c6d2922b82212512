/*
 * HTTP server: accepts the connections of clients whose pipelined requests are
 * processed concurrently, and ends them. The connections themselves are in
 * pipeline_conn.c.
 */
#include "pipeline_conn_internal.h"

#include <sys/socket.h>
#include <unistd.h>

/* Maximum number of connections accepted per event. */
#define ACCEPT_BATCH 64
/* Idle time of a client connection after which its local connections are
 * closed. Each of them holds the memory of a connection of libmicrohttpd. */
#define LOCAL_CONNS_IDLE_US CAS_USEC_PER_SEC
/* How long a connection on which the last response was sent waits for the
 * client to close its side. */
#define LINGER_US CAS_USEC_PER_SEC

/* Accepts a connection. Returns false when there is none. */
static bool accept_one(pipeline_t *pipeline)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);
	int fd = accept4(pipeline->listen_fd, (void *)&address, &len,
			 SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (fd < 0)
		return false;
	pipeline_conn_create(pipeline, fd, &address);
	return true;
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < ACCEPT_BATCH; i++)
		if (!accept_one(private))
			return;
}

static int pipeline_destroy(pipeline_t *pipeline)
{
	while (pipeline->clients)
		pipeline_conn_close(
			pipeline->clients,
			pipeline_conn_has_request(pipeline->clients));
	TALLOC_FREE(pipeline->listen_fde);
	if (pipeline->listen_fd >= 0)
		close(pipeline->listen_fd);
	return 0;
}

pipeline_t *pipeline_create(http_server_t *server, int listen_fd,
			    unsigned int depth)
{
	pipeline_t *pipeline = talloc_zero(server, pipeline_t);

	if (!pipeline) {
		close(listen_fd);
		return NULL;
	}
	pipeline->server = server;
	pipeline->listen_fd = listen_fd;
	pipeline->depth = depth;
	talloc_set_destructor(pipeline, pipeline_destroy);
	pipeline->listen_fde =
		tevent_add_fd(server->ev, pipeline, listen_fd, TEVENT_FD_READ,
			      on_accept, pipeline);
	if (!pipeline->listen_fde)
		TALLOC_FREE(pipeline);
	return pipeline;
}

void pipeline_stop_listening(pipeline_t *pipeline)
{
	if (pipeline->listen_fd < 0)
		return;
	while (accept_one(pipeline))
		continue;
	TALLOC_FREE(pipeline->listen_fde);
	close(pipeline->listen_fd);
	pipeline->listen_fd = -1;
}

/* Returns the local connection whose other side has descriptor fd, or NULL. */
static local_conn_t *find_local_conn(pipeline_t *pipeline, int fd)
{
	for (client_conn_t *client = pipeline->clients; client;
	     client = client->next)
		for (unsigned int i = 0; i < pipeline->depth; i++)
			if (client->local_conns[i].mhd_fd == fd)
				return &client->local_conns[i];
	return NULL;
}

void pipeline_attach_conn(pipeline_t *pipeline, http_conn_t *conn)
{
	local_conn_t *local_conn = find_local_conn(pipeline, conn->fd);

	conn->local_conn = local_conn;
	if (!local_conn)
		return;
	local_conn->mhd_conn = conn;
	local_conn->attached = true;
	/* The kernel reuses the descriptor's number once it is closed. */
	local_conn->mhd_fd = -1;
}

void pipeline_detach_conn(http_conn_t *conn)
{
	if (conn->local_conn) {
		conn->local_conn->mhd_conn = NULL;
		/* An error response without a request may be unread. */
		conn->local_conn->may_read = true;
		local_conn_set_owed(conn->local_conn, false);
	}
	conn->local_conn = NULL;
}

bool pipeline_is_idle(const pipeline_t *pipeline, int64_t now, int64_t idle_us)
{
	for (const client_conn_t *client = pipeline->clients; client;
	     client = client->next)
		if (pipeline_conn_has_request(client) ||
		    now - client->last_used_us < idle_us)
			return false;
	return true;
}

void pipeline_check_timeouts(pipeline_t *pipeline, int64_t now)
{
	const http_server_settings_t *settings = &pipeline->server->settings;
	client_conn_t *next;

	for (client_conn_t *client = pipeline->clients; client; client = next) {
		next = client->next;
		if (client->in_flight_count)
			continue;
		if (client->lingering) {
			if (now - client->last_used_us > LINGER_US)
				pipeline_conn_close(client, false);
			continue;
		}
		if (client->head_since_us &&
		    now - client->head_since_us > settings->read_timeout_us)
			pipeline_conn_time_out(client);
		else if (!client->input_len &&
			 now - client->last_used_us >
				 settings->idle_timeout_s * CAS_USEC_PER_SEC)
			pipeline_conn_close(client, false);
		else if (now - client->last_used_us > LOCAL_CONNS_IDLE_US)
			pipeline_conn_close_idle_local(client);
	}
}
