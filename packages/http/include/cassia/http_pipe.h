/*
 * A bounded queue of body bytes between one writer and one reader. The reader
 * is told when bytes or the end arrive, the writer when there is room again.
 */
#ifndef CASSIA_HTTP_PIPE_H
#define CASSIA_HTTP_PIPE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

/* Most bytes buffered for one direction of one request. */
#define HTTP_PIPE_LIMIT (256 * 1024)

typedef struct http_pipe http_pipe_t;
typedef void (*http_pipe_hook_t)(void *private);

/* Returns a new empty pipe that holds at most limit bytes, or NULL. */
http_pipe_t *http_pipe_create(TALLOC_CTX *ctx, size_t limit);

/* Appends up to len bytes and returns how many were taken. When fewer are
 * taken, the room hook is called once half of the limit is free. */
size_t http_pipe_write(http_pipe_t *pipe, const void *data, size_t len);

/* Returns how many bytes can be written now. */
size_t http_pipe_room(http_pipe_t *pipe);

/* Asks for the room hook once half of the limit is free. */
void http_pipe_wait_room(http_pipe_t *pipe);

/* Ends the body. error is 0 for a whole body, or a negative number for a
 * body that was cut off. Later calls have no effect. */
void http_pipe_close(http_pipe_t *pipe, int error);

/* Takes up to max bytes and returns how many. When it returns 0 and the pipe
 * is open, the data hook is called at the next write or close. */
size_t http_pipe_read(http_pipe_t *pipe, void *data, size_t max);

/* Returns all unread bytes (borrowed until the next write or read). */
cas_str_t http_pipe_peek(const http_pipe_t *pipe);

/* True when the writer has ended the body. */
bool http_pipe_is_closed(const http_pipe_t *pipe);

/* The error of http_pipe_close, 0 while open. */
int http_pipe_error(const http_pipe_t *pipe);

/* Keeps the bytes that are read, so that they can be read again. Keeping ends
 * by itself when more than limit bytes were written. */
void http_pipe_keep(http_pipe_t *pipe, size_t limit);

/* Starts reading from the first byte again. Returns false when bytes have
 * been dropped. */
bool http_pipe_rewind(http_pipe_t *pipe);

/* Hooks are called from inside write, read and close. NULL removes one. */
void http_pipe_on_data(http_pipe_t *pipe, http_pipe_hook_t hook, void *private);
void http_pipe_on_room(http_pipe_t *pipe, http_pipe_hook_t hook, void *private);

#endif
