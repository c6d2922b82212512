/* Helpers for tests over loopback: run the event loop, connect to a server. */
#ifndef CASSIA_TEST_LOOPBACK_H
#define CASSIA_TEST_LOOPBACK_H

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <tevent.h>

/* How long loopback_turn runs the event loop. */
#define TURN_MS 20

static inline void loopback_on_turn(struct tevent_context *ev,
				    struct tevent_timer *te, struct timeval now,
				    void *private)
{
	(void)ev;
	(void)te;
	(void)now;
	*(bool *)private = true;
}

/* Runs the event loop for TURN_MS milliseconds. */
static inline void loopback_turn(struct tevent_context *ev)
{
	bool over = false;

	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TURN_MS * 1000),
			 loopback_on_turn, &over);
	while (!over)
		tevent_loop_once(ev);
}

/* Connects to a port of the loopback address. Returns the descriptor, or -1. */
static inline int loopback_connect(uint16_t port)
{
	const struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	return connect(fd, (const struct sockaddr *)(const void *)&to,
		       sizeof(to))
		       ? -1
		       : fd;
}

#endif
