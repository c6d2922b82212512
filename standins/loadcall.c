/*
 * Load generator for tests with keep-alive connections, each of which sends the
 * next request when the response has come and a pause has passed. When a
 * connection is refused, it connects to the next address, with --stay to the
 * same one again after 20 ms. Each request has an X-Run-Id of its own. At the end
 * it prints the number of requests by outcome.
 *
 *   loadcall [--key KEY] [--target PATH] [--method METHOD] [--fields FIELDS]
 *            [--every N] [--conns N] [--gap-ms PAUSE] [--gap-step-ms STEP]
 *            [--refused-gap-ms PAUSE] [--seconds N] [--prefix PREFIX] [--lines]
 *            [--stay] ADDRESS:PORT...
 *
 * FIELDS are header fields, each with \r\n at its end, written as C escapes;
 * every Nth request has them (default: each). Connection i, from 0, adds i
 * times STEP to its pause. The run id is PREFIX-NUMBER; the default of PREFIX is the
 * process id. With --lines it prints one line for each request: run id, status
 * (0: none), outcome (served, not-run, unknown, cut, lost, or none when no
 * response came by the end), time of sending in milliseconds since 1970,
 * latency in milliseconds, close when the response had Connection: close, else
 * keep, the address, and fields when the request had FIELDS, else plain.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS_MAX 256
#define RESPONSE_MAX_BYTES 16384
#define STAY_RETRY_US 20000

typedef struct conn {
	int fd; /* -1: not connected */
	int address_index; /* in addresses */
	bool awaiting_response;
	gint64 next_send_us; /* monotonic time */
	long run_number; /* of the last request */
	gint64 sent_us; /* real time of the last request */
	char response[RESPONSE_MAX_BYTES];
	size_t response_len;
} conn_t;

typedef struct totals {
	long sent;
	long served;
	long not_run;
	long unknown;
	long cut; /* the connection was closed within the response */
	long lost; /* the connection was closed before the response */
	long unanswered; /* no response came by the end */
} totals_t;

static char *key = "";
static char *target = "/";
static char *method = "GET";
static char *header_fields = "";
static char *prefix; /* of the run ids */
static int every = 1;
static int conn_count = 8;
static int gap_ms = 5; /* from a response to the next request */
static int gap_step_ms;
static int refused_gap_ms = -1; /* the same after not-run; -1: gap_ms */
static int seconds = 5;
static gboolean print_lines;
static gboolean stay;
static char **addresses; /* ADDRESS:PORT */
static conn_t conns[CONNS_MAX];
static totals_t totals;
static long next_run_number;

static const GOptionEntry options[] = {
	{ "key", 0, 0, G_OPTION_ARG_STRING, &key, "", NULL },
	{ "target", 0, 0, G_OPTION_ARG_STRING, &target, "", NULL },
	{ "method", 0, 0, G_OPTION_ARG_STRING, &method, "", NULL },
	{ "fields", 0, 0, G_OPTION_ARG_STRING, &header_fields, "", NULL },
	{ "every", 0, 0, G_OPTION_ARG_INT, &every, "", NULL },
	{ "conns", 0, 0, G_OPTION_ARG_INT, &conn_count, "", NULL },
	{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms, "", NULL },
	{ "gap-step-ms", 0, 0, G_OPTION_ARG_INT, &gap_step_ms, "", NULL },
	{ "refused-gap-ms", 0, 0, G_OPTION_ARG_INT, &refused_gap_ms, "", NULL },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "", NULL },
	{ "prefix", 0, 0, G_OPTION_ARG_STRING, &prefix, "", NULL },
	{ "lines", 0, 0, G_OPTION_ARG_NONE, &print_lines, "", NULL },
	{ "stay", 0, 0, G_OPTION_ARG_NONE, &stay, "", NULL },
	{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &addresses, "",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static bool try_connect(conn_t *conn)
{
	char **parts = g_strsplit(addresses[conn->address_index], ":", 2);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)atoi(parts[1])),
		.sin_addr.s_addr = inet_addr(parts[0]),
	};
	const int enable = 1;

	g_strfreev(parts);
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(conn->fd, (struct sockaddr *)(void *)&address,
		    sizeof(address)) == 0) {
		setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &enable,
			   sizeof(enable));
		return true;
	}
	close(conn->fd);
	conn->fd = -1;
	return false;
}

/* Connects to the address of the connection or, when that is refused, to the
 * next one that accepts. */
static void reconnect(conn_t *conn)
{
	int count = (int)g_strv_length(addresses);

	for (int i = 0; i < count; i++) {
		if (try_connect(conn))
			return;
		if (stay) {
			conn->next_send_us =
				g_get_monotonic_time() + STAY_RETRY_US;
			return;
		}
		conn->address_index = (conn->address_index + 1) % count;
	}
}

static bool response_closes(const conn_t *conn)
{
	return strstr(conn->response, "Connection: close") != NULL;
}

static bool has_fields(const conn_t *conn)
{
	return conn->run_number % every == 0;
}

/* Counts a request that has ended in *total and prints its line. */
static void finish_request(conn_t *conn, const char *outcome, long *total)
{
	const char *status = conn->response_len > 9 ? conn->response + 9 : "0";

	(*total)++;
	conn->awaiting_response = false;
	if (print_lines)
		printf("%s-%ld %ld %s %lld %lld %s %s %s\n", prefix,
		       conn->run_number, strtol(status, NULL, 10), outcome,
		       (long long)conn->sent_us / 1000,
		       (long long)(g_get_real_time() - conn->sent_us) / 1000,
		       response_closes(conn) ? "close" : "keep",
		       addresses[conn->address_index],
		       has_fields(conn) ? "fields" : "plain");
}

static void close_conn(conn_t *conn)
{
	if (conn->awaiting_response && conn->response_len)
		finish_request(conn, "cut", &totals.cut);
	else if (conn->awaiting_response)
		finish_request(conn, "lost", &totals.lost);
	close(conn->fd);
	conn->fd = -1;
}

static void send_request(conn_t *conn)
{
	char *request;
	ssize_t len;

	if (conn->fd < 0)
		reconnect(conn);
	if (conn->fd < 0)
		return;
	conn->run_number = next_run_number++;
	request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: caller\r\n"
		"Authorization: Bearer %s\r\nX-Run-Id: %s-%ld\r\n%s"
		"Content-Length: 0\r\n\r\n",
		method, target, key, prefix, conn->run_number,
		has_fields(conn) ? header_fields : "");
	conn->sent_us = g_get_real_time();
	len = send(conn->fd, request, strlen(request), MSG_NOSIGNAL);
	conn->response_len = 0;
	conn->response[0] = '\0';
	conn->awaiting_response = true;
	totals.sent++;
	if (len != (ssize_t)strlen(request))
		close_conn(conn);
	g_free(request);
}

/* Returns the pause until the next request. */
static int count_response(conn_t *conn)
{
	if (strncmp(conn->response, "HTTP/1.1 2", 10) == 0) {
		finish_request(conn, "served", &totals.served);
	} else if (strstr(conn->response, "\"outcome\":\"not-run\"")) {
		finish_request(conn, "not-run", &totals.not_run);
		if (refused_gap_ms >= 0)
			return refused_gap_ms;
	} else {
		finish_request(conn, "unknown", &totals.unknown);
	}
	return gap_ms + (int)(conn - conns) * gap_step_ms;
}

static void read_response(conn_t *conn)
{
	ssize_t len =
		recv(conn->fd, conn->response + conn->response_len,
		     RESPONSE_MAX_BYTES - 1 - conn->response_len, MSG_DONTWAIT);
	char *header_end;
	char *length_field;

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		close_conn(conn);
		return;
	}
	conn->response_len += (size_t)len;
	conn->response[conn->response_len] = '\0';
	header_end = strstr(conn->response, "\r\n\r\n");
	length_field = strstr(conn->response, "Content-Length: ");
	if (!header_end || !length_field ||
	    conn->response_len < (size_t)(header_end + 4 - conn->response) +
					 strtoul(length_field + 16, NULL, 10))
		return;
	conn->next_send_us = g_get_monotonic_time() +
			     count_response(conn) * G_GINT64_CONSTANT(1000);
	if (response_closes(conn))
		close_conn(conn);
}

static void poll_conns(bool send_new)
{
	struct pollfd fds[CONNS_MAX];
	gint64 now_us = g_get_monotonic_time();

	for (int i = 0; i < conn_count; i++) {
		if (send_new && !conns[i].awaiting_response &&
		    conns[i].next_send_us <= now_us)
			send_request(&conns[i]);
		fds[i] = (struct pollfd){ .fd = conns[i].fd, .events = POLLIN };
	}
	poll(fds, (nfds_t)conn_count, 1);
	for (int i = 0; i < conn_count; i++) {
		if (fds[i].revents && conns[i].fd >= 0)
			read_response(&conns[i]);
	}
}

static bool any_awaiting_response(void)
{
	for (int i = 0; i < conn_count; i++) {
		if (conns[i].awaiting_response)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	gint64 end_us;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !addresses || conn_count > CONNS_MAX)
		return 2;
	g_option_context_free(context);
	header_fields = g_strcompress(header_fields);
	if (!prefix)
		prefix = g_strdup_printf("%d", (int)getpid());
	end_us = g_get_monotonic_time() + seconds * G_USEC_PER_SEC;
	for (int i = 0; i < conn_count; i++) {
		conns[i].fd = -1;
		conns[i].address_index = i % (int)g_strv_length(addresses);
	}
	while (g_get_monotonic_time() < end_us)
		poll_conns(true);
	end_us += 10 * G_USEC_PER_SEC;
	while (any_awaiting_response() && g_get_monotonic_time() < end_us)
		poll_conns(false);
	for (int i = 0; i < conn_count; i++) {
		if (conns[i].awaiting_response)
			finish_request(&conns[i], "none", &totals.unanswered);
	}
	printf("sent=%ld served=%ld not_run=%ld unknown=%ld cut=%ld lost=%ld\n",
	       totals.sent, totals.served, totals.not_run, totals.unknown,
	       totals.cut, totals.lost);
	return 0;
}
