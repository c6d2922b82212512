/*
 * Signed contexts and outcomes: the XDR encoding, followed by a keyed BLAKE2b
 * MAC, in base64. Also the random identifiers.
 */
#include "cassia/attempt.h"

#include <sodium.h>
#include <string.h>

#define MAC_BYTES 16
/* Random bytes are fetched from the kernel in blocks of this size. */
#define ID_POOL_BYTES (256 * ATTEMPT_ID_BYTES)
/* Largest structure with its MAC, before base64. */
#define BINARY_MAX_BYTES 1024
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

/* Domain separation: part of the MAC input, so that a signed outcome is not
 * accepted as a context or vice versa. */
static const uint8_t domain_context = 'C';
static const uint8_t domain_outcome = 'O';
/* Key of the hash that derives a key from a secret, so that the same secret
 * yields other keys for other uses. */
static const uint8_t key_label[] = "cassia-attempt";

/* An XDR encoding, with or without its MAC. */
typedef struct binary {
	uint8_t bytes[BINARY_MAX_BYTES];
	size_t len;
} binary_t;

void attempt_secrets_add(attempt_secrets_t *secrets, const uint8_t *bytes,
			 size_t len)
{
	if (secrets->count == ATTEMPT_SECRETS_MAX)
		return;
	crypto_generichash(secrets->keys[secrets->count++], ATTEMPT_KEY_BYTES,
			   bytes, len, key_label, sizeof(key_label));
}

/* Writes MAC_BYTES to mac. */
static void compute_mac(uint8_t *mac, const uint8_t *key, uint8_t domain,
			const uint8_t *bytes, size_t len)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, key, ATTEMPT_KEY_BYTES, MAC_BYTES);
	crypto_generichash_update(&state, &domain, 1);
	crypto_generichash_update(&state, bytes, len);
	crypto_generichash_final(&state, mac, MAC_BYTES);
}

/* Appends the MAC and returns the base64 text (owned by ctx); ptr is NULL on
 * error. */
static cas_str_t sign_binary(TALLOC_CTX *ctx, const attempt_secrets_t *secrets,
			     uint8_t domain, binary_t *binary)
{
	size_t text_len;
	char *text;

	if (!secrets->count || binary->len + MAC_BYTES > BINARY_MAX_BYTES)
		return (cas_str_t){ NULL, 0 };
	compute_mac(binary->bytes + binary->len, secrets->keys[0], domain,
		    binary->bytes, binary->len);
	binary->len += MAC_BYTES;
	text_len = sodium_base64_encoded_len(binary->len, BASE64_VARIANT);
	text = talloc_array(ctx, char, text_len);
	if (!text)
		return (cas_str_t){ NULL, 0 };
	sodium_bin2base64(text, text_len, binary->bytes, binary->len,
			  BASE64_VARIANT);
	return (cas_str_t){ text, text_len - 1 };
}

/* Decodes a base64 text and verifies its MAC with each key. binary then holds
 * the XDR encoding without the MAC. Returns 0, ATTEMPT_EFORMAT or
 * ATTEMPT_ESIGNATURE. */
static int verify_text(const attempt_secrets_t *secrets, uint8_t domain,
		       cas_str_t text, binary_t *binary)
{
	uint8_t mac[MAC_BYTES];

	if (sodium_base642bin(binary->bytes, BINARY_MAX_BYTES, text.ptr,
			      text.len, NULL, &binary->len, NULL,
			      BASE64_VARIANT) ||
	    binary->len < MAC_BYTES)
		return ATTEMPT_EFORMAT;
	binary->len -= MAC_BYTES;
	for (size_t i = 0; i < secrets->count; i++) {
		compute_mac(mac, secrets->keys[i], domain, binary->bytes,
			    binary->len);
		if (sodium_memcmp(mac, binary->bytes + binary->len,
				  MAC_BYTES) == 0)
			return 0;
	}
	return ATTEMPT_ESIGNATURE;
}

/* Encodes a structure with its XDR routine and signs it for the domain. ptr of
 * the result is NULL on error. */
static cas_str_t encode_and_sign(TALLOC_CTX *ctx,
				 const attempt_secrets_t *secrets,
				 uint8_t domain, xdrproc_t xdr_routine,
				 void *value)
{
	binary_t binary;
	XDR xdr;

	xdrmem_create(&xdr, (char *)binary.bytes, BINARY_MAX_BYTES, XDR_ENCODE);
	if (!xdr_routine(&xdr, value))
		return (cas_str_t){ NULL, 0 };
	binary.len = xdr_getpos(&xdr);
	return sign_binary(ctx, secrets, domain, &binary);
}

cas_str_t attempt_sign_context(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_context *context)
{
	attempt_context copy = *context;

	return encode_and_sign(ctx, secrets, domain_context,
			       (xdrproc_t)xdr_attempt_context, &copy);
}

cas_str_t attempt_sign_outcome(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_outcome *outcome)
{
	attempt_outcome copy = *outcome;

	return encode_and_sign(ctx, secrets, domain_outcome,
			       (xdrproc_t)xdr_attempt_outcome, &copy);
}

int attempt_read_context(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_received_t *received)
{
	binary_t binary;
	XDR xdr;
	int error = verify_text(secrets, domain_context, text, &binary);

	if (error)
		return error;
	memset(received, 0, sizeof(*received));
	received->context.early.early_val = received->early;
	xdrmem_create(&xdr, (char *)binary.bytes, (u_int)binary.len,
		      XDR_DECODE);
	if (!xdr_attempt_context(&xdr, &received->context))
		return ATTEMPT_EFORMAT;
	return 0;
}

int attempt_read_outcome(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_outcome *outcome)
{
	binary_t binary;
	XDR xdr;
	int error = verify_text(secrets, domain_outcome, text, &binary);

	if (error)
		return error;
	xdrmem_create(&xdr, (char *)binary.bytes, (u_int)binary.len,
		      XDR_DECODE);
	return xdr_attempt_outcome(&xdr, outcome) ? 0 : ATTEMPT_EFORMAT;
}

void attempt_generate_id(char *id)
{
	static char pool[ID_POOL_BYTES];
	static size_t unused;

	if (unused < ATTEMPT_ID_BYTES) {
		randombytes_buf(pool, sizeof(pool));
		unused = sizeof(pool);
	}
	unused -= ATTEMPT_ID_BYTES;
	memcpy(id, pool + unused, ATTEMPT_ID_BYTES);
	/* A handle must not stay readable in memory after its use. */
	sodium_memzero(pool + unused, ATTEMPT_ID_BYTES);
}

void attempt_format_id(const char *id, char *text)
{
	sodium_bin2hex(text, ATTEMPT_ID_TEXT_BYTES, (const uint8_t *)id,
		       ATTEMPT_ID_BYTES);
}

int attempt_parse_id(cas_str_t text, char *id)
{
	size_t len = 0;

	if (text.len != (size_t)ATTEMPT_ID_BYTES * 2 ||
	    sodium_hex2bin((uint8_t *)id, ATTEMPT_ID_BYTES, text.ptr, text.len,
			   NULL, &len, NULL) ||
	    len != ATTEMPT_ID_BYTES)
		return ATTEMPT_EFORMAT;
	return 0;
}
