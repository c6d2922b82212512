/*
 * HTTP server: concurrent processing of the pipelined requests of a connection.
 * Splits the bytes from a client into requests, passes them to libmicrohttpd
 * over local connections and forwards the responses in order.
 */
#include "pipeline_conn_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "head_scan_internal.h"

/* Size of the output buffer, and half the size of the input buffer. */
#define READ_BUFFER_BYTES ((size_t)16 * 1024)
#define INPUT_MAX_BYTES (READ_BUFFER_BYTES * 2) /* of one client */
static void client_conn_process(client_conn_t *client, bool readable);

/* Takes back a buffer of a client connection, if it has it. */
static void release_buffer(char **buffer, char **spare)
{
	if (*spare)
		talloc_free(*buffer);
	else
		*spare = *buffer;
	*buffer = NULL;
}

static int client_conn_destroy(client_conn_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		local_conn_close(&client->local_conns[i]);
	release_buffer(&client->input, &client->pipeline->spare_input);
	release_buffer(&client->output, &client->pipeline->spare_output);
	TALLOC_FREE(client->fde);
	close(client->fd);
	if (client->next)
		client->next->prev = client->prev;
	if (client->prev)
		client->prev->next = client->next;
	else
		client->pipeline->clients = client->next;
	return 0;
}

/* In passthrough a local connection counts as in flight also between requests,
 * so the exchange of libmicrohttpd tells. */
bool pipeline_conn_has_request(const client_conn_t *client)
{
	const http_conn_t *conn;

	if (client->output_len)
		return true;
	if (client->mode != INPUT_PASSTHROUGH)
		return client->in_flight_count > 0;
	conn = client->input_conn->mhd_conn;
	return conn && conn->exchange;
}

void pipeline_conn_close(client_conn_t *client, bool reset)
{
	const struct linger linger_reset = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(client->fd, SOL_SOCKET, SO_LINGER, &linger_reset,
			   sizeof(linger_reset));
	talloc_free(client);
}

/* Ends the connection after its last response. Bytes that are still unread when
 * a socket is closed reset the connection, and the client might lose the
 * response; so they are read until the client closes its side. */
static void client_conn_linger(client_conn_t *client)
{
	client->lingering = true;
	client->last_used_us = cas_clock_now(client->pipeline->server->clock);
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		local_conn_close(&client->local_conns[i]);
	client->in_flight_count = 0;
	client->input_len = 0;
	shutdown(client->fd, SHUT_WR);
	tevent_fd_set_flags(client->fde, TEVENT_FD_READ);
}

/* Discards some of what the client of a lingering connection sends; the event
 * loop calls again while there is more. May free the client. */
static void discard_input(client_conn_t *client)
{
	char discarded[4096];
	ssize_t received = recv(client->fd, discarded, sizeof(discarded), 0);

	if (received > 0)
		return;
	if (received == 0 || (errno != EAGAIN && errno != EINTR))
		pipeline_conn_close(client, false);
}

static void on_local_conn_ready(struct tevent_context *ev,
				struct tevent_fd *fde, uint16_t flags,
				void *private)
{
	local_conn_t *local_conn = private;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_READ)
		local_conn->may_read = true;
	client_conn_process(local_conn->client, false);
}

/* Returns an open local connection that is not busy, opened if necessary.
 * Returns NULL when all are busy or memory runs out. */
static local_conn_t *acquire_local_conn(client_conn_t *client)
{
	local_conn_t *candidate = NULL;

	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		local_conn_t *local_conn = &client->local_conns[i];

		if (local_conn->busy)
			continue;
		if (local_conn->fd >= 0 && !local_conn->mhd_closed &&
		    !local_conn_has_ended(local_conn))
			return local_conn;
		if (!candidate)
			candidate = local_conn;
	}
	if (!candidate)
		return NULL;
	local_conn_close(candidate);
	return local_conn_open(candidate, on_local_conn_ready) ? NULL
							       : candidate;
}

/* Removes the first len bytes of the input. */
static void consume_input(client_conn_t *client, size_t len)
{
	client->input_len -= len;
	memmove(client->input, client->input + len, client->input_len);
}

/* Appends a local connection to those in flight, for a new request. */
static void in_flight_push(client_conn_t *client, local_conn_t *local_conn)
{
	local_conn->busy = true;
	local_conn_set_owed(local_conn, true);
	local_conn->reply_written = false;
	local_conn->reply_truncated = false;
	local_conn->may_read = false;
	client->in_flight[client->in_flight_count++] = local_conn;
}

/* Passes the head at the start of the input to a local connection. Returns
 * false when it has to wait. A request other than a GET without body is started
 * only when none is in flight: if an earlier response closed the connection,
 * the client could not tell whether it may repeat the request. */
static bool start_request(client_conn_t *client, size_t head_len,
			  uint64_t body_len)
{
	bool exclusive = body_len || strncmp(client->input, "GET ", 4) != 0;
	local_conn_t *local_conn;

	if (client->closing || (exclusive && client->in_flight_count))
		return false;
	local_conn = acquire_local_conn(client);
	if (!local_conn)
		return false;
	in_flight_push(client, local_conn);
	if (local_conn_write(local_conn, client->input, head_len))
		local_conn->reply_truncated = true;
	consume_input(client, head_len);
	client->head_since_us = 0;
	client->mode = body_len ? INPUT_BODY : INPUT_HEADS;
	client->body_remaining = body_len;
	client->input_conn = local_conn;
	return true;
}

/* Switches to passthrough once no request is in flight. Returns false when that
 * has to wait. */
static bool start_passthrough(client_conn_t *client)
{
	local_conn_t *local_conn;

	if (client->closing || client->in_flight_count)
		return false;
	local_conn = acquire_local_conn(client);
	if (!local_conn)
		return false;
	in_flight_push(client, local_conn);
	client->mode = INPUT_PASSTHROUGH;
	client->input_conn = local_conn;
	return true;
}

/* Starts the request whose head is at the start of the input. Returns false
 * when the head is incomplete or the request has to wait. */
static bool process_head(client_conn_t *client)
{
	const http_server_t *server = client->pipeline->server;
	uint64_t body_len;
	bool end_known;
	size_t head_len =
		head_scan((cas_str_t){ client->input, client->input_len },
			  &body_len, &end_known);

	if (!head_len) {
		if (!client->head_since_us)
			client->head_since_us = cas_clock_now(server->clock);
		if (client->input_len <= server->settings.header_max_bytes)
			return false;
		end_known = false;
	}
	return end_known ? start_request(client, head_len, body_len)
			 : start_passthrough(client);
}

/* Passes the first len bytes of the input to input_conn. Returns false while
 * that has unsent bytes: further ones then wait in the client's connection. */
static bool forward_input(client_conn_t *client, size_t len)
{
	if (client->input_conn->unsent_len)
		return false;
	if (local_conn_write(client->input_conn, client->input, len))
		client->input_conn->reply_truncated = true;
	consume_input(client, len);
	return true;
}

/* Passes on bytes of the body. Returns false when they have to wait. */
static bool forward_body(client_conn_t *client)
{
	size_t len = client->input_len;

	if (len > client->body_remaining)
		len = client->body_remaining;
	if (!forward_input(client, len))
		return false;
	client->body_remaining -= len;
	if (!client->body_remaining)
		client->mode = INPUT_HEADS;
	return true;
}

/* Passes the input on to local connections as far as possible. */
static void process_input(client_conn_t *client)
{
	bool more = true;

	while (more && client->input_len) {
		if (client->mode == INPUT_HEADS)
			more = process_head(client);
		else if (client->mode == INPUT_BODY)
			more = forward_body(client);
		else
			more = forward_input(client, client->input_len);
	}
}

/* Gives a client connection a buffer unless it has it. Returns false when memory
 * runs out. */
static bool take_buffer(pipeline_t *pipeline, char **buffer, char **spare,
			size_t size)
{
	if (*buffer)
		return true;
	*buffer = *spare ? *spare : talloc_array(pipeline, char, size);
	*spare = NULL;
	return *buffer;
}

/* Returns empty buffers, so that idle connections take no memory for them. */
static void release_empty_buffers(client_conn_t *client)
{
	if (!client->input_len)
		release_buffer(&client->input, &client->pipeline->spare_input);
	if (!client->output_len)
		release_buffer(&client->output,
			       &client->pipeline->spare_output);
}

/* Receives bytes from the client into the input, if its socket is readable.
 * Returns false when the client has disconnected or memory runs out. */
static bool read_client(client_conn_t *client, bool readable)
{
	pipeline_t *pipeline = client->pipeline;
	size_t space = INPUT_MAX_BYTES - client->input_len;
	ssize_t received;

	if (client->input_len >= INPUT_MAX_BYTES) {
		TEVENT_FD_NOT_READABLE(client->fde);
		return true;
	}
	TEVENT_FD_READABLE(client->fde);
	if (!readable)
		return true;
	if (!take_buffer(pipeline, &client->input, &pipeline->spare_input,
			 INPUT_MAX_BYTES))
		return false;
	received =
		recv(client->fd, client->input + client->input_len, space, 0);
	if (received < 0)
		return errno == EAGAIN || errno == EINTR;
	client->input_len += (size_t)received;
	if (received)
		client->last_used_us = cas_clock_now(pipeline->server->clock);
	return received > 0;
}

/* Sends the output to the client. Returns false when it has disconnected. */
static bool write_client(client_conn_t *client)
{
	ssize_t sent = send(client->fd, client->output, client->output_len,
			    MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	if (sent > 0) {
		client->output_len -= (size_t)sent;
		memmove(client->output, client->output + sent,
			client->output_len);
		client->last_used_us =
			cas_clock_now(client->pipeline->server->clock);
	}
	if (client->output_len)
		TEVENT_FD_WRITEABLE(client->fde);
	else
		TEVENT_FD_NOT_WRITEABLE(client->fde);
	return true;
}

/* Receives bytes of the oldest response into the output. Returns whether there
 * were any. A short read has emptied the socket: whatever is written after it
 * sets may_read again. */
static bool read_local_conn(client_conn_t *client, local_conn_t *local_conn)
{
	pipeline_t *pipeline = client->pipeline;
	ssize_t received;

	if (!local_conn->may_read)
		return false;
	if (!take_buffer(pipeline, &client->output, &pipeline->spare_output,
			 READ_BUFFER_BYTES)) {
		local_conn->reply_truncated = true;
		return false;
	}
	received = recv(local_conn->fd, client->output, READ_BUFFER_BYTES, 0);
	if (received == 0 ||
	    (received < 0 && errno != EAGAIN && errno != EINTR))
		local_conn->mhd_closed = true;
	local_conn->may_read = received == (ssize_t)READ_BUFFER_BYTES;
	client->output_len = received > 0 ? (size_t)received : 0;
	return received > 0;
}

/* Closes local connections that are not busy and whose other side libmicrohttpd
 * has closed. */
static void close_ended_local_conns(client_conn_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		local_conn_t *local_conn = &client->local_conns[i];

		if (!local_conn->busy && local_conn_has_ended(local_conn))
			local_conn_close(local_conn);
	}
}

/* Polls busy local connections for reading only if theirs is the oldest
 * request, so that later responses wait in the socket buffers. */
static void update_read_interest(client_conn_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		local_conn_t *local_conn = &client->local_conns[i];
		bool is_oldest = client->in_flight_count &&
				 client->in_flight[0] == local_conn;

		if (local_conn->fd < 0)
			continue;
		if (local_conn->busy && (!is_oldest || client->output_len))
			TEVENT_FD_NOT_READABLE(local_conn->fde);
		else
			TEVENT_FD_READABLE(local_conn->fde);
	}
}

typedef enum forward_result {
	FORWARD_PENDING, /* wait for more of a response or for the client */
	FORWARD_CLOSE, /* the last response was forwarded */
	FORWARD_RESET, /* the response is truncated or the client is gone */
} forward_result_t;

/* Removes the oldest local connection from those in flight. */
static void in_flight_shift(client_conn_t *client)
{
	client->in_flight_count--;
	for (size_t i = 0; i < client->in_flight_count; i++)
		client->in_flight[i] = client->in_flight[i + 1];
	/* Its response was not read while it was not the oldest. */
	if (client->in_flight_count)
		client->in_flight[0]->may_read = true;
}

/* Forwards the responses received so far, in the order of the requests. */
static forward_result_t forward_responses(client_conn_t *client)
{
	while (!client->output_len && client->in_flight_count) {
		local_conn_t *local_conn = client->in_flight[0];

		if (read_local_conn(client, local_conn)) {
			if (!write_client(client))
				return FORWARD_RESET;
			continue;
		}
		if (local_conn->reply_truncated)
			return FORWARD_RESET;
		/* The whole response was read, and libmicrohttpd has ended the
		 * connection in the run in which it finished the response. */
		if (local_conn->mhd_closed ||
		    (local_conn->reply_written &&
		     local_conn_has_ended(local_conn)))
			return FORWARD_CLOSE;
		if (!local_conn->reply_written ||
		    client->mode == INPUT_PASSTHROUGH ||
		    (client->mode == INPUT_BODY &&
		     client->input_conn == local_conn))
			return FORWARD_PENDING;
		local_conn->busy = false;
		in_flight_shift(client);
	}
	/* The response that was the last one may have been written before
	 * connections were to be closed. */
	return client->closing && !client->output_len &&
			       !client->in_flight_count
		       ? FORWARD_CLOSE
		       : FORWARD_PENDING;
}

/* Moves bytes in both directions as far as possible; readable: the client's
 * socket is. May free the client. */
static void client_conn_process(client_conn_t *client, bool readable)
{
	forward_result_t result;

	if (client->processing)
		return;
	if (client->lingering) {
		if (readable)
			discard_input(client);
		return;
	}
	client->processing = true;
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		local_conn_flush(&client->local_conns[i]);
	if ((client->output_len && !write_client(client)) ||
	    !read_client(client, readable)) {
		pipeline_conn_close(client, true);
		return;
	}
	process_input(client);
	result = forward_responses(client);
	if (result == FORWARD_RESET) {
		pipeline_conn_close(client, true);
		return;
	}
	if (result == FORWARD_CLOSE) {
		client_conn_linger(client);
		release_empty_buffers(client);
		client->processing = false;
		return;
	}
	process_input(client);
	if (!client->output_len)
		TEVENT_FD_NOT_WRITEABLE(client->fde);
	/* The full input may have been passed on since the client was read. No
	 * other event would then continue with the rest of a body. */
	if (client->input_len < INPUT_MAX_BYTES)
		TEVENT_FD_READABLE(client->fde);
	close_ended_local_conns(client);
	update_read_interest(client);
	release_empty_buffers(client);
	client->processing = false;
}

static void on_client_ready(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	client_conn_process(private, flags & TEVENT_FD_READ);
}

static void on_process_immediate(struct tevent_context *ev,
				 struct tevent_immediate *im, void *private)
{
	client_conn_t *client = private;

	(void)ev;
	(void)im;
	client->process_scheduled = false;
	client_conn_process(client, false);
}

/* Processes a client connection in the next round of the event loop. */
static void schedule_process(client_conn_t *client)
{
	if (client->process_scheduled)
		return;
	client->process_scheduled = true;
	tevent_schedule_immediate(client->process_immediate,
				  client->pipeline->server->ev,
				  on_process_immediate, client);
}

void pipeline_conn_create(pipeline_t *pipeline, int fd,
			  const struct sockaddr_in *address)
{
	client_conn_t *client = talloc_zero(pipeline, client_conn_t);
	const int on = 1;

	if (!client) {
		close(fd);
		return;
	}
	client->pipeline = pipeline;
	client->fd = fd;
	client->address = *address;
	client->last_used_us = cas_clock_now(pipeline->server->clock);
	client->local_conns =
		talloc_zero_array(client, local_conn_t, pipeline->depth);
	client->in_flight =
		talloc_array(client, local_conn_t *, pipeline->depth);
	client->process_immediate = tevent_create_immediate(client);
	client->fde = tevent_add_fd(pipeline->server->ev, client, fd,
				    TEVENT_FD_READ, on_client_ready, client);
	if (!client->local_conns || !client->in_flight ||
	    !client->process_immediate || !client->fde) {
		talloc_free(client);
		close(fd);
		return;
	}
	for (unsigned int i = 0; i < pipeline->depth; i++)
		local_conn_init(&client->local_conns[i], pipeline->server,
				client);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	client->next = pipeline->clients;
	if (client->next)
		client->next->prev = client;
	pipeline->clients = client;
	talloc_set_destructor(client, client_conn_destroy);
}

void pipeline_conn_time_out(client_conn_t *client)
{
	static const char reply[] = "HTTP/1.1 408 Request Timeout\r\n"
				    "Content-Length: 0\r\n"
				    "Connection: close\r\n\r\n";

	send(client->fd, reply, sizeof(reply) - 1, MSG_NOSIGNAL);
	pipeline_conn_close(client, false);
}

void pipeline_conn_close_idle_local(client_conn_t *client)
{
	if (client->mode != INPUT_HEADS || client->input_len ||
	    client->output_len)
		return;
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		local_conn_close(&client->local_conns[i]);
}

struct in_addr pipeline_client_address(const local_conn_t *local_conn)
{
	return local_conn->client->address.sin_addr;
}

void pipeline_request_done(local_conn_t *local_conn, bool complete)
{
	local_conn->reply_written = true;
	local_conn->may_read = true;
	/* In passthrough the next request may have been passed on already. */
	if (local_conn->client->mode != INPUT_PASSTHROUGH)
		local_conn_set_owed(local_conn, false);
	if (!complete)
		local_conn->reply_truncated = true;
	/* This is called from inside libmicrohttpd, so the response is
	 * forwarded later. */
	schedule_process(local_conn->client);
}

bool pipeline_close_after(local_conn_t *local_conn)
{
	client_conn_t *client = local_conn->client;

	client->closing = true;
	return client->mode == INPUT_PASSTHROUGH ||
	       (client->in_flight_count &&
		client->in_flight[client->in_flight_count - 1] == local_conn);
}
