/*
 * HTTP client on the libcurl multi socket interface, driven by tevent.
 * Connections are kept and reused for each destination. A request is sent at
 * most once: a second sending on another connection is stopped.
 */
#ifndef CASSIA_HTTP_BACK_H
#define CASSIA_HTTP_BACK_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "cassia/http_front.h"
#include "cassia/http_headers.h"
#include "cassia/http_pipe.h"

typedef struct http_back http_back_t;
typedef struct http_call http_call_t;

typedef struct http_back_settings {
	long connections_max; /* kept open for all destinations together */
	long connections_per_destination; /* 0: no limit */
} http_back_settings_t;

typedef struct http_call_spec {
	struct in_addr address;
	uint16_t port;
	cas_str_t method;
	cas_str_t target; /* origin form */
	const http_headers_t *headers; /* borrowed during http_call_start */
	http_pipe_t *body; /* NULL: no body; borrowed until done */
	int64_t content_length; /* of the body, -1: not known */
	int64_t timeout_us; /* for the whole call */
	int64_t connect_timeout_us;
	/* Called right before the request is sent; false stops the call with
	 * HTTP_EEXPIRED. May be NULL. */
	bool (*may_send)(void *private);
	bool fresh; /* on a new connection */
} http_call_spec_t;

typedef struct http_result {
	int error; /* 0: the whole response has arrived */
	bool sent; /* parts of the request may have reached the other side */
	bool silent; /* the other side acknowledged nothing for 500 ms */
	int64_t request_bytes; /* sent, header included */
	int64_t response_bytes;
} http_result_t;

typedef struct http_call_ops {
	/* Says whether a head belongs to the request of the call. If not, the
	 * call ends with HTTP_ECROSSED and its connection is closed, since all
	 * later responses on it would be off by one. Called from inside
	 * libcurl: it must not start, cancel or end calls. May be NULL. */
	bool (*is_own)(void *private, const http_reply_t *reply);
	/* The head of the response has arrived. The reply is borrowed; its
	 * body and headers may be taken with talloc_steal. Never called from
	 * inside http_call_start. */
	void (*head)(void *private, const http_reply_t *reply);
	/* The call is over and is freed after this call. */
	void (*done)(void *private, const http_result_t *result);
} http_call_ops_t;

/* Returns a new client, or NULL when memory is short. */
http_back_t *http_back_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const http_back_settings_t *settings);

/* Starts a call. Returns it (owned by the client), or NULL when memory is
 * short. ops and private are borrowed until done. */
http_call_t *http_call_start(http_back_t *back, const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *private);

/* Stops a call and closes its connection; no callback is called any more.
 * Returns true when parts of the request may have reached the other side. */
bool http_call_cancel(http_call_t *call);

/* Returns how many calls are running. */
unsigned int http_back_calls(const http_back_t *back);

#endif
