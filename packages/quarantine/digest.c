/* Digests of requests. */
#include "cassia/quarantine.h"

#include <sodium.h>
#include <string.h>

/* Lengths separate the parts, so that no two requests have the same input. */
static void add_number(crypto_generichash_state *state, int64_t number)
{
	uint8_t bytes[sizeof(number)];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)((uint64_t)number >> (8 * i));
	crypto_generichash_update(state, bytes, sizeof(bytes));
}

static void add_text(crypto_generichash_state *state, cas_str_t text)
{
	add_number(state, (int64_t)text.len);
	crypto_generichash_update(state, (const uint8_t *)text.ptr, text.len);
}

quarantine_digest_t quarantine_digest(const uint8_t key[QUARANTINE_KEY_BYTES],
				      const quarantine_request_t *request)
{
	uint8_t hash[crypto_generichash_BYTES_MIN];
	quarantine_digest_t digest = 0;
	cas_str_t body = request->body;
	crypto_generichash_state state;

	if (body.len > QUARANTINE_BODY_BYTES)
		body.len = QUARANTINE_BODY_BYTES;
	crypto_generichash_init(&state, key, QUARANTINE_KEY_BYTES,
				sizeof(hash));
	add_number(&state, (int64_t)request->customer);
	add_text(&state, request->method);
	add_text(&state, request->target);
	add_text(&state, body);
	add_number(&state, request->body_bytes);
	crypto_generichash_final(&state, hash, sizeof(hash));
	memcpy(&digest, hash, sizeof(digest));
	return digest ? digest : 1;
}
