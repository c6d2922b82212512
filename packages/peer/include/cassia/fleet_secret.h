/*
 * Message authentication codes (MACs) under the fleet secrets, which all
 * daemons share. Daemons sign with the first secret and accept both, so a
 * secret is replaced by adding the new one as the second on every host, then
 * exchanging the two, then removing the old one.
 */
#ifndef CASSIA_FLEET_SECRET_H
#define CASSIA_FLEET_SECRET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cassia/str.h"

#define FLEET_KEY_BYTES 32
/* Shortest text that is accepted as a secret. */
#define FLEET_SECRET_TEXT_MIN_BYTES 16
#define FLEET_MAC_BYTES 16
#define FLEET_SECRET_COUNT 2

/* A secret in the form of its derived key. */
typedef struct fleet_secret {
	uint32_t id; /* sent with each MAC; 0: no secret */
	uint8_t key[FLEET_KEY_BYTES];
} fleet_secret_t;

typedef struct fleet_secrets {
	fleet_secret_t entries[FLEET_SECRET_COUNT]; /* the first signs */
} fleet_secrets_t;

/* One part (borrowed) of the data that a MAC covers. */
typedef struct fleet_mac_part {
	const void *ptr;
	size_t len;
} fleet_mac_part_t;

/* Sets the id and derives the key from the secret's text in the settings.
 * Returns 0, or PEER_EINVAL when id is 0 or the text is shorter than
 * FLEET_SECRET_TEXT_MIN_BYTES. */
int fleet_secret_set(fleet_secret_t *secret, uint32_t id, cas_str_t text);

/*
 * Computes the keyed BLAKE2b-128 of purpose and the concatenated parts with the
 * first secret, and writes it and the id of the secret. purpose is the domain
 * separator: a MAC made for one purpose is not valid for another. The lengths
 * of the parts are not covered, so with more than one part of variable length
 * the caller must make the boundaries unambiguous. Returns 0, or PEER_ESECRET
 * when no first secret is set.
 */
int fleet_sign(const fleet_secrets_t *secrets, cas_str_t purpose,
	       const fleet_mac_part_t *parts, size_t count,
	       uint8_t mac[FLEET_MAC_BYTES], uint32_t *secret_id);

/* Checks a MAC in constant time. Returns 0, PEER_ESECRET when no secret has the
 * given id, or PEER_EMAC when the MAC is wrong. */
int fleet_verify(const fleet_secrets_t *secrets, cas_str_t purpose,
		 const fleet_mac_part_t *parts, size_t count,
		 const uint8_t mac[FLEET_MAC_BYTES], uint32_t secret_id);

/* Compares two byte strings of equal length in constant time. */
bool fleet_equal_const_time(const void *a, const void *b, size_t len);

#endif
