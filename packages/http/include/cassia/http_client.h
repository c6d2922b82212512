/*
 * HTTP client on the libcurl multi socket interface, driven by tevent.
 * Connections are kept alive and reused per destination. A request is sent at
 * most once: libcurl's automatic retry on another connection is prevented.
 */
#ifndef CASSIA_HTTP_CLIENT_H
#define CASSIA_HTTP_CLIENT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "cassia/http_server.h"
#include "cassia/http_headers.h"
#include "cassia/http_body.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct http_client_settings {
	long connections_max; /* kept open, summed over all destinations */
	long connections_per_destination; /* open at once; 0: no limit */
} http_client_settings_t;

typedef struct http_call_spec {
	struct in_addr address;
	uint16_t port;
	cas_str_t method;
	cas_str_t target; /* origin form */
	const http_headers_t *headers; /* borrowed during http_call_start */
	http_body_t *body; /* NULL: no body; borrowed until done */
	int64_t content_length; /* of the body, -1: unknown */
	int64_t timeout_us; /* from the start of the call to its end */
	int64_t connect_timeout_us;
	/* Called immediately before the request is sent; returning false ends
	 * the call with HTTP_EEXPIRED. May be NULL. */
	bool (*may_send)(void *private);
	bool new_connection; /* use a new connection */
} http_call_spec_t;

typedef struct http_result {
	int error; /* 0: the complete response has arrived */
	bool sent; /* parts of the request may have reached the server */
	/* TCP gave up because the server's host acknowledged nothing, within
	 * 500 ms or, with a streamed request body, 10 s. */
	bool ack_timed_out;
	bool timed_out; /* by a timeout of the call; no sign of a refusal */
	int64_t request_bytes; /* sent: request line, header and body */
	int64_t response_bytes; /* received, body only */
} http_result_t;

typedef struct http_call_ops {
	/* Returns whether the head of a response (status line and header)
	 * belongs to the request of the call. If not, the call ends with
	 * HTTP_ECROSSED and its connection is closed, because all later
	 * responses on it would be off by one. Called from inside libcurl: it
	 * must not start, cancel or end calls. May be NULL. */
	bool (*matches_request)(void *private, const http_reply_t *reply);
	/* The head of the response has arrived. The reply is borrowed; its
	 * body and headers may be taken with talloc_steal. Never called from
	 * inside http_call_start. */
	void (*head)(void *private, const http_reply_t *reply);
	/* The call is over. It is freed when this callback returns. */
	void (*done)(void *private, const http_result_t *result);
} http_call_ops_t;

/* Returns a new client, or NULL when memory runs out. */
http_client_t *http_client_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const http_client_settings_t *settings);

/* Starts a call. Returns it (owned by the client), or NULL when memory is
 * short. ops and private are borrowed until done is called. */
http_call_t *http_call_start(http_client_t *client,
			     const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *private);

/* Cancels a call and closes its connection; none of its callbacks is called
 * any more. Returns true when parts of the request may have reached the
 * server. */
bool http_call_cancel(http_call_t *call);

/* Returns whether the request of a running call is the first one on its
 * connection, so that a response cannot belong to an earlier request. May be
 * called from matches_request. */
bool http_call_is_first_on_connection(const http_call_t *call);

/* Closes the connection of a running call when its response is complete. May be
 * called from matches_request. */
void http_call_close_connection(http_call_t *call);

/* Returns the number of running calls. */
unsigned int http_client_calls(const http_client_t *client);

#endif
