/*
 * Open connections of the HTTP client. Finds the socket of a kept connection by
 * its endpoints, which is all that libcurl tells of it before it sends a
 * request, in order to check that nothing has arrived on it while it was idle.
 */
#include "client_internal.h"

#include <sys/socket.h>
#include <unistd.h>

/* The connections are in two hash tables: by endpoints and by descriptor. */
typedef struct client_conn {
	gint64 endpoints; /* must be first: key of the table */
	curl_socket_t fd;
} client_conn_t;

/* Both addresses are IPv4, and that of the client follows from its port. */
static gint64 endpoints_of(const http_call_t *call, uint16_t local_port)
{
	return (gint64)((uint64_t)call->address.s_addr << 32 |
			(uint64_t)call->port << 16 | local_port);
}

bool client_conn_init(http_client_t *client)
{
	client->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	client->conns_by_fd = g_hash_table_new(NULL, NULL);
	return client->conns && client->conns_by_fd;
}

void client_conn_destroy(http_client_t *client)
{
	if (client->conns)
		g_hash_table_destroy(client->conns);
	if (client->conns_by_fd)
		g_hash_table_destroy(client->conns_by_fd);
}

/* Without memory the connection is not known later, so it is not used again. */
static void add_conn(http_call_t *call, gint64 endpoints)
{
	http_client_t *client = call->client;
	client_conn_t *conn = talloc(client, client_conn_t);

	if (!conn)
		return;
	*conn = (client_conn_t){ .endpoints = endpoints, .fd = call->fd };
	g_hash_table_replace(client->conns, conn, conn);
	g_hash_table_replace(client->conns_by_fd, GINT_TO_POINTER(conn->fd),
			     conn);
}

bool client_conn_is_clean(http_call_t *call, uint16_t local_port)
{
	gint64 endpoints = endpoints_of(call, local_port);
	const client_conn_t *conn;
	char byte;

	if (http_call_is_first_on_connection(call)) {
		add_conn(call, endpoints);
		return true;
	}
	conn = g_hash_table_lookup(call->client->conns, &endpoints);
	return conn &&
	       recv(conn->fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}

int client_conn_close(void *cls, curl_socket_t fd)
{
	http_client_t *client = cls;
	client_conn_t *conn =
		g_hash_table_lookup(client->conns_by_fd, GINT_TO_POINTER(fd));

	if (conn) {
		g_hash_table_remove(client->conns_by_fd, GINT_TO_POINTER(fd));
		g_hash_table_remove(client->conns, conn);
		talloc_free(conn);
	}
	transfer_loop_socket_closed(client->transfers, fd);
	return close(fd);
}
