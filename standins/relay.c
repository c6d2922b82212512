/*
 * TCP relay for tests, which stands for a network path with faults: it listens
 * on --address and --port and connects to --to-port of the same address.
 * SIGUSR1 makes it discard everything that arrives on the open connections from
 * then on without closing them; SIGUSR2 closes them with a reset to the side
 * that connected. Connections opened later work. With --rate, all connections
 * together carry at most that many bytes a second, in both directions.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#define READ_BYTES 65536
/* What a connection carries at a time when there is a rate. */
#define RATED_READ_BYTES 4096

typedef struct conn {
	int fds[2];
	struct tevent_fd *events[2];
	bool silent;
	struct conn *next;
} conn_t;

static gchar *address = "127.0.0.1";
static int port;
static int to_port;
static int rate; /* bytes a second, 0: no limit */
static struct timeval free_at; /* when the relay has carried what it has read */
static conn_t *conns;

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &address, "", NULL },
	{ "port", 0, 0, G_OPTION_ARG_INT, &port, "", NULL },
	{ "to-port", 0, 0, G_OPTION_ARG_INT, &to_port, "", NULL },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &rate, "", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void conn_close(conn_t *conn)
{
	conn_t **prev_next = &conns;

	while (*prev_next != conn)
		prev_next = &(*prev_next)->next;
	*prev_next = conn->next;
	for (int i = 0; i < 2; i++) {
		TALLOC_FREE(conn->events[i]);
		close(conn->fds[i]);
	}
	talloc_free(conn);
}

static void on_carried(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private)
{
	(void)ev;
	(void)timer;
	(void)now;
	tevent_fd_set_flags(private, TEVENT_FD_READ);
}

/* Reads no more from a connection until the relay has carried len bytes. */
static void pause_reading(struct tevent_context *ev, struct tevent_fd *event,
			  size_t len)
{
	struct timeval now = tevent_timeval_current();

	if (tevent_timeval_compare(&free_at, &now) < 0)
		free_at = now;
	free_at = tevent_timeval_add(&free_at, 0,
				     (uint32_t)(len * 1000000 / (size_t)rate));
	tevent_fd_set_flags(event, 0);
	tevent_add_timer(ev, event, free_at, on_carried, event);
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *event,
			uint16_t flags, void *private)
{
	static char buffer[READ_BYTES];
	conn_t *conn = private;
	int source = event == conn->events[0] ? 0 : 1;
	ssize_t len = recv(conn->fds[source], buffer,
			   rate ? RATED_READ_BYTES : READ_BYTES, 0);

	(void)flags;
	if (conn->silent && len > 0)
		return;
	if (len <= 0 || send(conn->fds[1 - source], buffer, (size_t)len,
			     MSG_NOSIGNAL) != len)
		conn_close(conn);
	else if (rate)
		pause_reading(ev, event, (size_t)len);
}

static struct sockaddr_in address_of(int tcp_port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = inet_addr(address),
		.sin_port = htons((uint16_t)tcp_port),
	};
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *event,
		      uint16_t flags, void *private)
{
	const int *listen_fd = private;
	const struct sockaddr_in target = address_of(to_port);
	const int enable = 1;
	conn_t *conn = talloc_zero(ev, conn_t);

	(void)event;
	(void)flags;
	conn->fds[0] = accept(*listen_fd, NULL, NULL);
	conn->fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	conn->next = conns;
	conns = conn;
	if (conn->fds[0] < 0 ||
	    connect(conn->fds[1],
		    (const struct sockaddr *)(const void *)&target,
		    sizeof(target))) {
		conn_close(conn);
		return;
	}
	for (int i = 0; i < 2; i++) {
		setsockopt(conn->fds[i], IPPROTO_TCP, TCP_NODELAY, &enable,
			   sizeof(enable));
		conn->events[i] =
			tevent_add_fd(ev, conn, conn->fds[i], TEVENT_FD_READ,
				      on_readable, conn);
	}
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *event,
		      int signal_number, int count, void *info, void *private)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	conn_t *next;

	(void)ev;
	(void)event;
	(void)count;
	(void)info;
	(void)private;
	for (conn_t *conn = conns; conn; conn = next) {
		next = conn->next;
		if (signal_number == SIGUSR1) {
			conn->silent = true;
			continue;
		}
		setsockopt(conn->fds[0], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		conn_close(conn);
	}
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sockaddr_in listen_address;
	const int enable = 1;
	int listen_fd = socket(AF_INET, SOCK_STREAM, 0);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	listen_address = address_of(port);
	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &enable,
		   sizeof(enable));
	if (bind(listen_fd, (struct sockaddr *)(void *)&listen_address,
		 sizeof(listen_address)) ||
	    listen(listen_fd, 1024)) {
		perror("relay: listen");
		return 1;
	}
	tevent_add_fd(ev, ev, listen_fd, TEVENT_FD_READ, on_accept, &listen_fd);
	tevent_add_signal(ev, ev, SIGUSR1, 0, on_signal, NULL);
	tevent_add_signal(ev, ev, SIGUSR2, 0, on_signal, NULL);
	return tevent_loop_wait(ev);
}
