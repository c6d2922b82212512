/* Identifiers of names and rendezvous hashing, computed with XXH64. */
#include "cassia/hash.h"

#include <xxhash.h>

cas_id_t cas_id_of(cas_str_t name)
{
	return name.len ? XXH64(name.ptr, name.len, 0) : 0;
}

uint64_t cas_rendezvous_weight(cas_id_t node, uint64_t key)
{
	return XXH64(&node, sizeof(node), key);
}

size_t cas_rendezvous_pick(const cas_id_t *nodes, size_t count, uint64_t key)
{
	uint64_t best_weight = cas_rendezvous_weight(nodes[0], key);
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		uint64_t weight = cas_rendezvous_weight(nodes[i], key);

		if (weight > best_weight) {
			best_weight = weight;
			best = i;
		}
	}
	return best;
}
