/*
 * Runs libcurl transfers in a tevent event loop, through libcurl's multi socket
 * interface.
 */
#ifndef CASSIA_CURL_LOOP_H
#define CASSIA_CURL_LOOP_H

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct curl_loop curl_loop_t;

/* Called when a transfer has ended, with its result. The easy handle has
 * already been removed from the loop. */
typedef void (*curl_loop_done_t)(void *private, CURLcode code);

/* Limit on the head and the trailer fields of a response, 1xx responses
 * included. libcurl 7.88 itself stores any number of trailer fields. */
#define CURL_LOOP_HEAD_MAX_BYTES ((size_t)64 * 1024)

/* A transfer; allocated by the caller, and must stay valid while it runs. */
typedef struct curl_transfer {
	CURL *easy; /* easy handle, owned by the caller */
	curl_loop_done_t done;
	void *private; /* argument of done */
	size_t head_bytes; /* received of head and trailer fields; internal */
} curl_transfer_t;

/* Returns a new loop (owned by ctx) that runs in ev, or NULL when out of
 * memory. */
curl_loop_t *curl_loop_create(TALLOC_CTX *ctx, struct tevent_context *ev);

/* Starts a transfer, which ends with CURLE_WRITE_ERROR if its response exceeds
 * CURL_LOOP_HEAD_MAX_BYTES; the body is for the caller to limit. Sets
 * CURLOPT_PRIVATE and the header callback of its easy handle. Returns 0, or
 * CONFIG_EINVAL when libcurl does not accept the handle. */
int curl_loop_start(curl_loop_t *loop, curl_transfer_t *transfer);

/* Aborts a transfer without calling done. */
void curl_loop_stop(curl_loop_t *loop, curl_transfer_t *transfer);

#endif
