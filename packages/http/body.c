/* Bounded body queue: one contiguous buffer that grows up to its limit. */
#include "cassia/http_pipe.h"

#include "cassia/http_error.h"

#define FIRST_BYTES 4096

struct http_pipe {
	char *data;
	size_t capacity;
	size_t limit;
	size_t begin; /* first unread byte */
	size_t end;
	size_t keep_limit; /* 0: read bytes may be dropped */
	bool dropped; /* the first byte is gone */
	bool closed;
	bool reader_waits;
	bool writer_waits;
	int error;
	http_pipe_hook_t on_data;
	void *data_private;
	http_pipe_hook_t on_room;
	void *room_private;
};

http_pipe_t *http_pipe_create(TALLOC_CTX *ctx, size_t limit)
{
	http_pipe_t *pipe = talloc_zero(ctx, http_pipe_t);

	if (pipe)
		pipe->limit = limit;
	return pipe;
}

static void drop_read(http_pipe_t *pipe)
{
	if (pipe->keep_limit || !pipe->begin)
		return;
	memmove(pipe->data, pipe->data + pipe->begin, pipe->end - pipe->begin);
	pipe->end -= pipe->begin;
	pipe->begin = 0;
	pipe->dropped = true;
}

static bool grow(http_pipe_t *pipe, size_t wanted)
{
	size_t capacity = pipe->capacity ? pipe->capacity : FIRST_BYTES;
	char *data;

	while (capacity < wanted)
		capacity *= 2;
	if (capacity > pipe->limit)
		capacity = pipe->limit;
	if (capacity == pipe->capacity)
		return true;
	data = talloc_realloc_size(pipe, pipe->data, capacity);
	if (!data)
		return false;
	pipe->data = data;
	pipe->capacity = capacity;
	return true;
}

size_t http_pipe_room(http_pipe_t *pipe)
{
	size_t used = pipe->keep_limit ? pipe->end : pipe->end - pipe->begin;

	return pipe->closed ? 0 : pipe->limit - used;
}

static void notify_reader(http_pipe_t *pipe)
{
	if (!pipe->reader_waits || !pipe->on_data)
		return;
	pipe->reader_waits = false;
	pipe->on_data(pipe->data_private);
}

static void notify_writer(http_pipe_t *pipe)
{
	if (!pipe->writer_waits || !pipe->on_room ||
	    http_pipe_room(pipe) < pipe->limit / 2)
		return;
	pipe->writer_waits = false;
	pipe->on_room(pipe->room_private);
}

size_t http_pipe_write(http_pipe_t *pipe, const void *data, size_t len)
{
	size_t room;

	if (pipe->keep_limit && pipe->end + len > pipe->keep_limit)
		pipe->keep_limit = 0;
	room = http_pipe_room(pipe);
	if (len > room) {
		pipe->writer_waits = true;
		len = room;
	}
	if (!len)
		return 0;
	if (pipe->end + len > pipe->capacity) {
		drop_read(pipe);
		if (!grow(pipe, pipe->end + len))
			return 0;
	}
	memcpy(pipe->data + pipe->end, data, len);
	pipe->end += len;
	notify_reader(pipe);
	return len;
}

void http_pipe_wait_room(http_pipe_t *pipe)
{
	pipe->writer_waits = true;
}

void http_pipe_close(http_pipe_t *pipe, int error)
{
	if (pipe->closed)
		return;
	pipe->closed = true;
	pipe->error = error;
	notify_reader(pipe);
}

size_t http_pipe_read(http_pipe_t *pipe, void *data, size_t max)
{
	size_t len = pipe->end - pipe->begin;

	if (len > max)
		len = max;
	if (!len) {
		pipe->reader_waits = !pipe->closed;
		return 0;
	}
	memcpy(data, pipe->data + pipe->begin, len);
	pipe->begin += len;
	if (!pipe->keep_limit && pipe->begin == pipe->end)
		drop_read(pipe);
	notify_writer(pipe);
	return len;
}

cas_str_t http_pipe_peek(const http_pipe_t *pipe)
{
	if (pipe->begin == pipe->end)
		return CAS_STR("");
	return (cas_str_t){ pipe->data + pipe->begin, pipe->end - pipe->begin };
}

bool http_pipe_is_closed(const http_pipe_t *pipe)
{
	return pipe->closed;
}

int http_pipe_error(const http_pipe_t *pipe)
{
	return pipe->error;
}

void http_pipe_keep(http_pipe_t *pipe, size_t limit)
{
	pipe->keep_limit = limit;
}

bool http_pipe_rewind(http_pipe_t *pipe)
{
	if (pipe->dropped || (!pipe->keep_limit && pipe->begin))
		return false;
	pipe->begin = 0;
	return true;
}

void http_pipe_on_data(http_pipe_t *pipe, http_pipe_hook_t hook, void *private)
{
	pipe->on_data = hook;
	pipe->data_private = private;
}

void http_pipe_on_room(http_pipe_t *pipe, http_pipe_hook_t hook, void *private)
{
	pipe->on_room = hook;
	pipe->room_private = private;
}
