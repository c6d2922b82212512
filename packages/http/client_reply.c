/* HTTP client: receives the response of a call and determines its result. */
#include "client_internal.h"

#include <errno.h>
#include <string.h>

#include "cassia/http_error.h"
#include "reply_head_internal.h"

/* Limit on the header of a response, 1xx responses and trailer fields included.
 * libcurl 7.88 itself stores any number of trailer fields. */
#define REPLY_HEADER_MAX_BYTES ((size_t)64 * 1024)

/* Removes the end of a line. */
static cas_str_t without_line_end(cas_str_t line)
{
	while (line.len && strchr("\r\n", line.ptr[line.len - 1]))
		line.len--;
	return line;
}

/* Parses a status line, which starts a new head: earlier ones belonged to 1xx
 * responses. */
static int parse_status(http_call_t *call, cas_str_t line)
{
	call->reply_headers->count = 0;
	call->content_length = -1;
	return reply_head_read_status(line, &call->status) ? 0 : HTTP_EPROTO;
}

static int parse_field(http_call_t *call, cas_str_t line)
{
	cas_str_t name;
	cas_str_t value;

	line = cas_str_dup(call->reply_headers, line);
	if (!line.ptr)
		return HTTP_ENOMEM;
	if (!reply_head_read_field(line, &name, &value))
		return HTTP_EPROTO;
	return http_headers_add(call->reply_headers, name, value);
}

http_reply_t call_reply(const http_call_t *call)
{
	return (http_reply_t){
		.status = call->status,
		.headers = call->reply_headers,
		.content_length = call->content_length,
		.body = call->reply_body,
	};
}

/* Returns whether the head received belongs to the request of the call. */
static bool is_matching_response(const http_call_t *call)
{
	const http_reply_t reply = call_reply(call);

	return !call->ops || !call->ops->matches_request ||
	       call->ops->matches_request(call->private, &reply);
}

/* Called at the end of a head. An invalid head, and a response to another
 * request, are rejected here, because a failure makes libcurl close the
 * connection, whereas it keeps the connection for reuse once it has received the
 * complete response. */
static int finish_head(http_call_t *call)
{
	if (call->status < 200)
		return 0;
	if (!reply_head_read_length(call->reply_headers, &call->content_length))
		return HTTP_EPROTO;
	if (http_headers_find(call->reply_headers,
			      CAS_STR("Transfer-Encoding")))
		call->content_length = -1;
	if (!is_matching_response(call)) {
		call->crossed = true;
		return HTTP_ECROSSED;
	}
	call->head_ready = true;
	client_add_pending(call);
	return 0;
}

size_t reply_on_header(char *data, size_t size, size_t count, void *cls)
{
	client_handle_t *handle = cls;
	http_call_t *call = handle->call;
	cas_str_t line = without_line_end((cas_str_t){ data, size * count });
	int error = 0;

	call->reply_header_bytes += size * count;
	if (call->reply_header_bytes > REPLY_HEADER_MAX_BYTES) {
		call->header_too_large = true;
		return 0;
	}
	/* Trailer fields, which follow the body, are discarded. */
	if (call->head_ready)
		return size * count;
	if (!line.len)
		error = finish_head(call);
	else if (cas_str_starts_with(line, CAS_STR("HTTP/")))
		error = parse_status(call, line);
	else
		error = parse_field(call, line);
	if (error == HTTP_EPROTO)
		call->head_invalid = true;
	return error ? 0 : size * count;
}

size_t reply_on_body(char *data, size_t size, size_t count, void *cls)
{
	client_handle_t *handle = cls;
	http_call_t *call = handle->call;
	size_t len = size * count;

	if (http_body_space(call->reply_body) < len) {
		http_body_wait_space(call->reply_body);
		call->receive_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	call->response_bytes += (int64_t)len;
	return http_body_write(call->reply_body, data, len);
}

static int result_error(const http_call_t *call, CURLcode code)
{
	if (call->send_refused)
		return HTTP_EEXPIRED;
	if (call->header_too_large)
		return HTTP_ETOOLARGE;
	if (call->head_invalid)
		return HTTP_EPROTO;
	if (call->crossed)
		return HTTP_ECROSSED;
	switch (code) {
	case CURLE_OK:
		return call->head_ready ? 0 : HTTP_EPROTO;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_INTERFACE_FAILED:
		return HTTP_ECONNECT;
	case CURLE_OPERATION_TIMEDOUT:
		return call->send_count ? HTTP_ETIMEOUT : HTTP_ECONNECT;
	case CURLE_OUT_OF_MEMORY:
		return HTTP_ENOMEM;
	case CURLE_GOT_NOTHING:
	case CURLE_SEND_ERROR:
	case CURLE_ABORTED_BY_CALLBACK:
		return HTTP_ERESET;
	case CURLE_RECV_ERROR:
	case CURLE_PARTIAL_FILE:
		return call->head_ready ? HTTP_ETRUNCATED : HTTP_ERESET;
	default:
		return HTTP_EPROTO;
	}
}

bool http_call_is_first_on_connection(const http_call_t *call)
{
	long connections_opened = 0;

	curl_easy_getinfo(call->handle->easy, CURLINFO_NUM_CONNECTS,
			  &connections_opened);
	return connections_opened > 0;
}

void http_call_close_connection(http_call_t *call)
{
	curl_easy_setopt(call->handle->easy, CURLOPT_FORBID_REUSE, 1L);
}

/* Returns the number of bytes sent: request line, header and body. */
static int64_t request_bytes(const http_call_t *call)
{
	curl_off_t body = 0;
	long head = 0;

	curl_easy_getinfo(call->handle->easy, CURLINFO_REQUEST_SIZE, &head);
	curl_easy_getinfo(call->handle->easy, CURLINFO_SIZE_UPLOAD_T, &body);
	return (int64_t)head + body;
}

http_result_t call_result(const http_call_t *call, CURLcode code)
{
	long os_errno = 0;

	curl_easy_getinfo(call->handle->easy, CURLINFO_OS_ERRNO, &os_errno);
	return (http_result_t){
		.error = result_error(call, code),
		.sent = call->send_count > 0,
		.timed_out = code == CURLE_OPERATION_TIMEDOUT,
		.ack_timed_out = code != CURLE_OK && os_errno == ETIMEDOUT,
		.request_bytes = request_bytes(call),
		.response_bytes = call->response_bytes,
	};
}
