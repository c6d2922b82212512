/*
 * Runs a multi handle of libcurl in a tevent event loop, through libcurl's
 * multi socket interface. The socket of a kept connection stays registered with
 * the event loop between transfers, which saves two system calls a transfer.
 */
#ifndef CASSIA_TRANSFER_LOOP_H
#define CASSIA_TRANSFER_LOOP_H

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct transfer_loop transfer_loop_t;

/* Both are called outside of libcurl's functions, so they may add and remove
 * transfers. */
typedef struct transfer_loop_ops {
	/* A transfer has ended; its easy handle is still in the multi handle.
	 */
	void (*finished)(void *private, CURL *easy, CURLcode code);
	/* libcurl has handled an event, and finished was called for each
	 * transfer that ended. May be NULL. */
	void (*handled)(void *private);
} transfer_loop_ops_t;

/* Returns a new loop (owned by ctx) that runs in ev, or NULL when out of
 * memory. ops and private are borrowed. */
transfer_loop_t *transfer_loop_create(TALLOC_CTX *ctx,
				      struct tevent_context *ev,
				      const transfer_loop_ops_t *ops,
				      void *private);

/* Returns the multi handle, for options; owned by the loop. */
CURLM *transfer_loop_multi(transfer_loop_t *loop);

/* Sets the callback of an easy handle (CURLOPT_CLOSESOCKETFUNCTION) through which
 * the loop learns that libcurl closes a socket. Must be called before a handle
 * is added to the multi handle, once and again after curl_easy_reset. */
void transfer_loop_prepare(transfer_loop_t *loop, CURL *easy);

/* For a caller that sets CURLOPT_CLOSESOCKETFUNCTION itself: stops watching a
 * socket that is about to be closed. */
void transfer_loop_socket_closed(transfer_loop_t *loop, curl_socket_t fd);

/* Stops watching an earlier socket with the number of a new one; needed only if
 * the earlier one may have been closed without notice. */
void transfer_loop_socket_opened(transfer_loop_t *loop, curl_socket_t fd);

/* Lets libcurl process its transfers in the next round of the event loop. */
void transfer_loop_schedule(transfer_loop_t *loop);

#endif
