/* HTTP client: creation, and the callbacks of calls. */
#include "client_internal.h"

static void on_transfer_finished(void *private, CURL *easy, CURLcode code)
{
	client_handle_t *handle = NULL;

	(void)private;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&handle);
	call_finish(handle->call, code);
}

/* The head and done callbacks are called only from here, outside of libcurl's
 * functions, so that they may start and cancel calls. */
static void on_handled(void *private)
{
	http_client_t *client = private;

	while (client->pending) {
		http_call_t *call = client->pending;

		client_remove_pending(call);
		if (call->resume_pending)
			call_resume(call);
		else
			call_deliver_head(call);
	}
}

void client_add_pending(http_call_t *call)
{
	http_client_t *client = call->client;

	if (call->is_pending)
		return;
	call->is_pending = true;
	call->next_pending = NULL;
	if (client->last_pending)
		client->last_pending->next_pending = call;
	else
		client->pending = call;
	client->last_pending = call;
}

void client_remove_pending(http_call_t *call)
{
	http_client_t *client = call->client;
	http_call_t **link = &client->pending;
	http_call_t *previous = NULL;

	if (!call->is_pending)
		return;
	while (*link != call) {
		previous = *link;
		link = &previous->next_pending;
	}
	*link = call->next_pending;
	if (client->last_pending == call)
		client->last_pending = previous;
	call->is_pending = false;
}

static const transfer_loop_ops_t transfer_ops = {
	.finished = on_transfer_finished,
	.handled = on_handled,
};

static int client_destroy(http_client_t *client)
{
	while (client->calls)
		http_call_cancel(client->calls);
	while (client->idle_handle_count)
		talloc_free(client->idle_handles[--client->idle_handle_count]);
	/* Closes the connections, which are in the tables. */
	TALLOC_FREE(client->transfers);
	client_conn_destroy(client);
	return 0;
}

http_client_t *http_client_create(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const http_client_settings_t *settings)
{
	http_client_t *client = talloc_zero(ctx, http_client_t);
	CURLM *multi;

	if (!client)
		return NULL;
	client->settings = *settings;
	client->transfers =
		transfer_loop_create(client, ev, &transfer_ops, client);
	talloc_set_destructor(client, client_destroy);
	if (!client_conn_init(client) || !client->transfers) {
		talloc_free(client);
		return NULL;
	}
	multi = transfer_loop_multi(client->transfers);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
			  settings->connections_max);
	curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  settings->connections_per_destination);
	return client;
}

unsigned int http_client_calls(const http_client_t *client)
{
	return client->call_count;
}
