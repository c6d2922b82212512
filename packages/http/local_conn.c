/* HTTP server: local connections (socket pairs) to libmicrohttpd. */
#include "local_conn_internal.h"

#include <errno.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include "cassia/http_error.h"
#include "pipeline_internal.h"

void local_conn_init(local_conn_t *local_conn, http_server_t *server,
		     client_conn_t *client)
{
	*local_conn = (local_conn_t){
		.server = server,
		.client = client,
		.fd = -1,
		.mhd_fd = -1,
	};
}

void local_conn_set_owed(local_conn_t *local_conn, bool owed)
{
	if (local_conn->owed == owed)
		return;
	local_conn->owed = owed;
	if (owed)
		local_conn->server->owed_count++;
	else
		local_conn->server->owed_count--;
}

bool local_conn_has_ended(const local_conn_t *local_conn)
{
	return local_conn->attached && !local_conn->mhd_conn;
}

void local_conn_close(local_conn_t *local_conn)
{
	TALLOC_FREE(local_conn->fde);
	TALLOC_FREE(local_conn->unsent);
	local_conn->unsent_len = 0;
	local_conn_set_owed(local_conn, false);
	if (local_conn->mhd_conn) {
		/* libmicrohttpd may not poll it at this time. */
		server_schedule_run(local_conn->server);
		pipeline_detach_conn(local_conn->mhd_conn);
	}
	if (local_conn->fd >= 0)
		close(local_conn->fd);
	local_conn->fd = -1;
	local_conn->mhd_fd = -1;
	local_conn->attached = false;
}

int local_conn_open(local_conn_t *local_conn, tevent_fd_handler_t on_ready)
{
	/* With an IP address libmicrohttpd would set options of TCP, which fail,
	 * for each response. */
	static const struct sockaddr_un address = { .sun_family = AF_UNIX };
	http_server_t *server = local_conn->server;
	int fds[2];

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
		       fds))
		return HTTP_ENOMEM;
	local_conn->fd = fds[0];
	local_conn->mhd_fd = fds[1];
	local_conn->mhd_closed = false;
	local_conn->may_read = false;
	local_conn->fde =
		tevent_add_fd(server->ev, local_conn->client, local_conn->fd,
			      TEVENT_FD_READ, on_ready, local_conn);
	/* libmicrohttpd closes its side of the pair also when it refuses it. */
	if (!local_conn->fde ||
	    MHD_add_connection(server->mhd_daemon, local_conn->mhd_fd,
			       (const void *)&address,
			       sizeof(address)) != MHD_YES) {
		local_conn_close(local_conn);
		return HTTP_ENOMEM;
	}
	return 0;
}

static int keep_unsent(local_conn_t *local_conn, const char *data, size_t len)
{
	char *unsent = talloc_realloc(local_conn->client, local_conn->unsent,
				      char, local_conn->unsent_len + len);

	if (!unsent)
		return HTTP_ENOMEM;
	memcpy(unsent + local_conn->unsent_len, data, len);
	local_conn->unsent = unsent;
	local_conn->unsent_len += len;
	TEVENT_FD_WRITEABLE(local_conn->fde);
	return 0;
}

int local_conn_write(local_conn_t *local_conn, const char *data, size_t len)
{
	ssize_t sent = 0;

	if (local_conn->mhd_closed)
		return 0;
	/* libmicrohttpd polls an added connection only after its next run. */
	server_schedule_run(local_conn->server);
	if (!local_conn->unsent_len) {
		sent = send(local_conn->fd, data, len, MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN && errno != EINTR)
			return 0; /* the next read detects the closed side */
		if (sent < 0)
			sent = 0;
	}
	if ((size_t)sent == len)
		return 0;
	return keep_unsent(local_conn, data + sent, len - (size_t)sent);
}

void local_conn_flush(local_conn_t *local_conn)
{
	ssize_t sent;

	if (!local_conn->unsent_len || local_conn->fd < 0)
		return;
	sent = send(local_conn->fd, local_conn->unsent, local_conn->unsent_len,
		    MSG_NOSIGNAL);
	if (sent <= 0)
		return;
	local_conn->unsent_len -= (size_t)sent;
	memmove(local_conn->unsent, local_conn->unsent + sent,
		local_conn->unsent_len);
	if (!local_conn->unsent_len)
		TEVENT_FD_NOT_WRITEABLE(local_conn->fde);
}
