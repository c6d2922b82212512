/*
 * Bounded buffer that streams the bytes of a message body from one writer to
 * one reader. A callback notifies the reader of new bytes and of the end of the
 * body, another one notifies the writer of free space.
 */
#ifndef CASSIA_HTTP_BODY_H
#define CASSIA_HTTP_BODY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

/* Maximum number of bytes buffered for one direction of one exchange. */
#define HTTP_BODY_BUFFER_BYTES (256 * 1024)

typedef struct http_body http_body_t;
typedef void (*http_body_callback_t)(void *private);

/* Returns a new empty buffer for at most limit bytes, or NULL when memory is
 * short. */
http_body_t *http_body_create(TALLOC_CTX *ctx, size_t limit);

/* Appends up to len bytes and returns how many were taken. When the limit
 * leaves space for fewer than len, the space callback is called once half of
 * the limit is free. Takes none after the end of the body and none when memory
 * is short. */
size_t http_body_write(http_body_t *body, const void *data, size_t len);

/* Returns the free space in bytes, 0 after the end of the body. */
size_t http_body_space(http_body_t *body);

/* Requests a call of the space callback: at the next read after which half of
 * the limit is free. */
void http_body_wait_space(http_body_t *body);

/* Ends the body. error is 0 for a complete body, or a negative error code for a
 * truncated one. Later calls have no effect. */
void http_body_close(http_body_t *body, int error);

/* Takes up to max bytes and returns how many. When there are none and the body
 * has not ended, the data callback is called at the next write or close. */
size_t http_body_read(http_body_t *body, void *data, size_t max);

/* Returns all unread bytes (borrowed until the next write or read). */
cas_str_t http_body_peek(const http_body_t *body);

/* True when the writer has ended the body. */
bool http_body_is_closed(const http_body_t *body);

/* Returns the error given to http_body_close, 0 before that. */
int http_body_error(const http_body_t *body);

/* Retains bytes that have been read, so that http_body_rewind can return to
 * them. A write that brings the body to more than limit bytes ends this. */
void http_body_retain(http_body_t *body, size_t limit);

/* Moves the reader back to the first byte of the body. Returns false when
 * bytes that were read are no longer retained. */
bool http_body_rewind(http_body_t *body);

/* Set the callback for new data (or the end of the body) and for free space.
 * Callbacks are called from inside write, read and close. NULL removes one. */
void http_body_on_data(http_body_t *body, http_body_callback_t callback,
		       void *private);
void http_body_on_space(http_body_t *body, http_body_callback_t callback,
			void *private);

#endif
