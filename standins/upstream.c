/*
 * Upstream for tests: an HTTP server whose response body is a JSON object with
 * its name and the header that it received. It runs up to --slots requests at a
 * time, each for --delay-us, queues up to --queue more and refuses the others
 * with 503 and the outcome not-run. Header fields change the handling of one
 * request:
 *
 *   X-Delay-Ms      run time instead of --delay-us
 *   X-Size          bytes of the response body, filled with x
 *   X-Status        status of the response
 *   X-Truncate      closes the connection after half of the body
 *   X-Silent        sends no response
 *   X-Shed          refuses the request
 *   X-Omit-Handle   refuses without Cassia-Handle, which refusals repeat
 *   X-Repeat-Refusal  sends the last refusal of the connection once more while
 *                   the request runs
 *   X-Raw           bytes sent as the response, with the escapes of C, before
 *                   the connection is closed
 *   X-Raw-Reset     closes with a reset after X-Raw
 *   X-Raw-Repeat    bytes sent after X-Raw without end, with the escapes of C
 *   X-Cross         responds with a Cassia-Request-Id of zeros, as if the
 *                   response belonged to another request
 *   X-Crash         the upstream crashes when it has run the request for half of
 *                   its time: all connections are reset, new ones are refused
 *                   for --crash-ms
 *   X-Child         target of a child call through the local daemon, made after
 *                   the delay; needs --local-port
 *   X-Child-Status  X-Status of the child call
 *
 * GET /_stats returns the counters, GET /_delay/MICROSECONDS changes the delay,
 * GET /_health tells how long it is still cold (upstream_cold.c), GET /_rate and
 * GET /_leaving change what it states of itself (upstream_state.c).
 * The run log (--run-log) has one line for each request that ran or was queued:
 * Cassia-Request-Id and X-Run-Id, each - when missing. Prints port=N at the
 * start.
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
#include "upstream_cold.h"
#include "upstream_state.h"

#define HEADER_MAX_BYTES (64 * 1024)
#define READ_BYTES (64 * 1024)
/* An endless response grows by this much in each interval: 16 MB/s. */
#define REPEAT_BYTES (16 * 1024)
#define REPEAT_INTERVAL_US 1000

typedef struct upstream {
	struct tevent_context *ev;
	http_client_t *http_client;
	const char *name;
	int port;
	const char *address;
	int delay_us; /* time for which a request runs */
	int slots; /* requests that may run at the same time */
	int queue_max; /* requests above it are refused; -1: no limit */
	int local_port; /* of the local daemon; 0: no child calls */
	const char *run_log_path;
	FILE *run_log; /* NULL: no run log */
	int running; /* requests that have a slot */
	int most_running; /* highest value of running */
	GQueue *queue; /* conn_t whose requests wait for a slot */
	GHashTable *run_ids; /* X-Run-Id values received so far */
	long requests; /* requests that ran or were queued */
	long connections; /* connections that carried such requests */
	long repeated; /* requests with an X-Run-Id received before */
	long requests_with_key; /* Authorization or csk_ in the header */
	long health_requests;
	GHashTable *conns; /* all conn_t */
	struct tevent_fd *listen_fde; /* NULL while crashed */
	int listen_fd;
	int crash_ms; /* how long it is down after a crash */
	long crashes;
	long cancelled; /* requests whose connection closed before the response
			   was complete, without X-Silent */
} upstream_t;

typedef struct conn {
	upstream_t *upstream;
	struct tevent_fd *fde;
	int fd;
	char *input;
	size_t input_len;
	size_t input_size;
	char *output;
	size_t output_len;
	size_t output_sent;
	size_t header_len; /* 0 while the header is incomplete */
	int64_t body_remaining; /* bytes not yet received; -1: chunked */
	int64_t body_bytes;
	bool handling_request; /* received but not yet responded to */
	bool has_slot;
	bool silent; /* sends no response */
	bool close_after; /* closes the connection after the response */
	bool counted; /* in upstream->connections */
	char *last_refusal; /* the last refusal sent, NULL: none */
	char *repeat; /* bytes sent without end, NULL: none */
	char *child_text;
	http_call_t *child_call;
	int child_status; /* of the response, or a negative error; 0: none */
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
	{ "crash-ms", 0, 0, G_OPTION_ARG_INT, &self.crash_ms, "", NULL },
	{ "run-log", 0, 0, G_OPTION_ARG_FILENAME, &self.run_log_path, "",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void start_request(conn_t *conn);
static void start_listening(void);

/* Returns the value of the first field of that name in the request header,
 * owned by ctx, or NULL. */
static char *get_field(const conn_t *conn, TALLOC_CTX *ctx, const char *name)
{
	const char *line = conn->input;
	const char *header_end = conn->input + conn->header_len;
	size_t len = strlen(name);

	while ((line = memchr(line, '\n', (size_t)(header_end - line)))) {
		line++;
		if ((size_t)(header_end - line) > len && line[len] == ':' &&
		    g_ascii_strncasecmp(line, name, len) == 0) {
			const char *line_end =
				memchr(line, '\r', (size_t)(header_end - line));

			line += len + 1;
			while (*line == ' ')
				line++;
			return talloc_strndup(ctx, line,
					      (size_t)(line_end - line));
		}
	}
	return NULL;
}

static int64_t get_field_number(const conn_t *conn, const char *name,
				int64_t default_value)
{
	char *text = get_field(conn, NULL, name);
	int64_t value = text ? strtoll(text, NULL, 10) : default_value;

	talloc_free(text);
	return value;
}

static void release_slot(conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	if (!conn->has_slot)
		return;
	conn->has_slot = false;
	upstream->running--;
	while (upstream->running < upstream->slots &&
	       !g_queue_is_empty(upstream->queue))
		start_request(g_queue_pop_head(upstream->queue));
}

static void conn_close(conn_t *conn)
{
	g_queue_remove(conn->upstream->queue, conn);
	if (conn->handling_request && !conn->silent)
		conn->upstream->cancelled++;
	if (conn->child_call)
		http_call_cancel(conn->child_call);
	release_slot(conn);
	g_hash_table_remove(conn->upstream->conns, conn);
	talloc_free(conn->fde);
	close(conn->fd);
	talloc_free(conn);
}

static void flush_output(conn_t *conn);
static void read_requests(conn_t *conn);

static void consume_input(conn_t *conn, size_t len)
{
	memmove(conn->input, conn->input + len, conn->input_len - len);
	conn->input_len -= len;
}

static void finish_request(conn_t *conn)
{
	conn->handling_request = false;
	TALLOC_FREE(conn->child_text);
	TALLOC_FREE(conn->output);
	conn->output_len = 0;
	conn->output_sent = 0;
	consume_input(conn, conn->header_len);
	conn->header_len = 0;
	release_slot(conn);
	read_requests(conn);
}

static void on_repeat(struct tevent_context *ev, struct tevent_timer *timer,
		      struct timeval now, void *private)
{
	conn_t *conn = private;

	(void)ev;
	(void)timer;
	(void)now;
	conn->output_sent = 0;
	flush_output(conn);
}

/* Prepares the next bytes of an endless response. */
static void schedule_repeat(conn_t *conn)
{
	TALLOC_FREE(conn->output);
	conn->output = talloc_strdup(conn, "");
	while (talloc_get_size(conn->output) < REPEAT_BYTES)
		conn->output =
			talloc_strdup_append_buffer(conn->output, conn->repeat);
	conn->output_len = strlen(conn->output);
	tevent_add_timer(conn->upstream->ev, conn,
			 tevent_timeval_current_ofs(0, REPEAT_INTERVAL_US),
			 on_repeat, conn);
}

static void flush_output(conn_t *conn)
{
	while (conn->output_sent < conn->output_len) {
		ssize_t len = send(conn->fd, conn->output + conn->output_sent,
				   conn->output_len - conn->output_sent,
				   MSG_NOSIGNAL);

		if (len < 0 && errno == EAGAIN) {
			tevent_fd_set_flags(conn->fde,
					    TEVENT_FD_READ | TEVENT_FD_WRITE);
			return;
		}
		if (len < 0) {
			conn_close(conn);
			return;
		}
		conn->output_sent += (size_t)len;
	}
	if (!conn->output)
		return;
	tevent_fd_set_flags(conn->fde, TEVENT_FD_READ);
	if (conn->repeat)
		schedule_repeat(conn);
	else if (conn->close_after)
		conn_close(conn);
	else
		finish_request(conn);
}

/* Returns the response body: name, length of the received body, status of the
 * child call, and the received header as a JSON string without CR. */
static char *echo_body(conn_t *conn)
{
	char *body = talloc_asprintf(conn,
				     "{\"upstream\":\"%s\",\"body_bytes\":%lld,"
				     "\"child_status\":%d,\"head\":\"",
				     conn->upstream->name,
				     (long long)conn->body_bytes,
				     conn->child_status);

	for (size_t i = 0; i < conn->header_len; i++) {
		char c = conn->input[i];

		if (c == '\r')
			continue;
		if (c == '\n')
			body = talloc_asprintf_append_buffer(body, "\\n");
		else if (c == '"' || c == '\\')
			body = talloc_asprintf_append_buffer(body, "\\%c", c);
		else
			body = talloc_asprintf_append_buffer(body, "%c", c);
	}
	return talloc_asprintf_append_buffer(body, "\"}\n");
}

static char *stats_body(conn_t *conn)
{
	upstream_t *upstream = conn->upstream;

	return talloc_asprintf(
		conn,
		"{\"requests\":%ld,\"repeated\":%ld,"
		"\"connections\":%ld,"
		"\"keys\":%ld,\"cancelled\":%ld,"
		"\"running\":%d,\"most_running\":%d,"
		"\"health\":%ld,\"worst_second\":%d,\"crashes\":%ld}\n",
		upstream->requests, upstream->repeated, upstream->connections,
		upstream->requests_with_key, upstream->cancelled,
		upstream->running, upstream->most_running,
		upstream->health_requests, upstream_cold_worst(),
		upstream->crashes);
}

static void write_response(conn_t *conn, int status, const char *extra_fields,
			   const char *body, size_t body_len)
{
	bool truncate = get_field_number(conn, "X-Truncate", 0) != 0;
	int header_len;
	char *header = talloc_asprintf(
		conn, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n", status,
		status == 200 ? "OK" : "Other", body_len, extra_fields);

	header_len = (int)strlen(header);
	if (strncmp(conn->input, "HEAD ", 5) == 0)
		body_len = 0;
	else if (truncate)
		body_len /= 2;
	conn->close_after = truncate;
	conn->output = talloc_size(conn, (size_t)header_len + body_len);
	memcpy(conn->output, header, (size_t)header_len);
	memcpy(conn->output + header_len, body, body_len);
	conn->output_len = (size_t)header_len + body_len;
	talloc_free(header);
	flush_output(conn);
}

/* Returns the value of a field with its escapes replaced, or NULL. */
static char *get_field_unescaped(conn_t *conn, const char *name)
{
	char *text = get_field(conn, conn, name);
	gchar *bytes = text ? g_strcompress(text) : NULL;
	char *result = bytes ? talloc_strdup(conn, bytes) : NULL;

	g_free(bytes);
	return result;
}

/* Sends X-Raw. Returns false when the request does not have it. */
static bool write_raw(conn_t *conn)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	conn->output = get_field_unescaped(conn, "X-Raw");
	if (!conn->output)
		return false;
	conn->output_len = strlen(conn->output);
	conn->repeat = get_field_unescaped(conn, "X-Raw-Repeat");
	conn->close_after = true;
	if (get_field_number(conn, "X-Raw-Reset", 0))
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	flush_output(conn);
	return true;
}

/* Refuses the request without running it. */
static void write_refusal(conn_t *conn)
{
	char *handle = get_field(conn, conn, "Cassia-Handle");
	char *fields = talloc_strdup(conn, "Cassia-Outcome: not-run\r\n");
	int64_t body_size = get_field_number(conn, "X-Size", 0);
	char *body = talloc_zero_size(conn, (size_t)body_size + 1);

	if (handle && !get_field_number(conn, "X-Omit-Handle", 0))
		fields = talloc_asprintf_append_buffer(
			fields, "Cassia-Handle: %s\r\n", handle);
	talloc_free(conn->last_refusal);
	conn->last_refusal =
		talloc_asprintf(conn,
				"HTTP/1.1 503 Service Unavailable\r\n"
				"Content-Length: 0\r\n%s\r\n",
				fields);
	write_response(conn, 503, fields, body, (size_t)body_size);
}

/* Sends the last refusal of the connection once more. */
static void repeat_refusal(conn_t *conn)
{
	if (conn->last_refusal &&
	    send(conn->fd, conn->last_refusal, strlen(conn->last_refusal),
		 MSG_NOSIGNAL) < 0)
		perror("upstream: repeat the refusal");
}

static char *load_fields(conn_t *conn, bool health)
{
	const upstream_t *upstream = conn->upstream;
	char *fields = upstream_cold_fields(
		conn, health, upstream->running,
		(int)g_queue_get_length(upstream->queue), upstream->slots);

	return talloc_strdup_append_buffer(fields, upstream_state_fields(conn));
}

static void answer_request(conn_t *conn)
{
	int64_t body_size = get_field_number(conn, "X-Size", -1);
	int status = (int)get_field_number(conn, "X-Status", 200);
	bool wrong_request_id = get_field_number(conn, "X-Cross", 0) != 0;
	char *fields;
	char *body;
	size_t body_len;

	if (write_raw(conn))
		return;
	body = echo_body(conn);
	body_len = strlen(body);
	if (body_size >= 0) {
		body = talloc_realloc(conn, body, char, (size_t)body_size + 1);
		memset(body, 'x', (size_t)body_size);
		body_len = (size_t)body_size;
	}
	fields = load_fields(conn, false);
	fields = talloc_strdup_append_buffer(
		fields,
		wrong_request_id
			? "Cassia-Request-Id: 00000000000000000000000000000000"
			  "\r\n"
			: "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n");
	write_response(conn, status, fields, body, body_len);
}

static void child_head(void *private, const http_reply_t *reply)
{
	conn_t *conn = private;

	conn->child_status = reply->status;
}

static void child_done(void *private, const http_result_t *result)
{
	conn_t *conn = private;

	conn->child_call = NULL;
	if (result->error)
		conn->child_status = result->error;
	answer_request(conn);
}

static const http_call_ops_t child_ops = { .head = child_head,
					   .done = child_done };

static bool start_child_call(conn_t *conn)
{
	char *target = get_field(conn, conn, "X-Child");
	char *handle = get_field(conn, conn, "Cassia-Handle");
	char *child_status_text = get_field(conn, conn, "X-Child-Status");
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
	if (child_status_text)
		http_headers_add(headers, CAS_STR("X-Status"),
				 cas_str_from_cstr(child_status_text));
	conn->child_call = http_call_start(conn->upstream->http_client, &spec,
					   &child_ops, conn);
	return conn->child_call != NULL;
}

static void on_delay_elapsed(struct tevent_context *ev,
			     struct tevent_timer *timer, struct timeval now,
			     void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	if (!start_child_call(private))
		answer_request(private);
}

static void on_recovered(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)private;
	start_listening();
}

/* Ends all connections as the end of the process would. */
static void crash(upstream_t *upstream)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	GList *conns = g_hash_table_get_keys(upstream->conns);

	upstream->crashes++;
	printf("crashed_ms=%lld\n",
	       (long long)(g_get_real_time() / G_TIME_SPAN_MILLISECOND));
	fflush(stdout);
	TALLOC_FREE(upstream->listen_fde);
	close(upstream->listen_fd);
	g_queue_clear(upstream->queue);
	for (GList *link = conns; link; link = link->next) {
		conn_t *conn = link->data;

		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		conn_close(conn);
	}
	g_list_free(conns);
	tevent_add_timer(upstream->ev, upstream->ev,
			 tevent_timeval_current_ofs(
				 (uint32_t)(upstream->crash_ms / 1000),
				 (uint32_t)(upstream->crash_ms % 1000) * 1000),
			 on_recovered, NULL);
}

static void on_crash_due(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	(void)private;
	crash(&self);
}

static void start_request(conn_t *conn)
{
	upstream_t *upstream = conn->upstream;
	int64_t delay_us = get_field_number(conn, "X-Delay-Ms", -1) * 1000;

	conn->has_slot = true;
	if (++upstream->running > upstream->most_running)
		upstream->most_running = upstream->running;
	if (delay_us < 0)
		delay_us = upstream->delay_us;
	delay_us = upstream_cold_delay(delay_us);
	if (get_field_number(conn, "X-Silent", 0)) {
		conn->silent = true;
		return;
	}
	if (get_field_number(conn, "X-Crash", 0)) {
		tevent_add_timer(
			upstream->ev, conn,
			tevent_timeval_current_ofs(0, (uint32_t)(delay_us / 2)),
			on_crash_due, conn);
		return;
	}
	tevent_add_timer(
		upstream->ev, conn,
		tevent_timeval_current_ofs((uint32_t)(delay_us / 1000000),
					   (uint32_t)(delay_us % 1000000)),
		on_delay_elapsed, conn);
}

static void log_run(conn_t *conn, const char *run_id)
{
	char *request_id = get_field(conn, conn, "Cassia-Request-Id");

	if (conn->upstream->run_log)
		fprintf(conn->upstream->run_log, "%s %s\n",
			request_id ? request_id : "-", run_id ? run_id : "-");
	talloc_free(request_id);
}

static void count_request(conn_t *conn)
{
	upstream_t *upstream = conn->upstream;
	char *run_id = get_field(conn, upstream->ev, "X-Run-Id");
	char *authorization = get_field(conn, conn, "Authorization");

	upstream->requests++;
	upstream_cold_count();
	if (!conn->counted)
		upstream->connections++;
	conn->counted = true;
	log_run(conn, run_id);
	if (run_id && !g_hash_table_add(upstream->run_ids, run_id))
		upstream->repeated++;
	if (authorization ||
	    g_strstr_len(conn->input, (gssize)conn->header_len, "csk_"))
		upstream->requests_with_key++;
	talloc_free(authorization);
}

static void admit_request(conn_t *conn)
{
	upstream_t *upstream = conn->upstream;
	char *stats;

	conn->handling_request = true;
	conn->child_status = 0;
	if (strncmp(conn->input, "GET /_stats ", 12) == 0) {
		stats = stats_body(conn);
		write_response(conn, 200, "", stats, strlen(stats));
		return;
	}
	if (upstream_state_control(conn->input)) {
		write_response(conn, 200, "", "", 0);
		return;
	}
	if (strncmp(conn->input, "GET /_delay/", 12) == 0) {
		upstream->delay_us = (int)strtol(conn->input + 12, NULL, 10);
		write_response(conn, 200, "", "", 0);
		return;
	}
	if (strncmp(conn->input, "GET /_health ", 13) == 0) {
		upstream->health_requests++;
		if (upstream_cold_answers_health())
			write_response(conn, 200, load_fields(conn, true), "",
				       0);
		return;
	}
	if (get_field_number(conn, "X-Shed", 0) ||
	    (upstream->queue_max >= 0 && upstream->running >= upstream->slots &&
	     (int)g_queue_get_length(upstream->queue) >= upstream->queue_max)) {
		write_refusal(conn);
		return;
	}
	count_request(conn);
	if (get_field_number(conn, "X-Repeat-Refusal", 0))
		repeat_refusal(conn);
	if (upstream->running < upstream->slots)
		start_request(conn);
	else
		g_queue_push_tail(upstream->queue, conn);
}

/* Removes received body bytes, which follow the header, from the input. Returns
 * true when the body is complete. */
static bool read_body(conn_t *conn)
{
	char *body = conn->input + conn->header_len;
	size_t len = conn->input_len - conn->header_len;
	char *line_end;

	if (conn->body_remaining >= 0) {
		if ((int64_t)len > conn->body_remaining)
			len = (size_t)conn->body_remaining;
		conn->body_remaining -= (int64_t)len;
		conn->body_bytes += (int64_t)len;
		memmove(body, body + len,
			conn->input_len - conn->header_len - len);
		conn->input_len -= len;
		return conn->body_remaining == 0;
	}
	for (;;) {
		size_t size;

		line_end = memmem(body, len, "\r\n", 2);
		if (!line_end)
			return false;
		size = strtoul(body, NULL, 16);
		if (len < (size_t)(line_end - body) + 4 + size)
			return false;
		conn->body_bytes += (int64_t)size;
		len -= (size_t)(line_end - body) + 4 + size;
		memmove(body, line_end + 4 + size, len);
		conn->input_len = conn->header_len + len;
		if (!size)
			return true;
	}
}

static bool read_header(conn_t *conn)
{
	char *header_end = memmem(conn->input, conn->input_len, "\r\n\r\n", 4);
	char *transfer_coding;

	if (!header_end)
		return false;
	conn->header_len = (size_t)(header_end - conn->input) + 4;
	transfer_coding = get_field(conn, conn, "Transfer-Encoding");
	conn->body_remaining =
		transfer_coding ? -1
				: get_field_number(conn, "Content-Length", 0);
	conn->body_bytes = 0;
	talloc_free(transfer_coding);
	return true;
}

/* The header stays in the input until the response is sent; a pipelined request
 * follows it there. */
static void read_requests(conn_t *conn)
{
	if (conn->handling_request)
		return;
	if (!conn->header_len && !read_header(conn))
		return;
	if (read_body(conn))
		admit_request(conn);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *private)
{
	conn_t *conn = private;
	ssize_t len;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_WRITE) {
		flush_output(conn);
		return;
	}
	if (conn->input_size - conn->input_len < READ_BYTES) {
		conn->input_size = conn->input_len + 2 * READ_BYTES;
		conn->input = talloc_realloc(conn, conn->input, char,
					     conn->input_size);
	}
	len = recv(conn->fd, conn->input + conn->input_len, READ_BYTES, 0);
	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		conn_close(conn);
		return;
	}
	conn->input_len += (size_t)len;
	read_requests(conn);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *private)
{
	const upstream_t *upstream = private;
	int fd = accept4(upstream->listen_fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	const int enable = 1;
	conn_t *conn;

	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	conn = talloc_zero(ev, conn_t);
	conn->upstream = &self;
	conn->fd = fd;
	g_hash_table_add(self.conns, conn);
	conn->fde = tevent_add_fd(ev, conn, fd, TEVENT_FD_READ, on_fd, conn);
}

static int listen_on_address(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = inet_addr(self.address),
		.sin_port = htons((uint16_t)self.port),
	};
	socklen_t len = sizeof(address);
	const int enable = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(fd, (struct sockaddr *)(void *)&address, len) ||
	    listen(fd, 4096) ||
	    getsockname(fd, (struct sockaddr *)(void *)&address, &len)) {
		perror("upstream: listen");
		return -1;
	}
	self.port = ntohs(address.sin_port);
	printf("port=%d\n", self.port);
	fflush(stdout);
	return fd;
}

static void start_listening(void)
{
	self.listen_fd = listen_on_address();
	if (self.listen_fd < 0)
		exit(1);
	self.listen_fde = tevent_add_fd(self.ev, self.ev, self.listen_fd,
					TEVENT_FD_READ, on_accept, &self);
}

int main(int argc, char **argv)
{
	const http_client_settings_t settings = { .connections_max = 1000 };
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	g_option_context_add_main_entries(context, upstream_cold_options, NULL);
	g_option_context_add_main_entries(context, upstream_state_options,
					  NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	self.ev = tevent_context_init(NULL);
	self.http_client = http_client_create(NULL, self.ev, &settings);
	self.queue = g_queue_new();
	self.run_ids = g_hash_table_new(g_str_hash, g_str_equal);
	if (self.run_log_path) {
		self.run_log = fopen(self.run_log_path, "w");
		if (!self.run_log)
			return 1;
		setvbuf(self.run_log, NULL, _IOLBF, 0);
	}
	upstream_cold_begin();
	self.conns = g_hash_table_new(NULL, NULL);
	start_listening();
	return tevent_loop_wait(self.ev);
}
