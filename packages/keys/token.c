/* Generates API keys from the random numbers of libsodium. */
#include <sodium.h>

#include "cassia/keys.h"

void keys_generate(char text[KEYS_TEXT_BYTES])
{
	uint8_t random[KEYS_RANDOM_BYTES];
	size_t prefix = strlen(KEYS_PREFIX);

	randombytes_buf(random, sizeof(random));
	memcpy(text, KEYS_PREFIX, sizeof(KEYS_PREFIX));
	sodium_bin2hex(text + prefix, KEYS_TEXT_BYTES - prefix, random,
		       sizeof(random));
	sodium_memzero(random, sizeof(random));
}
