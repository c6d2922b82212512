/*
 * Stable 64-bit identifiers of names, and rendezvous hashing (highest random
 * weight) over them. All daemons compute the same values.
 */
#ifndef CASSIA_HASH_H
#define CASSIA_HASH_H

#include <stddef.h>
#include <stdint.h>

#include "cassia/str.h"

/* Identifier of a host, customer, service or data centre: the hash of its
 * name. */
typedef uint64_t cas_id_t;

/* Returns the identifier of a name, 0 for the empty name. */
cas_id_t cas_id_of(cas_str_t name);

/* Returns the rendezvous weight of node for key; the highest weight wins. */
uint64_t cas_rendezvous_weight(cas_id_t node, uint64_t key);

/* Returns the index of the node with the highest weight for key among count
 * nodes (at least 1). */
size_t cas_rendezvous_pick(const cas_id_t *nodes, size_t count, uint64_t key);

#endif
