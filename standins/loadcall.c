/*
 * Stand-in of callers with keep-alive connections. Each call has an X-Run-Id
 * of its own. At the end it prints what became of the calls: loadcall
 * --key KEY --target /path --conns N --gap-ms N --seconds N ADDRESS:PORT...
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
#define IN_BYTES 16384

typedef struct conn {
	int fd; /* -1: not connected */
	int target;
	bool busy;
	gint64 next_us;
	char in[IN_BYTES];
	size_t in_len;
} conn_t;

typedef struct totals {
	long sent;
	long served;
	long not_run;
	long unknown;
	long cut; /* the connection ended within a response */
	long lost; /* it ended before a response */
} totals_t;

static char *key = "";
static char *target = "/";
static char *method = "GET";
static char *fields = "";
static int conn_count = 8;
static int gap_ms = 5;
static int seconds = 5;
static char **addresses;
static conn_t conns[CONNS_MAX];
static totals_t totals;
static long next_id;

static const GOptionEntry options[] = {
	{ "key", 0, 0, G_OPTION_ARG_STRING, &key, "", NULL },
	{ "target", 0, 0, G_OPTION_ARG_STRING, &target, "", NULL },
	{ "method", 0, 0, G_OPTION_ARG_STRING, &method, "", NULL },
	{ "fields", 0, 0, G_OPTION_ARG_STRING, &fields, "", NULL },
	{ "conns", 0, 0, G_OPTION_ARG_INT, &conn_count, "", NULL },
	{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms, "", NULL },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "", NULL },
	{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &addresses, "",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static bool try_connect(conn_t *conn)
{
	char **parts = g_strsplit(addresses[conn->target], ":", 2);
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)atoi(parts[1])),
		.sin_addr.s_addr = inet_addr(parts[0]),
	};
	const int on = 1;

	g_strfreev(parts);
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(conn->fd, (struct sockaddr *)(void *)&to, sizeof(to)) ==
	    0) {
		setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		return true;
	}
	close(conn->fd);
	conn->fd = -1;
	return false;
}

/* A refused connection sends the caller to the next daemon. */
static void reconnect(conn_t *conn)
{
	int count = (int)g_strv_length(addresses);

	for (int i = 0; i < count; i++) {
		if (try_connect(conn))
			return;
		conn->target = (conn->target + 1) % count;
	}
}

static void drop(conn_t *conn)
{
	if (conn->busy && conn->in_len)
		totals.cut++;
	else if (conn->busy)
		totals.lost++;
	conn->busy = false;
	close(conn->fd);
	conn->fd = -1;
}

static void send_call(conn_t *conn)
{
	char *text;
	ssize_t len;

	if (conn->fd < 0)
		reconnect(conn);
	if (conn->fd < 0)
		return;
	text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: caller\r\n"
		"Authorization: Bearer %s\r\nX-Run-Id: %d-%ld\r\n%s"
		"Content-Length: 0\r\n\r\n",
		method, target, key, (int)getpid(), next_id++, fields);
	len = send(conn->fd, text, strlen(text), MSG_NOSIGNAL);
	conn->in_len = 0;
	conn->busy = true;
	totals.sent++;
	if (len != (ssize_t)strlen(text))
		drop(conn);
	g_free(text);
}

static void count_response(const conn_t *conn)
{
	if (strncmp(conn->in, "HTTP/1.1 2", 10) == 0)
		totals.served++;
	else if (strstr(conn->in, "\"outcome\":\"not-run\""))
		totals.not_run++;
	else
		totals.unknown++;
}

static void read_conn(conn_t *conn)
{
	ssize_t len = recv(conn->fd, conn->in + conn->in_len,
			   IN_BYTES - 1 - conn->in_len, MSG_DONTWAIT);
	char *end;
	char *length;

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		drop(conn);
		return;
	}
	conn->in_len += (size_t)len;
	conn->in[conn->in_len] = '\0';
	end = strstr(conn->in, "\r\n\r\n");
	length = strstr(conn->in, "Content-Length: ");
	if (!end || !length ||
	    conn->in_len < (size_t)(end + 4 - conn->in) +
				   strtoul(length + 16, NULL, 10))
		return;
	count_response(conn);
	conn->busy = false;
	conn->next_us =
		g_get_monotonic_time() + gap_ms * G_GINT64_CONSTANT(1000);
	if (strstr(conn->in, "Connection: close"))
		drop(conn);
}

static void run_once(bool sending)
{
	struct pollfd fds[CONNS_MAX];
	gint64 now = g_get_monotonic_time();

	for (int i = 0; i < conn_count; i++) {
		if (sending && !conns[i].busy && conns[i].next_us <= now)
			send_call(&conns[i]);
		fds[i] = (struct pollfd){ .fd = conns[i].fd, .events = POLLIN };
	}
	poll(fds, (nfds_t)conn_count, 1);
	for (int i = 0; i < conn_count; i++) {
		if (fds[i].revents && conns[i].fd >= 0)
			read_conn(&conns[i]);
	}
}

static bool any_busy(void)
{
	for (int i = 0; i < conn_count; i++) {
		if (conns[i].busy)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	gint64 end;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !addresses || conn_count > CONNS_MAX)
		return 2;
	g_option_context_free(context);
	fields = g_strcompress(fields);
	end = g_get_monotonic_time() + seconds * G_USEC_PER_SEC;
	for (int i = 0; i < conn_count; i++) {
		conns[i].fd = -1;
		conns[i].target = i % (int)g_strv_length(addresses);
	}
	while (g_get_monotonic_time() < end)
		run_once(true);
	end += 10 * G_USEC_PER_SEC;
	while (any_busy() && g_get_monotonic_time() < end)
		run_once(false);
	printf("sent=%ld served=%ld not_run=%ld unknown=%ld cut=%ld lost=%ld\n",
	       totals.sent, totals.served, totals.not_run, totals.unknown,
	       totals.cut, totals.lost);
	return 0;
}
