/* HTTP client: libcurl's sockets and timer on tevent. */
#include "client_internal.h"

/* A socket of libcurl that is being waited for. */
typedef struct back_socket {
	http_back_t *back;
	curl_socket_t fd;
	struct tevent_fd *fde;
} back_socket_t;

static void back_finish_calls(http_back_t *back)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(back->multi, &left))) {
		http_call_t *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		call_finish(call, message->data.result);
	}
}

/* Callbacks of calls run here only, outside of libcurl's functions, so that
 * they may start and cancel calls. */
static void back_dispatch(http_back_t *back)
{
	back_finish_calls(back);
	while (back->news) {
		http_call_t *call = back->news;

		back_remove_news(call);
		if (call->resume)
			call_resume(call);
		else
			call_give_head(call);
	}
}

void back_add_news(http_call_t *call)
{
	http_back_t *back = call->back;

	if (call->has_news)
		return;
	call->has_news = true;
	call->next_news = NULL;
	if (back->last_news)
		back->last_news->next_news = call;
	else
		back->news = call;
	back->last_news = call;
}

void back_remove_news(http_call_t *call)
{
	http_back_t *back = call->back;
	http_call_t **link = &back->news;
	http_call_t *before = NULL;

	if (!call->has_news)
		return;
	while (*link != call) {
		before = *link;
		link = &before->next_news;
	}
	*link = call->next_news;
	if (back->last_news == call)
		back->last_news = before;
	call->has_news = false;
}

static void back_act(http_back_t *back, curl_socket_t fd, int mask)
{
	int running;

	curl_multi_socket_action(back->multi, fd, mask, &running);
	back_dispatch(back);
}

static void on_soon(struct tevent_context *ev, struct tevent_immediate *im,
		    void *private)
{
	http_back_t *back = private;

	(void)ev;
	(void)im;
	back->act_pending = false;
	back_act(back, CURL_SOCKET_TIMEOUT, 0);
}

void back_act_soon(http_back_t *back)
{
	if (back->act_pending)
		return;
	back->act_pending = true;
	tevent_schedule_immediate(back->act_soon, back->ev, on_soon, back);
}

static void on_timer(void *private)
{
	back_act(private, CURL_SOCKET_TIMEOUT, 0);
}

static int set_timer(CURLM *multi, long wait_ms, void *cls)
{
	http_back_t *back = cls;

	(void)multi;
	if (wait_ms == 0)
		back_act_soon(back);
	if (wait_ms > 0)
		cas_timer_arm(back->timer, wait_ms * CAS_USEC_PER_MSEC);
	else
		cas_timer_disarm(back->timer);
	return 0;
}

static void on_socket_ready(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private)
{
	back_socket_t *socket = private;
	int mask = 0;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	back_act(socket->back, socket->fd, mask);
}

static int add_socket(http_back_t *back, curl_socket_t fd, uint16_t flags)
{
	back_socket_t *socket = talloc(back, back_socket_t);

	if (!socket)
		return -1;
	socket->back = back;
	socket->fd = fd;
	socket->fde = tevent_add_fd(back->ev, socket, fd, flags,
				    on_socket_ready, socket);
	if (!socket->fde) {
		talloc_free(socket);
		return -1;
	}
	curl_multi_assign(back->multi, fd, socket);
	return 0;
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *cls,
		      void *assigned)
{
	back_socket_t *socket = assigned;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		talloc_free(socket);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!socket)
		return add_socket(cls, fd, flags);
	tevent_fd_set_flags(socket->fde, flags);
	return 0;
}

static int back_destroy(http_back_t *back)
{
	while (back->calls)
		http_call_cancel(back->calls);
	while (back->idle_count)
		curl_easy_cleanup(back->idle[--back->idle_count]);
	if (back->multi)
		curl_multi_cleanup(back->multi);
	return 0;
}

http_back_t *http_back_create(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const http_back_settings_t *settings)
{
	http_back_t *back = talloc_zero(ctx, http_back_t);

	if (!back)
		return NULL;
	back->ev = ev;
	back->settings = *settings;
	back->act_soon = tevent_create_immediate(back);
	back->timer = cas_timer_create(back, ev, on_timer, back);
	back->multi = curl_multi_init();
	talloc_set_destructor(back, back_destroy);
	if (!back->act_soon || !back->timer || !back->multi) {
		talloc_free(back);
		return NULL;
	}
	curl_multi_setopt(back->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(back->multi, CURLMOPT_SOCKETDATA, back);
	curl_multi_setopt(back->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(back->multi, CURLMOPT_TIMERDATA, back);
	curl_multi_setopt(back->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(back->multi, CURLMOPT_MAXCONNECTS,
			  settings->connections_max);
	curl_multi_setopt(back->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  settings->connections_per_destination);
	return back;
}

unsigned int http_back_calls(const http_back_t *back)
{
	return back->call_count;
}
