/*
 * Tables and host lists between daemons. The request is signed like an
 * attempt, with a route of its own.
 */
#include "fetch.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "cassia/http_error.h"
#include "control.h"
#include "compressed_document.h"

#define DOCUMENT_MAX_BYTES ((size_t)2 * 1024 * 1024)
#define FETCH_TIMEOUT_US (5 * CAS_USEC_PER_SEC)
#define SEED_PERIOD_US (200 * CAS_USEC_PER_MSEC)
/* The decimal id of the secret, a colon and the hexadecimal MAC. */
#define MAC_HEADER CAS_STR("Cassia-Document-Mac")
#define MAC_TEXT_BYTES (12 + 2 * FLEET_MAC_BYTES)

typedef struct fetch {
	cassiad_t *daemon;
	config_document_t document;
	http_call_t *call;
	http_pipe_t *pipe;
	char *text; /* compressed */
	size_t len;
	int status;
	char mac[MAC_TEXT_BYTES]; /* of the text, as the peer signed it */
} fetch_t;

static cas_str_t target_of(config_document_t document)
{
	return document == CONFIG_TABLE ? CAS_STR("/.cassia/table")
					: CAS_STR("/.cassia/hosts");
}

static int sign_text(const cassiad_t *daemon, config_document_t document,
		     cas_str_t text, char mac_text[MAC_TEXT_BYTES])
{
	const cas_str_t target = target_of(document);
	const fleet_part_t parts[] = { { target.ptr, target.len },
				       { text.ptr, text.len } };
	uint8_t mac[FLEET_MAC_BYTES];
	fleet_secrets_t secrets;
	uint32_t id;
	int used;

	control_fleet_secrets(daemon->settings, &secrets);
	if (fleet_sign(&secrets, CAS_STR("document"), parts, 2, mac, &id))
		return HTTP_EINVAL;
	used = snprintf(mac_text, MAC_TEXT_BYTES, "%u:", id);
	sodium_bin2hex(mac_text + used, MAC_TEXT_BYTES - (size_t)used, mac,
		       sizeof(mac));
	return 0;
}

static bool verify_text(const cassiad_t *daemon, config_document_t document,
			cas_str_t text, const char *mac_text)
{
	const cas_str_t target = target_of(document);
	const fleet_part_t parts[] = { { target.ptr, target.len },
				       { text.ptr, text.len } };
	uint8_t mac[FLEET_MAC_BYTES];
	fleet_secrets_t secrets;
	char *hex = NULL;
	unsigned long id = strtoul(mac_text, &hex, 10);
	size_t len = 0;

	if (*hex != ':' ||
	    sodium_hex2bin(mac, sizeof(mac), hex + 1, strlen(hex + 1), NULL,
			   &len, NULL) ||
	    len != sizeof(mac))
		return false;
	control_fleet_secrets(daemon->settings, &secrets);
	return !fleet_verify(&secrets, CAS_STR("document"), parts, 2, mac,
			     (uint32_t)id);
}

/* A seed is asked by its address, so its request names no receiver. */
static bool is_signed(const cassiad_t *daemon, const http_exchange_t *exchange,
		      cas_str_t target)
{
	cas_str_t text = http_headers_value(http_exchange_headers(exchange),
					    CAS_STR("Cassia-Context"));
	attempt_received_t received;

	return attempt_read_context(&daemon->secrets, text, &received) == 0 &&
	       (received.context.receiver == daemon->settings->host_id ||
		received.context.receiver == 0) &&
	       received.context.route == cas_id_of(target);
}

static void answer(cassiad_t *daemon, http_exchange_t *exchange,
		   config_document_t document)
{
	http_headers_t *headers = http_headers_create(exchange);
	cas_str_t text = pack_held(daemon, document);
	char mac[MAC_TEXT_BYTES];

	if (!text.len) {
		http_exchange_reply_text(exchange, 404, headers, text);
		return;
	}
	if (!headers || sign_text(daemon, document, text, mac) ||
	    http_headers_add(headers, MAC_HEADER, cas_str_from(mac))) {
		http_exchange_reply_text(exchange, 500, NULL, CAS_STR(""));
		return;
	}
	http_exchange_reply_text(exchange, 200, headers, text);
}

bool fetch_answer(cassiad_t *daemon, http_exchange_t *exchange)
{
	cas_str_t target = http_exchange_target(exchange);

	for (int i = 0; i < CONFIG_DOCUMENT_COUNT; i++) {
		config_document_t document = (config_document_t)i;

		if (!cas_str_equal(target, target_of(document)))
			continue;
		if (!is_signed(daemon, exchange, target))
			return false;
		answer(daemon, exchange, document);
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
	cas_str_t mac = http_headers_value(reply->headers, MAC_HEADER);

	fetch->status = reply->status;
	snprintf(fetch->mac, sizeof(fetch->mac), "%.*s", CAS_STR_ARG(mac));
	fetch->pipe = talloc_steal(fetch, reply->body);
	http_pipe_on_data(fetch->pipe, on_data, fetch);
	on_data(fetch);
}

static void accept_text(fetch_t *fetch)
{
	cassiad_t *daemon = fetch->daemon;
	cas_str_t text;

	append(fetch);
	text = (cas_str_t){ fetch->text, fetch->len };
	if (!verify_text(daemon, fetch->document, text, fetch->mac)) {
		cas_log(CAS_LOG_WARN, "document_unsigned",
			CAS_LOG_STR("document", target_of(fetch->document)));
		return;
	}
	text = pack_open(fetch, text);
	if (text.len)
		config_store_offer(daemon->store, fetch->document, text);
}

static void on_done(void *private, const http_result_t *result)
{
	fetch_t *fetch = private;

	fetch->daemon->fetches[fetch->document] = false;
	if (!result->error && fetch->status == 200 && fetch->text)
		accept_text(fetch);
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

static void fetch_from(cassiad_t *daemon, config_document_t document,
		       cas_id_t receiver, const settings_endpoint_t *endpoint)
{
	cas_str_t target = target_of(document);
	fetch_t *fetch = talloc_zero(daemon, fetch_t);
	http_headers_t *headers = fetch ? http_headers_create(fetch) : NULL;
	const http_call_spec_t spec = {
		.address = endpoint->address,
		.port = endpoint->port,
		.method = CAS_STR("GET"),
		.target = target,
		.headers = headers,
		.timeout_us = FETCH_TIMEOUT_US,
		.connect_timeout_us = CAS_USEC_PER_SEC,
	};

	if (!headers)
		goto error;
	fetch->daemon = daemon;
	fetch->document = document;
	if (add_context(daemon, headers, receiver, target))
		goto error;
	fetch->call = http_call_start(daemon->back, &spec, &fetch_ops, fetch);
	if (!fetch->call)
		goto error;
	daemon->fetches[document] = true;
	return;

error:
	talloc_free(fetch);
}

void fetch_start(cassiad_t *daemon, cas_id_t host, config_document_t document)
{
	const roster_host_t *entry =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;

	if (entry && !daemon->fetches[document])
		fetch_from(daemon, document, host,
			   &(settings_endpoint_t){ entry->address,
						   entry->peer_port });
}

void fetch_from_seed(cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;
	int64_t now = cas_clock_now(daemon->clock);
	uint32_t index;

	if (!settings->seed_count || now < daemon->next_seed_us)
		return;
	daemon->next_seed_us = now + SEED_PERIOD_US;
	index = cas_rng_below(daemon->rng, (uint32_t)settings->seed_count);
	if (!daemon->roster && !daemon->fetches[CONFIG_HOSTS])
		fetch_from(daemon, CONFIG_HOSTS, 0, &settings->seeds[index]);
	if (!daemon->table && !daemon->fetches[CONFIG_TABLE])
		fetch_from(daemon, CONFIG_TABLE, 0, &settings->seeds[index]);
}
