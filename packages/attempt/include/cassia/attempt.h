/*
 * Attempts: identifiers, signed request contexts and outcomes, the table that
 * lets an attempt run at most once, and the live contexts of running requests.
 */
#ifndef CASSIA_ATTEMPT_H
#define CASSIA_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "attempt_messages.h"
#include "cassia/clock.h"
#include "cassia/retry.h"
#include "cassia/str.h"

enum attempt_error {
	ATTEMPT_OK = 0,
	ATTEMPT_ENOMEM = -1801,
	ATTEMPT_EFORMAT = -1802, /* not a signed structure */
	ATTEMPT_ESIGNATURE = -1803, /* signed with no accepted secret */
	ATTEMPT_EDUPLICATE = -1804, /* this attempt was seen before */
	ATTEMPT_EEXPIRED = -1805, /* the deadline has passed */
	ATTEMPT_EFULL = -1806, /* too many attempts are remembered */
	ATTEMPT_ERECEIVER = -1807, /* meant for another host */
	ATTEMPT_EINCARNATION = -1808, /* meant for an earlier incarnation */
};

#define ATTEMPT_SECRETS_MAX 2
#define ATTEMPT_KEY_BYTES 32
#define ATTEMPT_FRACTION_WHOLE 1000000

/* Longest lifetime of an attempt. Longer ones are cut to it. */
#define ATTEMPT_LIFE_MAX (120 * CAS_USEC_PER_SEC)

/* Keys made of the fleet secrets; the first one signs. */
typedef struct attempt_secrets {
	uint8_t keys[ATTEMPT_SECRETS_MAX][ATTEMPT_KEY_BYTES];
	size_t count;
} attempt_secrets_t;

/* Adds a secret behind the others. Further ones than fit are left out. */
void attempt_secrets_add(attempt_secrets_t *secrets, const uint8_t *bytes,
			 size_t len);

/* A context with the memory of its early rejections. */
typedef struct attempt_received {
	attempt_context context;
	attempt_early early[ATTEMPT_EARLY_MAX];
} attempt_received_t;

/* Returns the signed text of a context or outcome (owned by ctx); ptr is NULL
 * when memory is short. */
cas_str_t attempt_sign_context(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_context *context);
cas_str_t attempt_sign_outcome(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_outcome *outcome);

/* Reads and checks a signed text. Returns 0, ATTEMPT_EFORMAT or
 * ATTEMPT_ESIGNATURE. */
int attempt_read_context(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_received_t *received);
int attempt_read_outcome(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_outcome *outcome);

/* Fills in a random identifier of ATTEMPT_ID_BYTES. */
void attempt_draw_id(char *id);

/* Writes an identifier as hexadecimal text with a terminator. */
#define ATTEMPT_ID_TEXT_BYTES (2 * ATTEMPT_ID_BYTES + 1)
void attempt_print_id(const char *id, char *text);

/* Reads hexadecimal text. Returns 0 or ATTEMPT_EFORMAT. */
int attempt_parse_id(cas_str_t text, char *id);

/* Attempts seen by this incarnation, each remembered until 4 s behind its
 * deadline. */
typedef struct attempt_table attempt_table_t;

/* Returns a new table for at most limit attempts, or NULL. clock is
 * borrowed. */
attempt_table_t *attempt_table_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				      size_t limit);

/*
 * Remembers an attempt until its deadline. Returns 0 when it may run,
 * ATTEMPT_EDUPLICATE, ATTEMPT_EEXPIRED, ATTEMPT_EFULL or ATTEMPT_ENOMEM.
 * Only for a duplicate it is unknown whether the attempt has run, also when
 * its deadline has passed.
 */
int attempt_table_begin(attempt_table_t *table, const char *id,
			int64_t deadline_us);

/* Returns how many attempts are remembered. */
size_t attempt_table_count(const attempt_table_t *table);

/* A running request at the upstream's daemon, found by the random handle that
 * the upstream presents with its child calls. */
typedef struct attempt_live attempt_live_t;
typedef struct attempt_live_entry {
	char handle[ATTEMPT_ID_BYTES];
	attempt_context context; /* deadline on the own clock */
	retry_budget_t budget; /* what child calls may spend */
	double fraction; /* smallest threshold that child calls brought back */
	int64_t child_since_us; /* start of the time covered by child calls */
	int64_t child_us; /* time covered by earlier child calls */
	void *private; /* of the owner */
} attempt_live_entry_t;

/* Returns an empty set, or NULL when memory is short. */
attempt_live_t *attempt_live_create(TALLOC_CTX *ctx);

/* Adds a running request under a new handle. Returns the entry, or NULL.
 * Freeing the entry removes it. */
attempt_live_entry_t *attempt_live_add(attempt_live_t *live,
				       const attempt_context *context);

/* Returns the entry (borrowed) of a handle in hexadecimal, or NULL. */
attempt_live_entry_t *attempt_live_find(attempt_live_t *live, cas_str_t text);

/* Returns how many requests are running. */
size_t attempt_live_count(const attempt_live_t *live);

#endif
