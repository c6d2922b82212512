/*
 * HTTP server on libmicrohttpd, driven by tevent without threads. One
 * exchange is one request with its response. Bodies are streamed through
 * bounded pipes in both directions.
 */
#ifndef CASSIA_HTTP_FRONT_H
#define CASSIA_HTTP_FRONT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "cassia/clock.h"
#include "cassia/http_headers.h"
#include "cassia/http_pipe.h"

typedef struct http_front http_front_t;
typedef struct http_exchange http_exchange_t;

typedef struct http_front_settings {
	struct in_addr address;
	uint16_t port; /* 0: chosen by the kernel */
	unsigned int connections_max;
	size_t header_max_bytes; /* larger headers get 431 */
	int64_t read_timeout_us; /* for a whole header, and for a whole body */
	unsigned int idle_timeout_s; /* of a connection without request */
	/* Requests of one connection that are served side by side when they
	 * come pipelined; 0 or 1: one after the other. */
	unsigned int pipeline_depth;
} http_front_settings_t;

typedef struct http_front_ops {
	/* The head of a request is read. The user calls
	 * http_exchange_read_body or one of the reply functions, now or
	 * later. */
	void (*request)(void *private, http_exchange_t *exchange);
	/* Bytes or the end of the request body have arrived. */
	void (*body)(void *private, http_exchange_t *exchange);
	/* The exchange is over and is freed after this call. whole is false
	 * when the caller has gone before the whole response was sent. */
	void (*closed)(void *private, http_exchange_t *exchange, bool whole);
} http_front_ops_t;

/* Head of a response. Fields are those that may pass to the next hop. */
typedef struct http_reply {
	int status;
	const http_headers_t *headers;
	int64_t content_length; /* -1: not known */
	http_pipe_t *body;
} http_reply_t;

/* Starts listening. Returns a new front, or NULL with the error number in
 * *error (HTTP_ELISTEN or HTTP_ENOMEM). ops and private are borrowed. */
http_front_t *http_front_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				const cas_clock_t *clock,
				const http_front_settings_t *settings,
				const http_front_ops_t *ops, void *private,
				int *error);

/* Returns the port listened on, in host byte order. */
uint16_t http_front_port(const http_front_t *front);

/* Returns how many connections are open. */
unsigned int http_front_connections(const http_front_t *front);

/* Returns how many exchanges are running. */
unsigned int http_front_exchanges(const http_front_t *front);

/* Closes each connection behind its next response from now on. */
void http_front_close_connections(http_front_t *front);

/* Stops listening. Open connections finish their request and are closed
 * behind the response. */
void http_front_drain(http_front_t *front);

/* True when no exchange runs and no connection had traffic for idle_us. */
bool http_front_is_idle(const http_front_t *front, int64_t idle_us);

/* Request parts, borrowed until the exchange is closed. */
cas_str_t http_exchange_method(const http_exchange_t *exchange);
cas_str_t http_exchange_target(const http_exchange_t *exchange);
const http_headers_t *http_exchange_headers(const http_exchange_t *exchange);
struct in_addr http_exchange_peer(const http_exchange_t *exchange);

/* Returns the length of the request body, -1 when it is chunked. */
int64_t http_exchange_content_length(const http_exchange_t *exchange);

/* Returns when the request line was read, in microseconds of the clock. */
int64_t http_exchange_started(const http_exchange_t *exchange);

/* Starts reading the body. A body that turns out to be over max_bytes closes
 * its pipe with HTTP_ETOOLARGE. */
void http_exchange_read_body(http_exchange_t *exchange, int64_t max_bytes);

/* Returns the pipe of the request body. A body that is cut off or too large
 * closes the pipe with an error. */
http_pipe_t *http_exchange_body(http_exchange_t *exchange);

/* Sends a response whose body comes through reply->body. headers and body
 * become owned by the exchange. Only the first reply counts. */
void http_exchange_reply(http_exchange_t *exchange, const http_reply_t *reply);

/* Sends a response with the given whole body, which is copied. headers may be
 * NULL and becomes owned by the exchange. */
void http_exchange_reply_text(http_exchange_t *exchange, int status,
			      http_headers_t *headers, cas_str_t body);

/* True when a reply has been given. */
bool http_exchange_has_reply(const http_exchange_t *exchange);

/* Resets the connection, so that the caller never takes what it has received
 * for a whole response. */
void http_exchange_abort(http_exchange_t *exchange);

/* Tells the exchange that parts of its body may have reached an upstream, so
 * that a timeout of the rest does not say not-run. */
void http_exchange_set_body_sent(http_exchange_t *exchange);

void http_exchange_set_private(http_exchange_t *exchange, void *private);
void *http_exchange_private(const http_exchange_t *exchange);

#endif
