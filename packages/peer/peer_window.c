/* Replay window of one sender, a bitmap that slides with the highest sequence
 * number. */
#include "peer_window.h"

#include <string.h>

#include "cassia/peer_error.h"

int peer_window_update_incarnation(peer_window_t *window, uint64_t incarnation)
{
	if (incarnation < window->incarnation)
		return PEER_EINCARNATION;
	if (incarnation > window->incarnation) {
		memset(window, 0, sizeof(*window));
		window->incarnation = incarnation;
	}
	return 0;
}

/* Shifts the bitmap when the highest sequence number rises by distance. */
static void shift_bitmap(peer_window_t *window, uint64_t distance)
{
	unsigned __int128 bits;

	if (distance >= PEER_WINDOW_BITS) {
		memset(window->seen, 0, sizeof(window->seen));
		return;
	}
	bits = ((unsigned __int128)window->seen[1] << 64) | window->seen[0];
	bits <<= distance;
	window->seen[0] = (uint64_t)bits;
	window->seen[1] = (uint64_t)(bits >> 64);
}

int peer_window_accept(peer_window_t *window, uint64_t incarnation,
		       uint64_t sequence)
{
	int error = peer_window_update_incarnation(window, incarnation);
	uint64_t age;
	uint64_t mask;

	if (error)
		return error;
	if (sequence > window->highest) {
		shift_bitmap(window, sequence - window->highest);
		window->highest = sequence;
	}
	age = window->highest - sequence;
	if (sequence == 0 || age >= PEER_WINDOW_BITS)
		return PEER_EREPLAY;
	mask = UINT64_C(1) << (age % 64);
	if (window->seen[age / 64] & mask)
		return PEER_EREPLAY;
	window->seen[age / 64] |= mask;
	return 0;
}
