/* MACs under the fleet secrets, computed with BLAKE2b of libsodium. */
#include "cassia/fleet_secret.h"

#include <sodium.h>

#include "cassia/peer_error.h"

int fleet_secret_set(fleet_secret_t *secret, uint32_t id, cas_str_t text)
{
	if (id == 0 || text.len < FLEET_SECRET_TEXT_MIN_BYTES)
		return PEER_EINVAL;
	secret->id = id;
	crypto_generichash(secret->key, sizeof(secret->key),
			   (const unsigned char *)text.ptr, text.len, NULL, 0);
	return 0;
}

/* Hashes the length of purpose (in host byte order), purpose and the parts. */
static void compute_mac(const fleet_secret_t *secret, cas_str_t purpose,
			const fleet_mac_part_t *parts, size_t count,
			uint8_t mac[FLEET_MAC_BYTES])
{
	const uint64_t purpose_len = purpose.len;
	crypto_generichash_state state;

	crypto_generichash_init(&state, secret->key, sizeof(secret->key),
				FLEET_MAC_BYTES);
	crypto_generichash_update(&state, (const unsigned char *)&purpose_len,
				  sizeof(purpose_len));
	crypto_generichash_update(&state, (const unsigned char *)purpose.ptr,
				  purpose.len);
	for (size_t i = 0; i < count; i++)
		crypto_generichash_update(&state, parts[i].ptr, parts[i].len);
	crypto_generichash_final(&state, mac, FLEET_MAC_BYTES);
}

int fleet_sign(const fleet_secrets_t *secrets, cas_str_t purpose,
	       const fleet_mac_part_t *parts, size_t count,
	       uint8_t mac[FLEET_MAC_BYTES], uint32_t *secret_id)
{
	if (secrets->entries[0].id == 0)
		return PEER_ESECRET;
	*secret_id = secrets->entries[0].id;
	compute_mac(&secrets->entries[0], purpose, parts, count, mac);
	return 0;
}

int fleet_verify(const fleet_secrets_t *secrets, cas_str_t purpose,
		 const fleet_mac_part_t *parts, size_t count,
		 const uint8_t mac[FLEET_MAC_BYTES], uint32_t secret_id)
{
	uint8_t expected[FLEET_MAC_BYTES];

	for (size_t i = 0; i < FLEET_SECRET_COUNT; i++) {
		if (secret_id == 0 || secrets->entries[i].id != secret_id)
			continue;
		compute_mac(&secrets->entries[i], purpose, parts, count,
			    expected);
		return fleet_equal_const_time(mac, expected, FLEET_MAC_BYTES)
			       ? 0
			       : PEER_EMAC;
	}
	return PEER_ESECRET;
}

bool fleet_equal_const_time(const void *a, const void *b, size_t len)
{
	return sodium_memcmp(a, b, len) == 0;
}
