/* HTTP server: pipelined requests on one connection, served side by side. */
#include "pipeline_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"
#include "local_conn_internal.h"

#define READ_BYTES ((size_t)16 * 1024)
#define ACCEPTS_AT_ONCE 64
/* Idle time of a caller after which its lanes are closed. Each of them keeps
 * the memory of a connection of libmicrohttpd. */
#define LANES_IDLE_US CAS_USEC_PER_SEC
#define CONTENT_LENGTH "Content-Length:"

/* How the bytes of a caller are taken. */
typedef enum client_mode {
	MODE_HEADS, /* each head goes to a lane of its own */
	MODE_BODY, /* the rest of a body of known length */
	MODE_RAW, /* all bytes go to one lane, which keeps them in order */
} client_mode_t;

struct client {
	client_t *next;
	client_t *prev;
	pipeline_t *pipeline;
	int fd;
	struct tevent_fd *fde;
	struct sockaddr_in address;
	client_mode_t mode;
	char *in; /* NULL while it is empty */
	size_t in_len;
	int64_t in_since_us; /* of an incomplete head */
	uint64_t body_left;
	pipeline_lane_t *body_lane;
	/* Of the first lane in order, not yet written; NULL while empty. */
	char *out;
	size_t out_len;
	pipeline_lane_t *lanes;
	pipeline_lane_t **order; /* busy lanes, by request */
	size_t order_len;
	int64_t used_us;
	bool pumping;
};

struct pipeline {
	http_front_t *front;
	int listen_fd;
	struct tevent_fd *listen_fde;
	unsigned int depth;
	client_t *clients;
};

static void pump(client_t *client);

static int client_destroy(client_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		lane_close(&client->lanes[i]);
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

/* Ends the connection. A cut response must not look whole to the caller. */
static void client_end(client_t *client, bool cut)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (cut)
		setsockopt(client->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	talloc_free(client);
}

static void on_lane(struct tevent_context *ev, struct tevent_fd *fde,
		    uint16_t flags, void *private)
{
	pipeline_lane_t *lane = private;

	(void)ev;
	(void)fde;
	(void)flags;
	pump(lane->client);
}

static pipeline_lane_t *free_lane(client_t *client)
{
	pipeline_lane_t *unopened = NULL;

	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		pipeline_lane_t *lane = &client->lanes[i];

		if (lane->busy)
			continue;
		if (lane->fd >= 0 && !lane->ended)
			return lane;
		if (!unopened)
			unopened = lane;
	}
	if (!unopened)
		return NULL;
	lane_close(unopened);
	return lane_open(unopened, &client->address, on_lane) ? NULL : unopened;
}

static void take_in(client_t *client, size_t len)
{
	client->in_len -= len;
	memmove(client->in, client->in + len, client->in_len);
}

static bool field_is(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	return len > name_len && !strncasecmp(line, name, name_len);
}

/* Returns the length of the head at the front of the input, or 0. Sets *length
 * to that of its body, and *plain to false when only libmicrohttpd can tell
 * where the request ends. */
static size_t scan_head(const client_t *client, uint64_t *length, bool *plain)
{
	const char *line = client->in;
	const char *end = client->in + client->in_len;

	*length = 0;
	*plain = true;
	while (line < end) {
		const char *feed = memchr(line, '\n', (size_t)(end - line));
		size_t len = feed ? (size_t)(feed - line) : 0;

		if (!feed)
			return 0;
		if (len == 1 && *line == '\r' && line != client->in)
			return (size_t)(feed + 1 - client->in);
		if (len <= 1 || line[len - 1] != '\r' || *line == ' ' ||
		    *line == '\t' || field_is(line, len, "Transfer-Encoding") ||
		    field_is(line, len, "Expect") ||
		    field_is(line, len, "Upgrade"))
			*plain = false;
		if (field_is(line, len, CONTENT_LENGTH)) {
			const char *value = line + sizeof(CONTENT_LENGTH) - 1;
			char *rest = NULL;

			*length = strtoull(value, &rest, 10);
			if (*rest != '\r' ||
			    memchr(value, '-', (size_t)(feed - value)))
				*plain = false;
		}
		line = feed + 1;
	}
	return 0;
}

static void order_push(client_t *client, pipeline_lane_t *lane)
{
	lane->busy = true;
	lane->done = false;
	lane->cut = false;
	client->order[client->order_len++] = lane;
}

/* Hands the head at the front of the input to a lane. Returns false when
 * it has to wait. A request with a body goes alone, since it may not be
 * repeated if an earlier response closes the connection. */
static bool start_request(client_t *client, size_t head, uint64_t length)
{
	bool alone = length || strncmp(client->in, "GET ", 4) != 0;
	pipeline_lane_t *lane;

	if (alone && client->order_len)
		return false;
	lane = free_lane(client);
	if (!lane)
		return false;
	order_push(client, lane);
	if (lane_write(lane, client->in, head))
		lane->cut = true;
	take_in(client, head);
	client->in_since_us = 0;
	client->mode = length ? MODE_BODY : MODE_HEADS;
	client->body_left = length;
	client->body_lane = lane;
	return true;
}

/* The connection goes on over one lane when the others have ended. */
static bool start_raw(client_t *client)
{
	pipeline_lane_t *lane;

	if (client->order_len)
		return false;
	lane = free_lane(client);
	if (!lane)
		return false;
	order_push(client, lane);
	client->mode = MODE_RAW;
	client->body_lane = lane;
	return true;
}

static bool take_head(client_t *client)
{
	const http_front_t *front = client->pipeline->front;
	uint64_t length;
	bool plain;
	size_t head = scan_head(client, &length, &plain);

	if (!head) {
		if (!client->in_since_us)
			client->in_since_us = cas_clock_now(front->clock);
		if (client->in_len <= front->settings.header_max_bytes)
			return false;
		plain = false;
	}
	return plain ? start_request(client, head, length) : start_raw(client);
}

/* Bytes wait in the caller's connection while the lane has no room. */
static bool take_bytes(client_t *client, size_t len)
{
	if (client->body_lane->unsent_len)
		return false;
	if (lane_write(client->body_lane, client->in, len))
		client->body_lane->cut = true;
	take_in(client, len);
	return true;
}

static bool take_body(client_t *client)
{
	size_t len = client->in_len;

	if (len > client->body_left)
		len = client->body_left;
	if (!take_bytes(client, len))
		return false;
	client->body_left -= len;
	if (!client->body_left)
		client->mode = MODE_HEADS;
	return true;
}

static void take_requests(client_t *client)
{
	bool more = true;

	while (more && client->in_len) {
		if (client->mode == MODE_HEADS)
			more = take_head(client);
		else if (client->mode == MODE_BODY)
			more = take_body(client);
		else
			more = take_bytes(client, client->in_len);
	}
}

/* Returns false when memory is short. */
static bool open_buffer(client_t *client, char **buffer, size_t size)
{
	if (!*buffer)
		*buffer = talloc_array(client, char, size);
	return *buffer;
}

/* Idle callers hold no buffers. */
static void close_empty_buffers(client_t *client)
{
	if (!client->in_len)
		TALLOC_FREE(client->in);
	if (!client->out_len)
		TALLOC_FREE(client->out);
}

/* Returns false when the caller has left. */
static bool read_caller(client_t *client)
{
	size_t room = READ_BYTES * 2 - client->in_len;
	ssize_t got;

	if (client->in_len >= READ_BYTES * 2) {
		TEVENT_FD_NOT_READABLE(client->fde);
		return true;
	}
	TEVENT_FD_READABLE(client->fde);
	if (!open_buffer(client, &client->in, READ_BYTES * 2))
		return false;
	got = recv(client->fd, client->in + client->in_len, room, 0);
	if (got < 0)
		return errno == EAGAIN || errno == EINTR;
	client->in_len += (size_t)got;
	if (got)
		client->used_us = cas_clock_now(client->pipeline->front->clock);
	return got > 0;
}

/* Returns false when the caller has left. */
static bool write_caller(client_t *client)
{
	ssize_t sent =
		send(client->fd, client->out, client->out_len, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	if (sent > 0) {
		client->out_len -= (size_t)sent;
		memmove(client->out, client->out + sent, client->out_len);
		client->used_us = cas_clock_now(client->pipeline->front->clock);
	}
	if (client->out_len)
		TEVENT_FD_WRITEABLE(client->fde);
	else
		TEVENT_FD_NOT_WRITEABLE(client->fde);
	return true;
}

/* Reads from the lane of the oldest request. Returns whether bytes came. */
static bool read_lane(client_t *client, pipeline_lane_t *lane)
{
	ssize_t got;

	if (!open_buffer(client, &client->out, READ_BYTES)) {
		lane->cut = true;
		return false;
	}
	got = recv(lane->fd, client->out, READ_BYTES, 0);
	if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
		lane->ended = true;
	client->out_len = got > 0 ? (size_t)got : 0;
	return got > 0;
}

/* An idle lane is readable only when libmicrohttpd has closed it. */
static void drop_ended_lanes(client_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		pipeline_lane_t *lane = &client->lanes[i];
		char byte;

		if (lane->fd < 0 || lane->busy)
			continue;
		if (recv(lane->fd, &byte, 1, MSG_PEEK) == 0)
			lane_close(lane);
	}
}

/* Only the oldest lane is read, so the others' responses wait in them. */
static void watch_lanes(client_t *client)
{
	for (unsigned int i = 0; i < client->pipeline->depth; i++) {
		pipeline_lane_t *lane = &client->lanes[i];
		bool first = client->order_len && client->order[0] == lane;

		if (lane->fd < 0)
			continue;
		if (lane->busy && (!first || client->out_len))
			TEVENT_FD_NOT_READABLE(lane->fde);
		else
			TEVENT_FD_READABLE(lane->fde);
	}
}

typedef enum pass_result {
	PASS_WAIT,
	PASS_ENDED, /* the connection ends behind this response */
	PASS_CUT,
} pass_result_t;

static void order_shift(client_t *client)
{
	client->order_len--;
	for (size_t i = 0; i < client->order_len; i++)
		client->order[i] = client->order[i + 1];
}

/* Passes responses on in order, as far as they have come. */
static pass_result_t pass_responses(client_t *client)
{
	while (!client->out_len && client->order_len) {
		pipeline_lane_t *lane = client->order[0];

		if (read_lane(client, lane)) {
			if (!write_caller(client))
				return PASS_CUT;
			continue;
		}
		if (lane->cut)
			return PASS_CUT;
		if (lane->ended)
			return PASS_ENDED;
		if (!lane->done || client->mode == MODE_RAW ||
		    (client->mode == MODE_BODY && client->body_lane == lane))
			return PASS_WAIT;
		lane->busy = false;
		order_shift(client);
	}
	return PASS_WAIT;
}

static void pump(client_t *client)
{
	pass_result_t result;

	if (client->pumping)
		return;
	client->pumping = true;
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		lane_flush(&client->lanes[i]);
	if ((client->out_len && !write_caller(client)) ||
	    !read_caller(client)) {
		client_end(client, true);
		return;
	}
	take_requests(client);
	result = pass_responses(client);
	if (result != PASS_WAIT) {
		client_end(client, result == PASS_CUT);
		return;
	}
	take_requests(client);
	if (!client->out_len)
		TEVENT_FD_NOT_WRITEABLE(client->fde);
	drop_ended_lanes(client);
	watch_lanes(client);
	close_empty_buffers(client);
	client->pumping = false;
}

static void on_client(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	(void)flags;
	pump(private);
}

static void client_create(pipeline_t *pipeline, int fd,
			  const struct sockaddr_in *address)
{
	client_t *client = talloc_zero(pipeline, client_t);
	const int on = 1;

	if (!client) {
		close(fd);
		return;
	}
	client->pipeline = pipeline;
	client->fd = fd;
	client->address = *address;
	client->used_us = cas_clock_now(pipeline->front->clock);
	client->lanes =
		talloc_zero_array(client, pipeline_lane_t, pipeline->depth);
	client->order =
		talloc_array(client, pipeline_lane_t *, pipeline->depth);
	client->fde = tevent_add_fd(pipeline->front->ev, client, fd,
				    TEVENT_FD_READ, on_client, client);
	if (!client->lanes || !client->order || !client->fde) {
		talloc_free(client);
		close(fd);
		return;
	}
	for (unsigned int i = 0; i < pipeline->depth; i++)
		lane_init(&client->lanes[i], pipeline->front, client);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	client->next = pipeline->clients;
	if (client->next)
		client->next->prev = client;
	pipeline->clients = client;
	talloc_set_destructor(client, client_destroy);
}

static bool accept_one(pipeline_t *pipeline)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);
	int fd = accept4(pipeline->listen_fd, (void *)&address, &len,
			 SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (fd < 0)
		return false;
	client_create(pipeline, fd, &address);
	return true;
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private)
{
	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < ACCEPTS_AT_ONCE; i++)
		if (!accept_one(private))
			return;
}

static int pipeline_destroy(pipeline_t *pipeline)
{
	while (pipeline->clients)
		talloc_free(pipeline->clients);
	TALLOC_FREE(pipeline->listen_fde);
	if (pipeline->listen_fd >= 0)
		close(pipeline->listen_fd);
	return 0;
}

pipeline_t *pipeline_create(http_front_t *front, int listen_fd,
			    unsigned int depth)
{
	pipeline_t *pipeline = talloc_zero(front, pipeline_t);

	if (!pipeline) {
		close(listen_fd);
		return NULL;
	}
	pipeline->front = front;
	pipeline->listen_fd = listen_fd;
	pipeline->depth = depth;
	talloc_set_destructor(pipeline, pipeline_destroy);
	pipeline->listen_fde =
		tevent_add_fd(front->ev, pipeline, listen_fd, TEVENT_FD_READ,
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

static pipeline_lane_t *find_lane(pipeline_t *pipeline, int fd)
{
	for (client_t *client = pipeline->clients; client;
	     client = client->next)
		for (unsigned int i = 0; i < pipeline->depth; i++)
			if (client->lanes[i].mhd_fd == fd)
				return &client->lanes[i];
	return NULL;
}

void pipeline_join(pipeline_t *pipeline, http_conn_t *conn)
{
	pipeline_lane_t *lane = find_lane(pipeline, conn->fd);

	conn->lane = lane;
	if (!lane)
		return;
	lane->conn = conn;
	/* The descriptor's number may be used again once this one is closed. */
	lane->mhd_fd = -1;
}

void pipeline_part(http_conn_t *conn)
{
	if (conn->lane)
		conn->lane->conn = NULL;
	conn->lane = NULL;
}

void pipeline_lane_done(pipeline_lane_t *lane, bool whole)
{
	lane->done = true;
	if (!whole)
		lane->cut = true;
	/* Called from inside libmicrohttpd, so the bytes are passed on when the
	 * caller's connection is next found writable. */
	TEVENT_FD_WRITEABLE(lane->client->fde);
}

bool pipeline_is_last(const pipeline_lane_t *lane)
{
	const client_t *client = lane->client;

	return client->mode == MODE_RAW ||
	       (client->order_len &&
		client->order[client->order_len - 1] == lane &&
		!client->in_len);
}

bool pipeline_is_idle(const pipeline_t *pipeline, int64_t now, int64_t idle_us)
{
	for (const client_t *client = pipeline->clients; client;
	     client = client->next)
		if (client->order_len || now - client->used_us < idle_us)
			return false;
	return true;
}

static void time_out(client_t *client)
{
	static const char text[] = "HTTP/1.1 408 Request Timeout\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";

	send(client->fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
	client_end(client, false);
}

static void close_idle_lanes(client_t *client)
{
	if (client->mode != MODE_HEADS || client->in_len || client->out_len)
		return;
	for (unsigned int i = 0; i < client->pipeline->depth; i++)
		lane_close(&client->lanes[i]);
}

void pipeline_sweep(pipeline_t *pipeline, int64_t now)
{
	const http_front_settings_t *settings = &pipeline->front->settings;
	client_t *next;

	for (client_t *client = pipeline->clients; client; client = next) {
		next = client->next;
		if (client->order_len)
			continue;
		if (client->in_since_us &&
		    now - client->in_since_us > settings->read_timeout_us)
			time_out(client);
		else if (!client->in_len &&
			 now - client->used_us >
				 settings->idle_timeout_s * CAS_USEC_PER_SEC)
			client_end(client, false);
		else if (now - client->used_us > LANES_IDLE_US)
			close_idle_lanes(client);
	}
}
