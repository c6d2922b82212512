/*
 * Tables and host lists between daemons. The request is signed like an
 * attempt, with a route of its own.
 */
#include "fetch.h"

#include "cassia/http_error.h"

#define DOCUMENT_MAX_BYTES ((size_t)2 * 1024 * 1024)
#define FETCH_TIMEOUT_US (5 * CAS_USEC_PER_SEC)

typedef struct fetch {
	cassiad_t *daemon;
	config_document_t document;
	http_call_t *call;
	http_pipe_t *pipe;
	char *text;
	size_t len;
	int status;
} fetch_t;

static cas_str_t target_of(config_document_t document)
{
	return document == CONFIG_TABLE ? CAS_STR("/.cassia/table")
					: CAS_STR("/.cassia/hosts");
}

static cas_str_t held_text(const cassiad_t *daemon, config_document_t document)
{
	const table_t *table = config_store_table(daemon->store);
	const roster_t *roster = config_store_roster(daemon->store);

	if (document == CONFIG_TABLE)
		return table ? table->source : CAS_STR("");
	return roster ? roster->source : CAS_STR("");
}

static bool is_signed(const cassiad_t *daemon, const http_exchange_t *exchange,
		      cas_str_t target)
{
	cas_str_t text = http_headers_value(http_exchange_headers(exchange),
					    CAS_STR("Cassia-Context"));
	attempt_received_t received;

	return attempt_read_context(&daemon->secrets, text, &received) == 0 &&
	       received.context.receiver == daemon->settings->host_id &&
	       received.context.route == cas_id_of(target);
}

bool fetch_answer(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t target = http_exchange_target(exchange);

	for (int i = 0; i < CONFIG_DOCUMENT_COUNT; i++) {
		config_document_t document = (config_document_t)i;
		cas_str_t text = held_text(daemon, document);

		if (!cas_str_equal(target, target_of(document)))
			continue;
		if (!is_signed(daemon, exchange, target))
			return false;
		http_exchange_reply_text(exchange, text.len ? 200 : 404, NULL,
					 text);
		return true;
	}
	return false;
}

static void append(fetch_t *fetch)
{
	cas_str_t part = http_pipe_peek(fetch->pipe);

	if (fetch->len + part.len > DOCUMENT_MAX_BYTES)
		return;
	fetch->text = talloc_realloc(fetch, fetch->text, char,
				     fetch->len + part.len + 1);
	if (!fetch->text)
		return;
	http_pipe_read(fetch->pipe, fetch->text + fetch->len, part.len);
	fetch->len += part.len;
}

static void on_data(void *private)
{
	fetch_t *fetch = private;
	char none;

	append(fetch);
	/* Asks for the next call of this hook. */
	http_pipe_read(fetch->pipe, &none, 0);
}

static void on_head(void *private, const http_reply_t *reply)
{
	fetch_t *fetch = private;

	fetch->status = reply->status;
	fetch->pipe = talloc_steal(fetch, reply->body);
	http_pipe_on_data(fetch->pipe, on_data, fetch);
	on_data(fetch);
}

static void on_done(void *private, const http_result_t *result)
{
	fetch_t *fetch = private;
	cassiad_t *daemon = fetch->daemon;

	daemon->fetches[fetch->document] = false;
	if (!result->error && fetch->status == 200 && fetch->text) {
		append(fetch);
		config_store_offer(daemon->store, fetch->document,
				   (cas_str_t){ fetch->text, fetch->len });
	}
	talloc_free(fetch);
}

static const http_call_ops_t fetch_ops = { .head = on_head, .done = on_done };

static int add_context(cassiad_t *daemon, http_headers_t *headers,
		       cas_id_t host, cas_str_t target)
{
	const attempt_context context = {
		.sender = daemon->settings->host_id,
		.receiver = host,
		.route = cas_id_of(target),
	};
	cas_str_t text =
		attempt_sign_context(headers, &daemon->secrets, &context);

	if (!text.ptr)
		return HTTP_ENOMEM;
	return http_headers_add(headers, CAS_STR("Cassia-Context"), text);
}

static void send_fetch(fetch_t *fetch, const roster_host_t *host)
{
	cas_str_t target = target_of(fetch->document);
	http_headers_t *headers = http_headers_create(fetch);
	const http_call_spec_t spec = {
		.address = host->address,
		.port = host->peer_port,
		.method = CAS_STR("GET"),
		.target = target,
		.headers = headers,
		.timeout_us = FETCH_TIMEOUT_US,
		.connect_timeout_us = CAS_USEC_PER_SEC,
	};

	if (headers && !add_context(fetch->daemon, headers, host->id, target))
		fetch->call = http_call_start(fetch->daemon->back, &spec,
					      &fetch_ops, fetch);
	if (!fetch->call)
		talloc_free(fetch);
	else
		fetch->daemon->fetches[fetch->document] = true;
}

void fetch_start(cassiad_t *daemon, cas_id_t host, config_document_t document)
{
	const roster_host_t *entry =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;
	fetch_t *fetch;

	if (!entry || daemon->fetches[document])
		return;
	fetch = talloc_zero(daemon, fetch_t);
	if (!fetch)
		return;
	fetch->daemon = daemon;
	fetch->document = document;
	send_fetch(fetch, entry);
}
