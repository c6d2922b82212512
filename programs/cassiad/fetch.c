/*
 * Transfer of tables and host lists between daemons. The request carries a
 * signed context like an attempt, whose route is the id of the target; the
 * response carries a MAC over target and compressed text.
 */
#include "fetch.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "cassia/http_error.h"
#include "compressed_document.h"
#include "control.h"

/* Of a compressed document. The hash of a key hardly compresses: it keeps 32
 * bytes, and a configuration of 1 MiB can have 45,000 keys. */
#define DOCUMENT_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define FETCH_TIMEOUT_US (20 * CAS_USEC_PER_SEC)
/* Limit of the time without progress. */
#define FETCH_STALL_US (5 * CAS_USEC_PER_SEC)
/* A daemon that was killed, paused or cut off does not end a fetch. So another one
 * may start when none has brought bytes for this long; most take a few ms. */
#define FETCH_PATIENCE_US (400 * CAS_USEC_PER_MSEC)
#define FETCHES_MAX 8 /* of one document at a time */
#define SEED_PERIOD_US (200 * CAS_USEC_PER_MSEC) /* between two fetches */
#define MAC_HEADER "Cassia-Document-Mac"
/* Stands for a seed, whose id is unknown. No host list has this id. */
#define FETCH_SEED UINT64_MAX
/* Decimal id of the secret, a colon, the hexadecimal MAC and a terminator. */
#define MAC_TEXT_BYTES (12 + 2 * FLEET_MAC_BYTES)

/* A running fetch of one document; owned by the daemon. */
typedef struct fetch {
	cassiad_t *daemon;
	config_document_t document;
	cas_id_t host; /* that is asked, FETCH_SEED: a seed */
	http_call_t *call;
	cas_timer_t *stall_timer; /* ends a fetch without progress */
	http_body_t *body; /* of the response */
	char *compressed; /* received text, NULL: none yet */
	size_t compressed_len;
	int status; /* HTTP status of the response */
	char mac[MAC_TEXT_BYTES]; /* MAC field of the response */
} fetch_t;

static cas_str_t document_target(config_document_t document)
{
	return document == CONFIG_TABLE ? CAS_STR("/.cassia/table")
					: CAS_STR("/.cassia/hosts");
}

/* Writes the MAC field of a document. The MAC covers the target, so that one
 * document is not accepted for the other. Returns 0 or HTTP_EINVAL. */
static int sign_text(const cassiad_t *daemon, config_document_t document,
		     cas_str_t text, char mac_text[MAC_TEXT_BYTES])
{
	const cas_str_t target = document_target(document);
	const fleet_mac_part_t parts[] = { { target.ptr, target.len },
					   { text.ptr, text.len } };
	uint8_t mac[FLEET_MAC_BYTES];
	fleet_secrets_t secrets;
	uint32_t id;
	int prefix_len;

	control_derive_fleet_secrets(daemon->settings, &secrets);
	if (fleet_sign(&secrets, CAS_STR("document"), parts, 2, mac, &id))
		return HTTP_EINVAL;
	prefix_len = snprintf(mac_text, MAC_TEXT_BYTES, "%u:", id);
	sodium_bin2hex(mac_text + prefix_len,
		       MAC_TEXT_BYTES - (size_t)prefix_len, mac, sizeof(mac));
	return 0;
}

static bool verify_text(const cassiad_t *daemon, config_document_t document,
			cas_str_t text, const char *mac_text)
{
	const cas_str_t target = document_target(document);
	const fleet_mac_part_t parts[] = { { target.ptr, target.len },
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
	control_derive_fleet_secrets(daemon->settings, &secrets);
	return !fleet_verify(&secrets, CAS_STR("document"), parts, 2, mac,
			     (uint32_t)id);
}

/* Checks the signed context of a request. A request to a seed names no
 * receiver, because only the address of a seed is known. */
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

static void reply_with_document(cassiad_t *daemon, http_exchange_t *exchange,
				config_document_t document)
{
	http_headers_t *headers = http_headers_create(exchange);
	cas_str_t text = compressed_document_get(daemon, document);
	char mac[MAC_TEXT_BYTES];

	if (!text.len) {
		http_exchange_reply_text(exchange, 404, headers, text);
		return;
	}
	if (!headers || sign_text(daemon, document, text, mac) ||
	    http_headers_add_copy(headers, headers, MAC_HEADER,
				  cas_str_from_cstr(mac))) {
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

		if (!cas_str_equal(target, document_target(document)))
			continue;
		if (!is_signed(daemon, exchange, target))
			return false;
		reply_with_document(daemon, exchange, document);
		return true;
	}
	return false;
}

/* Appends the bytes that have arrived. Bytes beyond DOCUMENT_MAX_BYTES stay
 * unread, so a larger document is not accepted. */
static void read_available(fetch_t *fetch)
{
	cas_str_t available = http_body_peek(fetch->body);

	if (fetch->compressed_len + available.len > DOCUMENT_MAX_BYTES)
		return;
	fetch->compressed =
		talloc_realloc(fetch, fetch->compressed, char,
			       fetch->compressed_len + available.len + 1);
	if (!fetch->compressed)
		return;
	http_body_read(fetch->body, fetch->compressed + fetch->compressed_len,
		       available.len);
	fetch->compressed_len += available.len;
}

static void note_progress(fetch_t *fetch)
{
	cassiad_t *daemon = fetch->daemon;

	daemon->fetches[fetch->document].progress_us =
		cas_clock_now(daemon->clock);
	cas_timer_arm(fetch->stall_timer, FETCH_STALL_US);
}

static void on_data(void *private)
{
	fetch_t *fetch = private;
	char unused;

	note_progress(fetch);
	read_available(fetch);
	/* After a read that returns 0, the data callback is called again. */
	http_body_read(fetch->body, &unused, 0);
}

static void on_head(void *private, const http_reply_t *reply)
{
	fetch_t *fetch = private;
	cas_str_t mac = http_headers_value(reply->headers, CAS_STR(MAC_HEADER));

	fetch->status = reply->status;
	snprintf(fetch->mac, sizeof(fetch->mac), "%.*s", CAS_STR_ARG(mac));
	fetch->body = talloc_steal(fetch, reply->body);
	http_body_on_data(fetch->body, on_data, fetch);
	on_data(fetch);
}

/* Offers the received document to the store if its MAC is valid. */
static void verify_and_offer(fetch_t *fetch)
{
	cassiad_t *daemon = fetch->daemon;
	cas_str_t text;

	read_available(fetch);
	text = (cas_str_t){ fetch->compressed, fetch->compressed_len };
	if (!verify_text(daemon, fetch->document, text, fetch->mac)) {
		cas_log(CAS_LOG_WARN, "document_unsigned",
			CAS_LOG_STR("document",
				    document_target(fetch->document)));
		return;
	}
	text = compressed_document_expand(fetch, text);
	daemon->offering_host = fetch->host;
	if (text.len)
		config_store_offer(daemon->store, fetch->document, text);
	daemon->offering_host = 0;
}

static void on_done(void *private, const http_result_t *result)
{
	fetch_t *fetch = private;

	fetch->daemon->fetches[fetch->document].running--;
	if (!result->error && fetch->status == 200 && fetch->compressed)
		verify_and_offer(fetch);
	talloc_free(fetch);
}

static void on_stall(void *private)
{
	fetch_t *fetch = private;

	http_call_cancel(fetch->call);
	fetch->daemon->fetches[fetch->document].running--;
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

static bool may_start(const cassiad_t *daemon, config_document_t document)
{
	const fetch_state_t *state = &daemon->fetches[document];

	return !state->running ||
	       (state->running < FETCHES_MAX &&
		cas_clock_now(daemon->clock) - state->progress_us >=
			FETCH_PATIENCE_US);
}

/* Starts a fetch from an endpoint. receiver is 0 for a seed. Returns whether it was
 * started. */
static bool fetch_from(cassiad_t *daemon, config_document_t document,
		       cas_id_t receiver, const settings_endpoint_t *endpoint)
{
	cas_str_t target = document_target(document);
	fetch_t *fetch = talloc_zero(daemon, fetch_t);
	http_headers_t *headers = fetch ? http_headers_create(fetch) : NULL;
	fetch_state_t *state = &daemon->fetches[document];
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
	fetch->host = receiver ? receiver : FETCH_SEED;
	fetch->stall_timer =
		cas_timer_create(fetch, daemon->ev, on_stall, fetch);
	if (!fetch->stall_timer ||
	    add_context(daemon, headers, receiver, target))
		goto error;
	fetch->call =
		http_call_start(daemon->peer_client, &spec, &fetch_ops, fetch);
	if (!fetch->call)
		goto error;
	state->running++;
	note_progress(fetch);
	return true;

error:
	talloc_free(fetch);
	return false;
}

void fetch_start(cassiad_t *daemon, cas_id_t host, config_document_t document)
{
	const roster_host_t *entry =
		daemon->roster ? roster_find(daemon->roster, host) : NULL;

	if (entry && may_start(daemon, document))
		fetch_from(daemon, document, host,
			   &(settings_endpoint_t){ entry->address,
						   entry->peer_port });
}

void fetch_from_seed(cassiad_t *daemon)
{
	const settings_t *settings = daemon->settings;
	int64_t now = cas_clock_now(daemon->clock);
	const settings_endpoint_t *seed;
	bool started = false;

	if (!settings->seed_count || now < daemon->next_seed_fetch_us)
		return;
	/* Daemons that start together begin with different seeds. */
	if (!daemon->next_seed_fetch_us)
		daemon->next_seed = cas_rng_below(
			daemon->rng, (uint32_t)settings->seed_count);
	daemon->next_seed_fetch_us = now + SEED_PERIOD_US;
	seed = &settings->seeds[daemon->next_seed % settings->seed_count];
	if (!daemon->roster && may_start(daemon, CONFIG_HOSTS))
		started |= fetch_from(daemon, CONFIG_HOSTS, 0, seed);
	if (!daemon->table && may_start(daemon, CONFIG_TABLE))
		started |= fetch_from(daemon, CONFIG_TABLE, 0, seed);
	daemon->next_seed += started;
}
