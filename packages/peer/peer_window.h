/* Sliding replay window of one sender. */
#ifndef CASSIA_PEER_WINDOW_H
#define CASSIA_PEER_WINDOW_H

#include <stdint.h>

#define PEER_WINDOW_BITS 128

typedef struct peer_window {
	uint64_t incarnation;
	uint64_t top; /* highest sequence number seen */
	uint64_t seen[PEER_WINDOW_BITS / 64]; /* bit 0 is top */
} peer_window_t;

/* Notes an incarnation seen in a message without a sequence number. Returns 0
 * or PEER_EINCARNATION. */
int peer_window_incarnation(peer_window_t *window, uint64_t incarnation);

/* Accepts each sequence number of an incarnation once. Returns 0, PEER_EREPLAY
 * or PEER_EINCARNATION. Sequence numbers start at 1. */
int peer_window_accept(peer_window_t *window, uint64_t incarnation,
		       uint64_t sequence);

#endif
