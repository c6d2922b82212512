/* Body buffer: one contiguous allocation that grows up to its limit. */
#include "cassia/http_body.h"

#include "cassia/http_error.h"

#define INITIAL_BYTES 4096

struct http_body {
	char *data;
	size_t capacity; /* allocated bytes */
	size_t limit; /* maximum capacity */
	size_t read_pos; /* first unread byte */
	size_t write_pos; /* end of the buffered bytes */
	/* Bytes that were read are retained while the body is no longer than
	 * this; 0: they may be discarded. */
	size_t retain_limit;
	bool discarded; /* the first bytes of the body were discarded */
	bool closed; /* the writer has ended the body */
	bool reader_waiting; /* on_data is to be called */
	bool writer_waiting; /* on_space is to be called */
	int error; /* given when the body was closed */
	http_body_callback_t on_data;
	void *data_private;
	http_body_callback_t on_space;
	void *space_private;
};

http_body_t *http_body_create(TALLOC_CTX *ctx, size_t limit)
{
	http_body_t *body = talloc_zero(ctx, http_body_t);

	if (body)
		body->limit = limit;
	return body;
}

/* Discards the bytes that were read, unless they are retained. */
static void discard_read(http_body_t *body)
{
	if (body->retain_limit || !body->read_pos)
		return;
	memmove(body->data, body->data + body->read_pos,
		body->write_pos - body->read_pos);
	body->write_pos -= body->read_pos;
	body->read_pos = 0;
	body->discarded = true;
}

/* Grows the buffer to wanted bytes, at most to its limit. Returns false when
 * memory runs out. */
static bool reserve(http_body_t *body, size_t wanted)
{
	size_t capacity = body->capacity ? body->capacity : INITIAL_BYTES;
	char *data;

	while (capacity < wanted)
		capacity *= 2;
	if (capacity > body->limit)
		capacity = body->limit;
	if (capacity == body->capacity)
		return true;
	data = talloc_realloc_size(body, body->data, capacity);
	if (!data)
		return false;
	body->data = data;
	body->capacity = capacity;
	return true;
}

size_t http_body_space(http_body_t *body)
{
	size_t used = body->retain_limit ? body->write_pos
					 : body->write_pos - body->read_pos;

	return body->closed ? 0 : body->limit - used;
}

static void notify_reader(http_body_t *body)
{
	if (!body->reader_waiting || !body->on_data)
		return;
	body->reader_waiting = false;
	body->on_data(body->data_private);
}

static void notify_writer(http_body_t *body)
{
	if (!body->writer_waiting || !body->on_space ||
	    http_body_space(body) < body->limit / 2)
		return;
	body->writer_waiting = false;
	body->on_space(body->space_private);
}

size_t http_body_write(http_body_t *body, const void *data, size_t len)
{
	size_t space;

	if (body->retain_limit && body->write_pos + len > body->retain_limit)
		body->retain_limit = 0;
	space = http_body_space(body);
	if (len > space) {
		body->writer_waiting = true;
		len = space;
	}
	if (!len)
		return 0;
	if (body->write_pos + len > body->capacity) {
		discard_read(body);
		if (!reserve(body, body->write_pos + len))
			return 0;
	}
	memcpy(body->data + body->write_pos, data, len);
	body->write_pos += len;
	notify_reader(body);
	return len;
}

void http_body_wait_space(http_body_t *body)
{
	body->writer_waiting = true;
}

void http_body_close(http_body_t *body, int error)
{
	if (body->closed)
		return;
	body->closed = true;
	body->error = error;
	notify_reader(body);
}

size_t http_body_read(http_body_t *body, void *data, size_t max)
{
	size_t len = body->write_pos - body->read_pos;

	if (len > max)
		len = max;
	if (!len) {
		body->reader_waiting = !body->closed;
		return 0;
	}
	memcpy(data, body->data + body->read_pos, len);
	body->read_pos += len;
	if (!body->retain_limit && body->read_pos == body->write_pos)
		discard_read(body);
	notify_writer(body);
	return len;
}

cas_str_t http_body_peek(const http_body_t *body)
{
	if (body->read_pos == body->write_pos)
		return CAS_STR("");
	return (cas_str_t){ body->data + body->read_pos,
			    body->write_pos - body->read_pos };
}

bool http_body_is_closed(const http_body_t *body)
{
	return body->closed;
}

int http_body_error(const http_body_t *body)
{
	return body->error;
}

void http_body_retain(http_body_t *body, size_t limit)
{
	body->retain_limit = limit;
}

bool http_body_rewind(http_body_t *body)
{
	if (body->discarded || (!body->retain_limit && body->read_pos))
		return false;
	body->read_pos = 0;
	return true;
}

void http_body_on_data(http_body_t *body, http_body_callback_t callback,
		       void *private)
{
	body->on_data = callback;
	body->data_private = private;
}

void http_body_on_space(http_body_t *body, http_body_callback_t callback,
			void *private)
{
	body->on_space = callback;
	body->space_private = private;
}
