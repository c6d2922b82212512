/*
 * Fake of the fence of the membership package, after section 6 of
 * docs/design.md but without groups. Each host asks every other host of its
 * data centre once a second which roster revision it confirms and since when.
 * The fence of a revision is held while a quorum of the hosts that it lists
 * confirms it, and settled when they have confirmed it for 8.1 s.
 */
#ifndef SOAK_FAKE_FENCE_H
#define SOAK_FAKE_FENCE_H

#include "fleet.h"

/* Adds the part to the fleet before the hosts start; returns its index. */
size_t fake_fence_add(fleet_t *fleet);

/* Return whether the fence is held or settled at a roster revision, as the
 * daemon of host knows. */
bool fake_fence_held(fleet_host_t *host, int64_t revision);
bool fake_fence_settled(fleet_host_t *host, int64_t revision);

#endif
