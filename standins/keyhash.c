/*
 * Prints the hash, in hex, under which a key stands in a table:
 * keyhash SALT_HEX KEY, with the table's salt.
 */
#include <sodium.h>
#include <stdio.h>

#include "cassia/keys.h"

int main(int argc, char **argv)
{
	uint8_t salt[TABLE_SALT_BYTES];
	uint8_t hash[TABLE_KEY_HASH_BYTES];
	char hash_hex[2 * TABLE_KEY_HASH_BYTES + 1];

	if (argc != 3 || sodium_init() < 0 ||
	    sodium_hex2bin(salt, sizeof(salt), argv[1], strlen(argv[1]), NULL,
			   NULL, NULL) ||
	    keys_hash(salt, cas_str_from_cstr(argv[2]), hash))
		return 1;
	puts(sodium_bin2hex(hash_hex, sizeof(hash_hex), hash, sizeof(hash)));
	return 0;
}
