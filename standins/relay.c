/*
 * Stand-in of a network path: passes TCP connections on to a port. SIGUSR1
 * makes all open connections silent for good, SIGUSR2 resets them; new
 * connections work.
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

typedef struct link {
	int fds[2];
	struct tevent_fd *events[2];
	bool silent;
	struct link *next;
} link_t;

static gchar *address = "127.0.0.1";
static int port;
static int to_port;
static link_t *links;

static const GOptionEntry options[] = {
	{ "address", 0, 0, G_OPTION_ARG_STRING, &address, "", NULL },
	{ "port", 0, 0, G_OPTION_ARG_INT, &port, "", NULL },
	{ "to-port", 0, 0, G_OPTION_ARG_INT, &to_port, "", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void link_close(link_t *link)
{
	link_t **place = &links;

	while (*place != link)
		place = &(*place)->next;
	*place = link->next;
	for (int i = 0; i < 2; i++) {
		TALLOC_FREE(link->events[i]);
		close(link->fds[i]);
	}
	talloc_free(link);
}

static void on_bytes(struct tevent_context *ev, struct tevent_fd *event,
		     uint16_t flags, void *private)
{
	static char bytes[READ_BYTES];
	link_t *link = private;
	int from = event == link->events[0] ? 0 : 1;
	ssize_t len = recv(link->fds[from], bytes, READ_BYTES, 0);

	(void)ev;
	(void)flags;
	if (link->silent && len > 0)
		return;
	if (len <= 0 ||
	    send(link->fds[1 - from], bytes, (size_t)len, MSG_NOSIGNAL) != len)
		link_close(link);
}

static struct sockaddr_in address_of(int number)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_addr.s_addr = inet_addr(address),
		.sin_port = htons((uint16_t)number),
	};
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *event,
		      uint16_t flags, void *private)
{
	const int *listen_fd = private;
	const struct sockaddr_in to = address_of(to_port);
	const int on = 1;
	link_t *link = talloc_zero(ev, link_t);

	(void)event;
	(void)flags;
	link->fds[0] = accept(*listen_fd, NULL, NULL);
	link->fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	link->next = links;
	links = link;
	if (link->fds[0] < 0 ||
	    connect(link->fds[1], (const struct sockaddr *)(const void *)&to,
		    sizeof(to))) {
		link_close(link);
		return;
	}
	for (int i = 0; i < 2; i++) {
		setsockopt(link->fds[i], IPPROTO_TCP, TCP_NODELAY, &on,
			   sizeof(on));
		link->events[i] = tevent_add_fd(ev, link, link->fds[i],
						TEVENT_FD_READ, on_bytes, link);
	}
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *event,
		      int number, int count, void *info, void *private)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	link_t *next;

	(void)ev;
	(void)event;
	(void)count;
	(void)info;
	(void)private;
	for (link_t *link = links; link; link = next) {
		next = link->next;
		if (number == SIGUSR1) {
			link->silent = true;
			continue;
		}
		setsockopt(link->fds[0], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		link_close(link);
	}
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sockaddr_in own;
	const int on = 1;
	int listen_fd = socket(AF_INET, SOCK_STREAM, 0);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	own = address_of(port);
	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listen_fd, (struct sockaddr *)(void *)&own, sizeof(own)) ||
	    listen(listen_fd, 1024)) {
		perror("relay: listen");
		return 1;
	}
	tevent_add_fd(ev, ev, listen_fd, TEVENT_FD_READ, on_accept, &listen_fd);
	tevent_add_signal(ev, ev, SIGUSR1, 0, on_signal, NULL);
	tevent_add_signal(ev, ev, SIGUSR2, 0, on_signal, NULL);
	return tevent_loop_wait(ev);
}
