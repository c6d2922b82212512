/*
 * Fuzz target for signed request contexts and outcomes. The first byte of the
 * input selects whether the others are read as text, or signed as the bytes of
 * a context or an outcome, so that decoding gets past the signature.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cassia/attempt.h"

#define MAC_BYTES 16 /* of a signature */
#define PAYLOAD_MAX_BYTES 2048 /* that are signed */
#define GRANTED_UNITS 3 /* retry units sent with the attempt */
#define NOW_US (1000 * CAS_USEC_PER_SEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Used instead of assert, which NDEBUG would turn off. */
#define REQUIRE(condition)                                                     \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

static attempt_secrets_t secrets;

static void init_secrets(void)
{
	static const uint8_t secret[] = "secret of the fuzz target";

	REQUIRE(sodium_init() >= 0);
	attempt_secrets_add(&secrets, secret, sizeof(secret));
}

/* Writes bytes with a valid signature to out, as text, and returns the text.
 * The bytes need not be a valid structure, as from another daemon that holds
 * the secret. domain is C for a context and O for an outcome. */
static cas_str_t sign_bytes(char *out, uint8_t domain, const uint8_t *data,
			    size_t size)
{
	uint8_t bytes[PAYLOAD_MAX_BYTES + MAC_BYTES];
	crypto_generichash_state state;

	memcpy(bytes, data, size);
	crypto_generichash_init(&state, secrets.keys[0], ATTEMPT_KEY_BYTES,
				MAC_BYTES);
	crypto_generichash_update(&state, &domain, 1);
	crypto_generichash_update(&state, data, size);
	crypto_generichash_final(&state, bytes + size, MAC_BYTES);
	sodium_bin2base64(out, 2 * PAYLOAD_MAX_BYTES, bytes, size + MAC_BYTES,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return cas_str_from_cstr(out);
}

/* Does what the daemon of the upstream does with an accepted context. */
static void check_accepted_context(TALLOC_CTX *ctx,
				   const attempt_context *context)
{
	cas_clock_t *clock = cas_clock_create_manual(ctx, NOW_US);
	attempt_table_t *table = attempt_table_create(ctx, clock, 2);
	attempt_live_t *live = attempt_live_create(ctx);
	attempt_live_entry_t *entry =
		attempt_live_add(live, context, CAS_STR(""));
	int first_rc =
		attempt_table_begin(table, context->attempt, context->deadline);

	REQUIRE(first_rc == 0 || first_rc == ATTEMPT_EEXPIRED);
	if (first_rc == 0)
		REQUIRE(attempt_table_begin(table, context->attempt,
					    context->deadline) ==
			ATTEMPT_EDUPLICATE);
	REQUIRE(entry->budget.left >= 0);
	REQUIRE(entry->context.early.early_len == 0);
}

/* Reads the text as a context. An accepted context is no valid outcome, and is
 * the same after it is signed and read again. */
static void fuzz_context(TALLOC_CTX *ctx, cas_str_t text)
{
	attempt_received_t received;
	attempt_received_t reread;
	attempt_outcome outcome;
	cas_str_t signed_copy;

	if (attempt_read_context(&secrets, text, &received))
		return;
	REQUIRE(received.context.early.early_len <= ATTEMPT_EARLY_MAX);
	REQUIRE(attempt_read_outcome(&secrets, text, &outcome));
	signed_copy = attempt_sign_context(ctx, &secrets, &received.context);
	REQUIRE(signed_copy.ptr);
	REQUIRE(attempt_read_context(&secrets, signed_copy, &reread) == 0);
	REQUIRE(memcmp(reread.context.attempt, received.context.attempt,
		       ATTEMPT_ID_BYTES) == 0);
	REQUIRE(reread.context.deadline == received.context.deadline);
	REQUIRE(reread.context.budget == received.context.budget);
	check_accepted_context(ctx, &received.context);
}

/* Reads the text as an outcome. An accepted outcome is no valid context, and
 * returns no more units than were granted. */
static void fuzz_outcome(cas_str_t text)
{
	retry_budget_t budget = retry_budget_of(0);
	attempt_received_t received;
	attempt_outcome outcome;

	if (attempt_read_outcome(&secrets, text, &outcome))
		return;
	REQUIRE(attempt_read_context(&secrets, text, &received));
	retry_budget_return(&budget, GRANTED_UNITS, (int32_t)outcome.unspent);
	REQUIRE(budget.left >= 0 && budget.left <= GRANTED_UNITS);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char buffer[2 * PAYLOAD_MAX_BYTES];

	if (!secrets.count)
		init_secrets();
	if (size > 0 && size <= PAYLOAD_MAX_BYTES / 2) {
		cas_str_t text = { (const char *)data + 1, size - 1 };

		if (data[0] % 3 == 1)
			text = sign_bytes(buffer, 'C', data + 1, size - 1);
		else if (data[0] % 3 == 2)
			text = sign_bytes(buffer, 'O', data + 1, size - 1);
		fuzz_context(ctx, text);
		fuzz_outcome(text);
	}
	talloc_free(ctx);
	return 0;
}
