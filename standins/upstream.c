/*
 * Stand-in of an upstream: an HTTP server that echoes what it receives. The
 * behaviour is chosen by options and, for each request, by X- fields:
 * X-Delay-Ms, X-Size (bytes of the body), X-Status, X-Truncate, X-Silent,
 * X-Shed, X-Cross, X-Child (target of a call through the local daemon).
 * GET /_delay/MICROSECONDS changes the delay. The run log has one line for each
 * request that ran: Cassia-Request-Id, X-Run-Id.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_client.h"

#define HEAD_MAX_BYTES (64 * 1024)
#define READ_BYTES (64 * 1024)

typedef struct upstream {
	struct tevent_context *ev;
	http_client_t *back;
	const char *name;
	int port;
	const char *address;
	int delay_us;
	int slots;
	int queue_max; /* beyond it requests are refused; -1: no limit */
	int local_port;
	const char *run_log_path;
	FILE *run_log; /* NULL: none */
	int running;
	int most_running;
	GQueue *queue; /* of conn_t that wait for a slot */
	GHashTable *run_ids; /* X-Run-Id values seen */
	long requests;
	long repeated; /* X-Run-Id seen before */
	long keys; /* requests that carried a key */
	long cancelled;
} upstream_t;

typedef struct conn {
	upstream_t *upstream;
	struct tevent_fd *fde;
	int fd;
	char *in;
	size_t in_len;
	size_t in_size;
	char *out;
	size_t out_len;
	size_t out_sent;
	size_t head_len; /* 0 while the head is incomplete */
	int64_t body_left; /* -1: chunked */
	int64_t body_bytes;
	bool busy; /* a request is being worked on */
	bool has_slot;
	bool silent;
	bool close_after;
	char *child_text;
	http_call_t *child;
	int child_status;
} conn_t;

static upstream_t self = { .address = "127.0.0.1",
			   .name = "upstream",
			   .slots = 1000000,
			   .queue_max = -1 };

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &self.address, "", NULL },
	{ "name", 0, 0, G_OPTION_ARG_STRING, &self.name, "", NULL },
	{ "port", 0, 0, G_OPTION_ARG_INT, &self.port, "", NULL },
	{ "delay-us", 0, 0, G_OPTION_ARG_INT, &self.delay_us, "", NULL },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &self.slots, "", NULL },
	{ "queue", 0, 0, G_OPTION_ARG_INT, &self.queue_max, "", NULL },
	{ "local-port", 0, 0, G_OPTION_ARG_INT, &self.local_port,
	  "Port of the daemon for child calls", NULL },
	{ "run-log", 0, 0, G_OPTION_ARG_FILENAME, &self.run_log_path, "",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void start_next(conn_t *conn);

static char *field(const conn_t *conn, TALLOC_CTX *ctx, const char *name)
{
	const char *line = conn->in;
	const char *end = conn->in + conn->head_len;
	size_t len = strlen(name);

	while ((line = memchr(line, '\n', (size_t)(end - line)))) {
		line++;
		if ((size_t)(end - line) > len && line[len] == ':' &&
		    g_ascii_strncasecmp(line, name, len) == 0) {
			const char *stop =
				memchr(line, '\r', (size_t)(end - line));

			line += len + 1;
			while (*line == ' ')
				line++;
			return talloc_strndup(ctx, line, (size_t)(stop - line));
		}
	}
	return NULL;
}

static int64_t field_number(const conn_t *conn, const char *name, int64_t other)
{
	char *text = field(conn, NULL, name);
	int64_t value = text ? strtoll(text, NULL, 10) : other;

	talloc_free(text);
	return value;
}

static void release_slot(conn_t *conn)
{
	upstream_t *up = conn->upstream;

	if (!conn->has_slot)
		return;
	conn->has_slot = false;
	up->running--;
	while (up->running < up->slots && !g_queue_is_empty(up->queue))
		start_next(g_queue_pop_head(up->queue));
}

static void conn_close(conn_t *conn)
{
	g_queue_remove(conn->upstream->queue, conn);
	if (conn->busy && !conn->silent)
		conn->upstream->cancelled++;
	if (conn->child)
		http_call_cancel(conn->child);
	release_slot(conn);
	talloc_free(conn->fde);
	close(conn->fd);
	talloc_free(conn);
}

static void flush_out(conn_t *conn);
static void read_requests(conn_t *conn);

static void consume(conn_t *conn, size_t len)
{
	memmove(conn->in, conn->in + len, conn->in_len - len);
	conn->in_len -= len;
}

static void finish_request(conn_t *conn)
{
	conn->busy = false;
	TALLOC_FREE(conn->child_text);
	TALLOC_FREE(conn->out);
	conn->out_len = 0;
	conn->out_sent = 0;
	consume(conn, conn->head_len);
	conn->head_len = 0;
	release_slot(conn);
	read_requests(conn);
}

static void flush_out(conn_t *conn)
{
	while (conn->out_sent < conn->out_len) {
		ssize_t len =
			send(conn->fd, conn->out + conn->out_sent,
			     conn->out_len - conn->out_sent, MSG_NOSIGNAL);

		if (len < 0 && errno == EAGAIN) {
			tevent_fd_set_flags(conn->fde,
					    TEVENT_FD_READ | TEVENT_FD_WRITE);
			return;
		}
		if (len < 0) {
			conn_close(conn);
			return;
		}
		conn->out_sent += (size_t)len;
	}
	if (!conn->out)
		return;
	tevent_fd_set_flags(conn->fde, TEVENT_FD_READ);
	if (conn->close_after)
		conn_close(conn);
	else
		finish_request(conn);
}

/* The received head as a JSON string without control characters. */
static char *echo_body(conn_t *conn)
{
	char *text = talloc_asprintf(conn,
				     "{\"upstream\":\"%s\",\"body_bytes\":%lld,"
				     "\"child_status\":%d,\"head\":\"",
				     conn->upstream->name,
				     (long long)conn->body_bytes,
				     conn->child_status);

	for (size_t i = 0; i < conn->head_len; i++) {
		char c = conn->in[i];

		if (c == '\r')
			continue;
		if (c == '\n')
			text = talloc_asprintf_append_buffer(text, "\\n");
		else if (c == '"' || c == '\\')
			text = talloc_asprintf_append_buffer(text, "\\%c", c);
		else
			text = talloc_asprintf_append_buffer(text, "%c", c);
	}
	return talloc_asprintf_append_buffer(text, "\"}\n");
}

static char *stats_body(conn_t *conn)
{
	upstream_t *up = conn->upstream;

	return talloc_asprintf(conn,
			       "{\"requests\":%ld,\"repeated\":%ld,"
			       "\"keys\":%ld,\"cancelled\":%ld,"
			       "\"running\":%d,\"most_running\":%d}\n",
			       up->requests, up->repeated, up->keys,
			       up->cancelled, up->running, up->most_running);
}

static void respond(conn_t *conn, int status, const char *extra,
		    const char *body, size_t body_len)
{
	bool truncate = field_number(conn, "X-Truncate", 0) != 0;
	int head_len;
	char *head = talloc_asprintf(
		conn, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n", status,
		status == 200 ? "OK" : "Other", body_len, extra);

	head_len = (int)strlen(head);
	if (strncmp(conn->in, "HEAD ", 5) == 0)
		body_len = 0;
	else if (truncate)
		body_len /= 2;
	conn->close_after = truncate;
	conn->out = talloc_size(conn, (size_t)head_len + body_len);
	memcpy(conn->out, head, (size_t)head_len);
	memcpy(conn->out + head_len, body, body_len);
	conn->out_len = (size_t)head_len + body_len;
	talloc_free(head);
	flush_out(conn);
}

static void answer(conn_t *conn)
{
	int64_t size = field_number(conn, "X-Size", -1);
	int status = (int)field_number(conn, "X-Status", 200);
	bool crossed = field_number(conn, "X-Cross", 0) != 0;
	char *body = echo_body(conn);
	size_t len = strlen(body);

	if (size >= 0) {
		body = talloc_realloc(conn, body, char, (size_t)size + 1);
		memset(body, 'x', (size_t)size);
		len = (size_t)size;
	}
	respond(conn, status,
		crossed ? "Cassia-Request-Id: 00000000000000000000000000000000"
			  "\r\n"
			: "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n",
		body, len);
}

static void child_head(void *private, const http_reply_t *reply)
{
	conn_t *conn = private;

	conn->child_status = reply->status;
}

static void child_done(void *private, const http_result_t *result)
{
	conn_t *conn = private;

	conn->child = NULL;
	if (result->error)
		conn->child_status = result->error;
	answer(conn);
}

static const http_call_ops_t child_ops = { .head = child_head,
					   .done = child_done };

static bool call_child(conn_t *conn)
{
	char *target = field(conn, conn, "X-Child");
	char *handle = field(conn, conn, "Cassia-Handle");
	char *child_fields = field(conn, conn, "X-Child-Status");
	http_headers_t *headers = http_headers_create(conn);
	const http_call_spec_t spec = {
		.address.s_addr = inet_addr(conn->upstream->address),
		.port = (uint16_t)conn->upstream->local_port,
		.method = CAS_STR("GET"),
		.target = cas_str_from_cstr(target),
		.headers = headers,
		.timeout_us = 10000000,
		.connect_timeout_us = 1000000,
	};

	if (!target || !conn->upstream->local_port)
		return false;
	if (handle)
		http_headers_add(headers, CAS_STR("Cassia-Handle"),
				 cas_str_from_cstr(handle));
	if (child_fields)
		http_headers_add(headers, CAS_STR("X-Status"),
				 cas_str_from_cstr(child_fields));
	conn->child =
		http_call_start(conn->upstream->back, &spec, &child_ops, conn);
	return conn->child != NULL;
}

static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private)
{
	(void)ev;
	(void)te;
	(void)now;
	if (!call_child(private))
		answer(private);
}

static void start_next(conn_t *conn)
{
	upstream_t *up = conn->upstream;
	int64_t delay_us = field_number(conn, "X-Delay-Ms", -1) * 1000;

	conn->has_slot = true;
	if (++up->running > up->most_running)
		up->most_running = up->running;
	if (delay_us < 0)
		delay_us = up->delay_us;
	if (field_number(conn, "X-Silent", 0)) {
		conn->silent = true;
		return;
	}
	tevent_add_timer(
		up->ev, conn,
		tevent_timeval_current_ofs((uint32_t)(delay_us / 1000000),
					   (uint32_t)(delay_us % 1000000)),
		on_delay, conn);
}

static void log_run(conn_t *conn, const char *run_id)
{
	char *root = field(conn, conn, "Cassia-Request-Id");

	if (conn->upstream->run_log)
		fprintf(conn->upstream->run_log, "%s %s\n", root ? root : "-",
			run_id ? run_id : "-");
	talloc_free(root);
}

static void count_request(conn_t *conn)
{
	upstream_t *up = conn->upstream;
	char *run_id = field(conn, up->ev, "X-Run-Id");
	char *key = field(conn, conn, "Authorization");

	up->requests++;
	log_run(conn, run_id);
	if (run_id && !g_hash_table_add(up->run_ids, run_id))
		up->repeated++;
	if (key || g_strstr_len(conn->in, (gssize)conn->head_len, "csk_"))
		up->keys++;
	talloc_free(key);
}

static void begin_request(conn_t *conn)
{
	upstream_t *up = conn->upstream;
	char *stats;

	conn->busy = true;
	conn->child_status = 0;
	if (strncmp(conn->in, "GET /_stats ", 12) == 0) {
		stats = stats_body(conn);
		respond(conn, 200, "", stats, strlen(stats));
		return;
	}
	if (strncmp(conn->in, "GET /_delay/", 12) == 0) {
		up->delay_us = (int)strtol(conn->in + 12, NULL, 10);
		respond(conn, 200, "", "", 0);
		return;
	}
	if (field_number(conn, "X-Shed", 0) ||
	    (up->queue_max >= 0 && up->running >= up->slots &&
	     (int)g_queue_get_length(up->queue) >= up->queue_max)) {
		respond(conn, 503, "Cassia-Outcome: not-run\r\n", "", 0);
		return;
	}
	count_request(conn);
	if (up->running < up->slots)
		start_next(conn);
	else
		g_queue_push_tail(up->queue, conn);
}

/* Takes body bytes behind the head. Returns true when the body is complete. */
static bool read_body(conn_t *conn)
{
	char *body = conn->in + conn->head_len;
	size_t len = conn->in_len - conn->head_len;
	char *end;

	if (conn->body_left >= 0) {
		if ((int64_t)len > conn->body_left)
			len = (size_t)conn->body_left;
		conn->body_left -= (int64_t)len;
		conn->body_bytes += (int64_t)len;
		memmove(body, body + len, conn->in_len - conn->head_len - len);
		conn->in_len -= len;
		return conn->body_left == 0;
	}
	for (;;) {
		size_t size;

		end = memmem(body, len, "\r\n", 2);
		if (!end)
			return false;
		size = strtoul(body, NULL, 16);
		if (len < (size_t)(end - body) + 4 + size)
			return false;
		conn->body_bytes += (int64_t)size;
		len -= (size_t)(end - body) + 4 + size;
		memmove(body, end + 4 + size, len);
		conn->in_len = conn->head_len + len;
		if (!size)
			return true;
	}
}

static bool read_head(conn_t *conn)
{
	char *end = memmem(conn->in, conn->in_len, "\r\n\r\n", 4);
	char *coding;

	if (!end)
		return false;
	conn->head_len = (size_t)(end - conn->in) + 4;
	coding = field(conn, conn, "Transfer-Encoding");
	conn->body_left = coding ? -1 : field_number(conn, "Content-Length", 0);
	conn->body_bytes = 0;
	talloc_free(coding);
	return true;
}

/* The head stays in the buffer while the request is worked on; the next
 * request follows it. */
static void read_requests(conn_t *conn)
{
	if (conn->busy)
		return;
	if (!conn->head_len && !read_head(conn))
		return;
	if (read_body(conn))
		begin_request(conn);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *private)
{
	conn_t *conn = private;
	ssize_t len;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_WRITE) {
		flush_out(conn);
		return;
	}
	if (conn->in_size - conn->in_len < READ_BYTES) {
		conn->in_size = conn->in_len + 2 * READ_BYTES;
		conn->in = talloc_realloc(conn, conn->in, char, conn->in_size);
	}
	len = recv(conn->fd, conn->in + conn->in_len, READ_BYTES, 0);
	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		conn_close(conn);
		return;
	}
	conn->in_len += (size_t)len;
	read_requests(conn);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private)
{
	int *listen_fd = private;
	int fd = accept4(*listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	const int on = 1;
	conn_t *conn;

	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = talloc_zero(ev, conn_t);
	conn->upstream = &self;
	conn->fd = fd;
	conn->fde = tevent_add_fd(ev, conn, fd, TEVENT_FD_READ, on_fd, conn);
}

static int open_port(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = inet_addr(self.address),
		.sin_port = htons((uint16_t)self.port),
	};
	socklen_t len = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)(void *)&address, len) ||
	    listen(fd, 4096) ||
	    getsockname(fd, (struct sockaddr *)(void *)&address, &len)) {
		perror("upstream: listen");
		return -1;
	}
	printf("port=%u\n", ntohs(address.sin_port));
	fflush(stdout);
	return fd;
}

int main(int argc, char **argv)
{
	const http_client_settings_t back = { .connections_max = 1000 };
	GOptionContext *context = g_option_context_new(NULL);
	int listen_fd;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	self.ev = tevent_context_init(NULL);
	self.back = http_client_create(NULL, self.ev, &back);
	self.queue = g_queue_new();
	self.run_ids = g_hash_table_new(g_str_hash, g_str_equal);
	if (self.run_log_path) {
		self.run_log = fopen(self.run_log_path, "w");
		if (!self.run_log)
			return 1;
		setvbuf(self.run_log, NULL, _IOLBF, 0);
	}
	listen_fd = open_port();
	if (listen_fd < 0)
		return 1;
	tevent_add_fd(self.ev, self.ev, listen_fd, TEVENT_FD_READ, on_accept,
		      &listen_fd);
	return tevent_loop_wait(self.ev);
}
