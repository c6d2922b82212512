/* HTTP client: declarations shared by its source files. */
#ifndef CASSIA_CLIENT_INTERNAL_H
#define CASSIA_CLIENT_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "cassia/http_client.h"
#include "cassia/transfer_loop.h"

typedef struct client_handle client_handle_t;

/* Maximum number of libcurl easy handles kept for reuse. */
#define CLIENT_IDLE_HANDLES_MAX 256

struct http_client {
	http_client_settings_t settings;
	transfer_loop_t *transfers;
	http_call_t *calls; /* doubly linked list of all calls */
	/* Queue of calls to be resumed or whose head callback is due, oldest
	 * first. */
	http_call_t *pending;
	http_call_t *last_pending;
	unsigned int call_count;
	client_handle_t *idle_handles[CLIENT_IDLE_HANDLES_MAX];
	unsigned int idle_handle_count;
	/* Open connections, see client_conn.c. */
	GHashTable *conns;
	GHashTable *conns_by_fd;
};

/* An easy handle of libcurl, with the memory that libcurl refers to. */
struct client_handle {
	CURL *easy;
	http_call_t *call; /* NULL while idle */
	struct in_addr address; /* of the server in the URL; 0: not set */
	uint16_t port;
	char *text; /* of the header fields */
	struct curl_slist *fields; /* linked array; NULL at first */
	size_t field_capacity;
};

struct http_call {
	http_call_t *next;
	http_call_t *prev;
	http_call_t *next_pending;
	bool is_pending; /* is in the queue of pending calls */
	http_client_t *client;
	client_handle_t *handle; /* NULL when the transfer is over */
	bool handle_reusable; /* after a whole response */
	struct in_addr address; /* of the server */
	uint16_t port; /* of the server */
	curl_socket_t fd; /* of the connection opened for the call, if any */
	const http_call_ops_t *ops;
	void *private;
	bool (*may_send)(void *private);
	http_body_t *request_body; /* NULL unless it is streamed */
	http_headers_t *reply_headers;
	http_body_t *reply_body;
	size_t reply_header_bytes; /* received, 1xx responses and trailer
				      fields included */
	int status; /* of the response */
	int64_t content_length; /* of the response, -1: unknown */
	int64_t response_bytes; /* received, body only */
	int send_count; /* how often sending was started */
	bool head_ready; /* the head of the final response is complete */
	bool head_delivered; /* the head callback has been called */
	bool header_too_large;
	bool head_invalid; /* a line of it, or the length */
	bool send_refused; /* by may_send */
	/* The kept connection was not clean before the request was sent, so the
	 * call is to be started again on a new one. */
	bool stale_connection;
	bool crossed; /* the response belongs to another request */
	bool send_paused; /* until the request body has new data */
	bool receive_paused; /* until the response body has space */
	bool resume_pending; /* call_resume is due */
};

/* client.c */

/* Appends a call to the queue of pending calls unless it is in it. */
void client_add_pending(http_call_t *call);
void client_remove_pending(http_call_t *call);

/* client_call.c */

/* Tells libcurl which directions of the transfer are still paused. */
void call_resume(http_call_t *call);
/* Calls the head callback, if it is due. */
void call_deliver_head(http_call_t *call);
/* Ends a call whose transfer is over, calls its callbacks and frees it. A call
 * that found a stale connection is started again instead. */
void call_finish(http_call_t *call, CURLcode code);

/* client_conn.c */

/* Creates the tables of open connections. Returns whether there was memory. */
bool client_conn_init(http_client_t *client);
void client_conn_destroy(http_client_t *client);
/* Returns whether the connection that a request is about to be sent on has
 * nothing to read. libcurl would take bytes that arrived while it was idle for
 * the response to the next request: before it uses a connection again it looks
 * only for its end. Bytes that arrive after this check cannot be told from a
 * response. */
bool client_conn_is_clean(http_call_t *call, uint16_t local_port);
/* CURLOPT_CLOSESOCKETFUNCTION; cls is the client. */
int client_conn_close(void *cls, curl_socket_t fd);

/* client_handle.c */

/* Returns a handle for a call, with no options of an earlier one, or NULL when
 * memory runs out. */
client_handle_t *client_handle_take(http_call_t *call);
/* Keeps a handle for another call, or frees it if it is not reusable. */
void client_handle_release(http_client_t *client, client_handle_t *handle,
			   bool reusable);
/* Sets the server to send to. */
void client_handle_set_server(client_handle_t *handle, struct in_addr address,
			      uint16_t port);
/* Copies the header fields of the request. Returns 0 or HTTP_ENOMEM. */
int client_handle_set_fields(client_handle_t *handle,
			     const http_headers_t *headers);

/* client_reply.c */

/* Returns the response as received so far, borrowed from the call. */
http_reply_t call_reply(const http_call_t *call);
/* Header callback of libcurl, called once per line; cls is the handle. */
size_t reply_on_header(char *data, size_t size, size_t count, void *cls);
/* Write callback of libcurl; cls is the handle. */
size_t reply_on_body(char *data, size_t size, size_t count, void *cls);
/* Returns the result of a call whose transfer ended with code. */
http_result_t call_result(const http_call_t *call, CURLcode code);

#endif
