/*
 * Entry for libFuzzer: contexts and outcomes as texts, and as bytes with a good
 * signature. The first byte of the input selects which.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cassia/attempt.h"

#define MAC_BYTES 16
#define BYTES_MAX 2048
#define GRANTED 3
#define NOW (1000 * CAS_USEC_PER_SEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Not assert: it must hold in every build type. */
#define REQUIRE(condition)                                                     \
	do {                                                                   \
		if (!(condition))                                              \
			abort();                                               \
	} while (0)

static attempt_secrets_t secrets;

static void set_up(void)
{
	static const uint8_t secret[] = "secret of the fuzz target";

	REQUIRE(sodium_init() >= 0);
	attempt_secrets_add(&secrets, secret, sizeof(secret));
}

/* Signs bytes that need not be a structure, as another daemon could. */
static cas_str_t sign_bytes(char *text, uint8_t domain, const uint8_t *data,
			    size_t size)
{
	uint8_t bytes[BYTES_MAX + MAC_BYTES];
	crypto_generichash_state state;

	memcpy(bytes, data, size);
	crypto_generichash_init(&state, secrets.keys[0], ATTEMPT_KEY_BYTES,
				MAC_BYTES);
	crypto_generichash_update(&state, &domain, 1);
	crypto_generichash_update(&state, data, size);
	crypto_generichash_final(&state, bytes + size, MAC_BYTES);
	sodium_bin2base64(text, 2 * BYTES_MAX, bytes, size + MAC_BYTES,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return cas_str_from_cstr(text);
}

/* What the upstream's daemon does with an accepted context. */
static void use_context(TALLOC_CTX *ctx, const attempt_context *context)
{
	cas_clock_t *clock = cas_clock_create_manual(ctx, NOW);
	attempt_table_t *table = attempt_table_create(ctx, clock, 2);
	attempt_live_t *live = attempt_live_create(ctx);
	attempt_live_entry_t *entry = attempt_live_add(live, context);
	int first =
		attempt_table_begin(table, context->attempt, context->deadline);

	REQUIRE(first == 0 || first == ATTEMPT_EEXPIRED);
	if (first == 0)
		REQUIRE(attempt_table_begin(table, context->attempt,
					    context->deadline) ==
			ATTEMPT_EDUPLICATE);
	REQUIRE(entry->budget.left >= 0);
	REQUIRE(entry->context.early.early_len == 0);
}

static void take_context(TALLOC_CTX *ctx, cas_str_t text)
{
	attempt_received_t received;
	attempt_received_t again;
	attempt_outcome outcome;
	cas_str_t copy;

	if (attempt_read_context(&secrets, text, &received))
		return;
	REQUIRE(received.context.early.early_len <= ATTEMPT_EARLY_MAX);
	REQUIRE(attempt_read_outcome(&secrets, text, &outcome));
	copy = attempt_sign_context(ctx, &secrets, &received.context);
	REQUIRE(copy.ptr);
	REQUIRE(attempt_read_context(&secrets, copy, &again) == 0);
	REQUIRE(memcmp(again.context.attempt, received.context.attempt,
		       ATTEMPT_ID_BYTES) == 0);
	REQUIRE(again.context.deadline == received.context.deadline);
	REQUIRE(again.context.budget == received.context.budget);
	use_context(ctx, &received.context);
}

static void take_outcome(cas_str_t text)
{
	retry_budget_t budget = retry_budget_of(0);
	attempt_received_t received;
	attempt_outcome outcome;

	if (attempt_read_outcome(&secrets, text, &outcome))
		return;
	REQUIRE(attempt_read_context(&secrets, text, &received));
	retry_budget_return(&budget, GRANTED, (int32_t)outcome.unspent);
	REQUIRE(budget.left >= 0 && budget.left <= GRANTED);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char text[2 * BYTES_MAX];

	if (!secrets.count)
		set_up();
	if (size > 0 && size <= BYTES_MAX / 2) {
		cas_str_t raw = { (const char *)data + 1, size - 1 };

		if (data[0] % 3 == 1)
			raw = sign_bytes(text, 'C', data + 1, size - 1);
		else if (data[0] % 3 == 2)
			raw = sign_bytes(text, 'O', data + 1, size - 1);
		take_context(ctx, raw);
		take_outcome(raw);
	}
	talloc_free(ctx);
	return 0;
}
