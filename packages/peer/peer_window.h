/* Replay window of one sender: the sequence numbers that were accepted from it,
 * as in RFC 4303. */
#ifndef CASSIA_PEER_WINDOW_H
#define CASSIA_PEER_WINDOW_H

#include <stdint.h>

#define PEER_WINDOW_BITS 128

typedef struct peer_window {
	uint64_t incarnation;
	uint64_t highest; /* highest sequence number accepted */
	/* Bit i: the sequence number highest - i was accepted. */
	uint64_t seen[PEER_WINDOW_BITS / 64];
} peer_window_t;

/* Handles the incarnation of a message without a sequence number: a higher one
 * than before starts an empty window. Returns 0, or PEER_EINCARNATION when it
 * is lower. */
int peer_window_update_incarnation(peer_window_t *window, uint64_t incarnation);

/* Accepts each sequence number of an incarnation once; sequence numbers start
 * at 1. Returns 0, PEER_EREPLAY when the number was accepted before or is
 * PEER_WINDOW_BITS or more below the highest one, or PEER_EINCARNATION. */
int peer_window_accept(peer_window_t *window, uint64_t incarnation,
		       uint64_t sequence);

#endif
