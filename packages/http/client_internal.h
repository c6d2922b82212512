/* Shared parts of the HTTP client. */
#ifndef CASSIA_CLIENT_INTERNAL_H
#define CASSIA_CLIENT_INTERNAL_H

#include <curl/curl.h>

#include "cassia/timer.h"
#include "cassia/http_back.h"

#define BACK_IDLE_HANDLES 256

struct http_back {
	struct tevent_context *ev;
	http_back_settings_t settings;
	CURLM *multi;
	cas_timer_t *timer;
	struct tevent_immediate *act_soon;
	bool act_pending;
	http_call_t *calls;
	http_call_t *news; /* calls with something to tell, oldest first */
	http_call_t *last_news;
	unsigned int call_count;
	CURL *idle[BACK_IDLE_HANDLES];
	unsigned int idle_count;
};

struct http_call {
	http_call_t *next;
	http_call_t *prev;
	http_call_t *next_news;
	bool has_news;
	http_back_t *back;
	CURL *easy; /* NULL when the transfer is over */
	const http_call_ops_t *ops;
	void *private;
	bool (*may_send)(void *private);
	struct curl_slist *fields;
	http_pipe_t *request_body; /* NULL unless it is streamed */
	http_headers_t *headers;
	http_pipe_t *pipe;
	size_t header_bytes;
	int status;
	int64_t content_length;
	int64_t response_bytes;
	int sends;
	bool head_ready;
	bool head_given;
	bool too_large;
	bool expired;
	bool crossed;
	bool send_paused;
	bool receive_paused;
	bool resume;
};

/* client.c */
void back_act_soon(http_back_t *back);
void back_add_news(http_call_t *call);
void back_remove_news(http_call_t *call);

/* client_call.c */
void call_resume(http_call_t *call);
void call_give_head(http_call_t *call);
void call_finish(http_call_t *call, CURLcode code);

/* client_reply.c */
http_reply_t reply_of(const http_call_t *call);
size_t reply_on_header(char *data, size_t size, size_t count, void *cls);
size_t reply_on_body(char *data, size_t size, size_t count, void *cls);
http_result_t reply_result(const http_call_t *call, CURLcode code);

#endif
