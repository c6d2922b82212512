/*
 * Attempts: one attempt is one transmission of a request to one host. This
 * module has the identifiers, the signed request contexts and outcomes that
 * daemons exchange, the table that lets an attempt run at most once, and the
 * contexts of running requests.
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
	ATTEMPT_EFORMAT = -1802, /* the text or the structure is malformed */
	ATTEMPT_ESIGNATURE = -1803, /* signed with none of the secrets */
	ATTEMPT_EDUPLICATE = -1804, /* this attempt was received before */
	/* The deadline has passed, or is later than ATTEMPT_LIFETIME_MAX_US. */
	ATTEMPT_EEXPIRED = -1805,
	ATTEMPT_EFULL = -1806, /* the table holds its limit of attempts */
	ATTEMPT_ERECEIVER = -1807, /* addressed to another host */
	ATTEMPT_EINCARNATION = -1808, /* addressed to another incarnation */
};

/* Two, so that a secret can be replaced while the old one is still accepted. */
#define ATTEMPT_SECRETS_MAX 2
#define ATTEMPT_KEY_BYTES 32
/* Encoded value of a fraction of 1: fractions are sent in millionths. */
#define ATTEMPT_FRACTION_SCALE 1000000

/* Longest time to the deadline of an attempt. Entry daemons cut longer request
 * timeouts to 1 s less; attempt_table_begin rejects later deadlines. */
#define ATTEMPT_LIFETIME_MAX_US (120 * CAS_USEC_PER_SEC)

/* Keys derived from the fleet secrets. The first one signs; a signature with
 * any of them is accepted. */
typedef struct attempt_secrets {
	uint8_t keys[ATTEMPT_SECRETS_MAX][ATTEMPT_KEY_BYTES];
	size_t count;
} attempt_secrets_t;

/* Derives a key from a secret of len bytes and appends it. Does nothing when
 * there are ATTEMPT_SECRETS_MAX keys. */
void attempt_secrets_add(attempt_secrets_t *secrets, const uint8_t *bytes,
			 size_t len);

/* A decoded context with the storage that context.early points to. */
typedef struct attempt_received {
	attempt_context context;
	attempt_early early[ATTEMPT_EARLY_MAX];
} attempt_received_t;

/* Returns a context or outcome as signed text (owned by ctx). ptr is NULL when
 * out of memory, when there is no key, or when the structure is too long. */
cas_str_t attempt_sign_context(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_context *context);
cas_str_t attempt_sign_outcome(TALLOC_CTX *ctx,
			       const attempt_secrets_t *secrets,
			       const attempt_outcome *outcome);

/* Verifies the signature of a text and decodes it. Returns 0, ATTEMPT_EFORMAT
 * or ATTEMPT_ESIGNATURE. */
int attempt_read_context(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_received_t *received);
int attempt_read_outcome(const attempt_secrets_t *secrets, cas_str_t text,
			 attempt_outcome *outcome);

/* Writes a random identifier of ATTEMPT_ID_BYTES to id. */
void attempt_generate_id(char *id);

/* Writes an identifier as hexadecimal text to text, which has room for
 * ATTEMPT_ID_TEXT_BYTES including the terminating NUL. */
#define ATTEMPT_ID_TEXT_BYTES (2 * ATTEMPT_ID_BYTES + 1)
void attempt_format_id(const char *id, char *text);

/* Reads an identifier from hexadecimal text. Returns 0 or ATTEMPT_EFORMAT. */
int attempt_parse_id(cas_str_t text, char *id);

/* The attempts that this incarnation of the daemon has received. Each is
 * remembered for at least 4 s after its deadline. */
typedef struct attempt_table attempt_table_t;

/* Returns a new table for at most limit attempts, or NULL when out of memory.
 * clock is borrowed. */
attempt_table_t *attempt_table_create(TALLOC_CTX *ctx, const cas_clock_t *clock,
				      size_t limit);

/*
 * Adds an attempt to the table. deadline_us is on the clock of the table.
 * Returns 0 when the attempt may run, ATTEMPT_EDUPLICATE, ATTEMPT_EEXPIRED,
 * ATTEMPT_EFULL or ATTEMPT_ENOMEM. ATTEMPT_EDUPLICATE takes precedence over
 * ATTEMPT_EEXPIRED: only a duplicate may have run, so with any other error the
 * caller may report that the attempt has not run.
 */
int attempt_table_begin(attempt_table_t *table, const char *id,
			int64_t deadline_us);

/* Returns the number of attempts in the table. */
size_t attempt_table_count(const attempt_table_t *table);

/* The set of running requests at the daemon of an upstream. The upstream sends
 * the random handle of a request with the child calls that it makes for it. */
typedef struct attempt_live attempt_live_t;

/* A running request. */
typedef struct attempt_live_entry {
	char handle[ATTEMPT_ID_BYTES];
	attempt_context context; /* deadline on the clock of this host */
	retry_budget_t budget; /* left for the retries of child calls */
	double fraction; /* lowest admitted fraction of child calls, 0..1 */
	/* Share of such requests whose child calls can be completed, the lowest
	 * of all calls; 0: none has ended. */
	double tree_share;
	/* Child calls may overlap. A period lasts while any of them runs. */
	int64_t child_period_started_us; /* start of the last period */
	int64_t child_total_us; /* sum of the periods that have ended */
	void *private; /* for the owner; initially NULL */
	cas_id_t id_key; /* of the request id, 0: none */
} attempt_live_entry_t;

/* Returns an empty set, or NULL when out of memory. */
attempt_live_t *attempt_live_create(TALLOC_CTX *ctx);

/* Adds a running request under a new handle and under its request id, which may
 * be empty. The context is copied without its early rejections. Returns the entry (owned by live), or NULL when out of
 * memory. talloc_free of the entry removes it from the set. */
attempt_live_entry_t *attempt_live_add(attempt_live_t *live,
				       const attempt_context *context,
				       cas_str_t request_id);

/* Returns the entry (borrowed) of the request that made the call with a
 * hierarchical id, which is the id of that request, a dot and a part of its own.
 * NULL when there is none, as for other ids. */
attempt_live_entry_t *attempt_live_find_parent(const attempt_live_t *live,
					       cas_str_t call_id);

/* Returns the entry (borrowed) of a handle in hexadecimal text, or NULL. */
attempt_live_entry_t *attempt_live_find(attempt_live_t *live, cas_str_t text);

/* Returns the number of running requests. */
size_t attempt_live_count(const attempt_live_t *live);

#endif
