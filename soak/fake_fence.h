/*
 * A stand-in for membership that follows section 6 of docs/design.md without
 * groups: each host asks every host of its data centre once a second which
 * roster revision it confirms and for how long.
 */
#ifndef SOAK_FAKE_FENCE_H
#define SOAK_FAKE_FENCE_H

#include "fleet.h"

/* Returns the index of the part. */
size_t fake_fence_add(fleet_t *fleet);

bool fake_fence_held(fleet_host_t *host, int64_t revision);
bool fake_fence_settled(fleet_host_t *host, int64_t revision);

#endif
