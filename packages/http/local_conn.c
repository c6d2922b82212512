/* HTTP server: the local connections of a caller into libmicrohttpd. */
#include "local_conn_internal.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_error.h"
#include "pipeline_internal.h"

void lane_init(pipeline_lane_t *lane, http_front_t *front, client_t *client)
{
	*lane = (pipeline_lane_t){
		.front = front,
		.client = client,
		.fd = -1,
		.mhd_fd = -1,
	};
}

void lane_close(pipeline_lane_t *lane)
{
	TALLOC_FREE(lane->fde);
	TALLOC_FREE(lane->unsent);
	lane->unsent_len = 0;
	if (lane->conn)
		pipeline_part(lane->conn);
	if (lane->fd >= 0)
		close(lane->fd);
	lane->fd = -1;
	lane->mhd_fd = -1;
}

int lane_open(pipeline_lane_t *lane, const struct sockaddr_in *address,
	      tevent_fd_handler_t on_ready)
{
	http_front_t *front = lane->front;
	int fds[2];

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
		       fds))
		return HTTP_ENOMEM;
	lane->fd = fds[0];
	lane->mhd_fd = fds[1];
	lane->ended = false;
	lane->fde = tevent_add_fd(front->ev, lane->client, lane->fd,
				  TEVENT_FD_READ, on_ready, lane);
	/* libmicrohttpd closes its end also when it refuses it. */
	if (!lane->fde || MHD_add_connection(front->daemon, lane->mhd_fd,
					     (const void *)address,
					     sizeof(*address)) != MHD_YES) {
		lane_close(lane);
		return HTTP_ENOMEM;
	}
	return 0;
}

static int keep_unsent(pipeline_lane_t *lane, const char *data, size_t len)
{
	char *unsent = talloc_realloc(lane->client, lane->unsent, char,
				      lane->unsent_len + len);

	if (!unsent)
		return HTTP_ENOMEM;
	memcpy(unsent + lane->unsent_len, data, len);
	lane->unsent = unsent;
	lane->unsent_len += len;
	TEVENT_FD_WRITEABLE(lane->fde);
	return 0;
}

int lane_write(pipeline_lane_t *lane, const char *data, size_t len)
{
	ssize_t sent = 0;

	if (lane->ended)
		return 0;
	/* libmicrohttpd looks at an added connection only when it runs. */
	front_run_soon(lane->front);
	if (!lane->unsent_len) {
		sent = send(lane->fd, data, len, MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN && errno != EINTR)
			return 0; /* its end shows when it is read */
		if (sent < 0)
			sent = 0;
	}
	if ((size_t)sent == len)
		return 0;
	return keep_unsent(lane, data + sent, len - (size_t)sent);
}

void lane_flush(pipeline_lane_t *lane)
{
	ssize_t sent;

	if (!lane->unsent_len || lane->fd < 0)
		return;
	sent = send(lane->fd, lane->unsent, lane->unsent_len, MSG_NOSIGNAL);
	if (sent <= 0)
		return;
	lane->unsent_len -= (size_t)sent;
	memmove(lane->unsent, lane->unsent + sent, lane->unsent_len);
	if (!lane->unsent_len)
		TEVENT_FD_NOT_WRITEABLE(lane->fde);
}
