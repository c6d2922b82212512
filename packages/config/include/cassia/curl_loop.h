/* libcurl's multi socket interface on tevent. */
#ifndef CASSIA_CURL_LOOP_H
#define CASSIA_CURL_LOOP_H

#include <curl/curl.h>
#include <talloc.h>
#include <tevent.h>

typedef struct curl_loop curl_loop_t;

/* Called when a transfer ends; the easy handle is no longer in the loop. */
typedef void (*curl_loop_done_t)(void *private, CURLcode code);

/* A transfer in the loop, in the memory of its user. */
typedef struct curl_transfer {
	CURL *easy;
	curl_loop_done_t done;
	void *private;
} curl_transfer_t;

/* Returns a new loop, or NULL when memory is short. */
curl_loop_t *curl_loop_create(TALLOC_CTX *ctx, struct tevent_context *ev);

/* Starts a transfer. Takes over CURLOPT_PRIVATE of its easy handle. Returns 0
 * or CONFIG_EINVAL. */
int curl_loop_start(curl_loop_t *loop, curl_transfer_t *transfer);

/* Takes a transfer out of the loop without calling done. */
void curl_loop_stop(curl_loop_t *loop, curl_transfer_t *transfer);

#endif
