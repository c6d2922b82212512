/*
 * HTTP server on libmicrohttpd, driven by tevent without threads. An exchange
 * is one request with its response. Bodies are streamed through bounded
 * buffers in both directions.
 */
#ifndef CASSIA_HTTP_SERVER_H
#define CASSIA_HTTP_SERVER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "cassia/clock.h"
#include "cassia/http_body.h"
#include "cassia/http_headers.h"

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;

typedef struct http_server_settings {
	struct in_addr address;
	uint16_t port; /* 0: chosen by the kernel */
	unsigned int connections_max;
	size_t header_max_bytes; /* larger headers get 431 */
	int64_t read_timeout_us; /* for a complete header, and for a body */
	unsigned int idle_timeout_s; /* of a connection between requests */
	/* Maximum number of pipelined requests of one connection that are
	 * processed concurrently; 0 or 1: one after the other. */
	unsigned int pipeline_depth;
} http_server_settings_t;

typedef struct http_server_ops {
	/* The head of a request (request line and header) has been read. The
	 * application calls http_exchange_read_body or one of the reply
	 * functions, from this callback or later. */
	void (*request)(void *private, http_exchange_t *exchange);
	/* Bytes or the end of the request body have arrived. */
	void (*body)(void *private, http_exchange_t *exchange);
	/* The exchange is over. It is freed when this callback returns.
	 * complete is false when the connection ended before the complete
	 * response was sent. */
	void (*closed)(void *private, http_exchange_t *exchange, bool complete);
} http_server_ops_t;

/* A response. Its header contains only fields that may be forwarded to the
 * next hop. */
typedef struct http_reply {
	int status;
	const http_headers_t *headers;
	int64_t content_length; /* -1: unknown */
	http_body_t *body;
} http_reply_t;

/* Starts a server that listens on the address of settings. Returns it, or NULL
 * with the error code in *error (HTTP_ELISTEN or HTTP_ENOMEM). clock, ops and
 * private are borrowed for the lifetime of the server; settings are copied. */
http_server_t *http_server_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const cas_clock_t *clock,
				  const http_server_settings_t *settings,
				  const http_server_ops_t *ops, void *private,
				  int *error);

/* Returns the port that the server listens on, in host byte order. */
uint16_t http_server_port(const http_server_t *server);

/* Returns the number of open connections of libmicrohttpd. With pipelining
 * these are internal connections, of which a client may have several. */
unsigned int http_server_connections(const http_server_t *server);

/* Returns the number of running exchanges. */
unsigned int http_server_exchanges(const http_server_t *server);

/* From now on, closes each connection after its next response. */
void http_server_close_connections(http_server_t *server);

/* Stops listening. Open connections finish their request and are closed after
 * the response. */
void http_server_drain(http_server_t *server);

/* True when no exchange is running and no connection has been used within the
 * last idle_us microseconds. */
bool http_server_is_idle(const http_server_t *server, int64_t idle_us);

/* Parts of the request, borrowed until the exchange is closed. The target is
 * in origin form; the client address is IPv4, 0.0.0.0 if unknown. */
cas_str_t http_exchange_method(const http_exchange_t *exchange);
cas_str_t http_exchange_target(const http_exchange_t *exchange);
const http_headers_t *http_exchange_headers(const http_exchange_t *exchange);
struct in_addr http_exchange_client_address(const http_exchange_t *exchange);

/* Returns the length of the request body, -1 when it is chunked. */
int64_t http_exchange_content_length(const http_exchange_t *exchange);

/* Returns the time when the request line was read, in microseconds of the
 * server's clock. */
int64_t http_exchange_started(const http_exchange_t *exchange);

/* Starts reading the body. When it exceeds max_bytes, its buffer is closed with
 * HTTP_ETOOLARGE. */
void http_exchange_read_body(http_exchange_t *exchange, int64_t max_bytes);

/* Returns the buffer of the request body. It is closed with an error when the
 * body is truncated or too large. */
http_body_t *http_exchange_body(http_exchange_t *exchange);

/* Sends a response whose body is streamed from reply->body. headers and body
 * become owned by the exchange. Has no effect after the first reply. */
void http_exchange_reply(http_exchange_t *exchange, const http_reply_t *reply);

/* Sends a response with the given complete body, which is copied. headers may
 * be NULL and become owned by the exchange. Aborts the exchange when memory is
 * short. */
void http_exchange_reply_text(http_exchange_t *exchange, int status,
			      http_headers_t *headers, cas_str_t body);

/* True when a reply has been given. */
bool http_exchange_has_reply(const http_exchange_t *exchange);

/* Aborts the exchange and resets its connection, so that the client cannot
 * mistake what it has received for a complete response. */
void http_exchange_abort(http_exchange_t *exchange);

/* Records that parts of the request body may have reached an upstream. If the
 * rest of the body then times out, the error response says "unknown" instead
 * of "not-run". */
void http_exchange_set_body_sent(http_exchange_t *exchange);

/* Set and return the application's pointer of the exchange, initially NULL. */
void http_exchange_set_private(http_exchange_t *exchange, void *private);
void *http_exchange_private(const http_exchange_t *exchange);

#endif
