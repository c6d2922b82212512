/* Sliding replay window of one sender. */
#include "peer_window.h"

#include <string.h>

#include "cassia/peer_error.h"

int peer_window_incarnation(peer_window_t *window, uint64_t incarnation)
{
	if (incarnation < window->incarnation)
		return PEER_EINCARNATION;
	if (incarnation > window->incarnation) {
		memset(window, 0, sizeof(*window));
		window->incarnation = incarnation;
	}
	return 0;
}

static void shift(peer_window_t *window, uint64_t by)
{
	unsigned __int128 bits;

	if (by >= PEER_WINDOW_BITS) {
		memset(window->seen, 0, sizeof(window->seen));
		return;
	}
	bits = ((unsigned __int128)window->seen[1] << 64) | window->seen[0];
	bits <<= by;
	window->seen[0] = (uint64_t)bits;
	window->seen[1] = (uint64_t)(bits >> 64);
}

int peer_window_accept(peer_window_t *window, uint64_t incarnation,
		       uint64_t sequence)
{
	int error = peer_window_incarnation(window, incarnation);
	uint64_t behind;
	uint64_t mask;

	if (error)
		return error;
	if (sequence > window->top) {
		shift(window, sequence - window->top);
		window->top = sequence;
	}
	behind = window->top - sequence;
	if (sequence == 0 || behind >= PEER_WINDOW_BITS)
		return PEER_EREPLAY;
	mask = UINT64_C(1) << (behind % 64);
	if (window->seen[behind / 64] & mask)
		return PEER_EREPLAY;
	window->seen[behind / 64] |= mask;
	return 0;
}
