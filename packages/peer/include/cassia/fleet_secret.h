/*
 * The fleet secrets: daemons sign with the first one and accept both, so a
 * secret is replaced by adding the new one as the second everywhere, then
 * exchanging the two, then removing the old one.
 */
#ifndef CASSIA_FLEET_SECRET_H
#define CASSIA_FLEET_SECRET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cassia/str.h"

#define FLEET_SECRET_BYTES 32
#define FLEET_SECRET_MIN_TEXT 16
#define FLEET_MAC_BYTES 16
#define FLEET_SECRET_COUNT 2

typedef struct fleet_secret {
	uint32_t id; /* 0: no secret */
	uint8_t key[FLEET_SECRET_BYTES];
} fleet_secret_t;

typedef struct fleet_secrets {
	fleet_secret_t entries[FLEET_SECRET_COUNT]; /* the first one signs */
} fleet_secrets_t;

/* One part of a signed byte string. */
typedef struct fleet_part {
	const void *ptr;
	size_t len;
} fleet_part_t;

/* Derives the key from the text of the settings. Returns 0, or PEER_EINVAL
 * when id is 0 or the text is shorter than FLEET_SECRET_MIN_TEXT bytes. */
int fleet_secret_set(fleet_secret_t *secret, uint32_t id, cas_str_t text);

/*
 * Writes the keyed BLAKE2b-128 of the parts in order and the id of the secret
 * used. purpose keeps signatures of different kinds of message apart. Part
 * lengths are not signed: with more than one part of variable length the
 * caller must make their boundaries unambiguous. Returns 0, or PEER_ESECRET
 * when no first secret is set.
 */
int fleet_sign(const fleet_secrets_t *secrets, cas_str_t purpose,
	       const fleet_part_t *parts, size_t count,
	       uint8_t mac[FLEET_MAC_BYTES], uint32_t *secret_id);

/* Checks a signature in constant time. Returns 0, PEER_ESECRET for an unknown
 * secret or PEER_EMAC for a wrong signature. */
int fleet_verify(const fleet_secrets_t *secrets, cas_str_t purpose,
		 const fleet_part_t *parts, size_t count,
		 const uint8_t mac[FLEET_MAC_BYTES], uint32_t secret_id);

/* Compares two byte strings of equal length in constant time. */
bool fleet_equal(const void *a, const void *b, size_t len);

#endif
