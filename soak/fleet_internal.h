/* Shared by the sources of the simulated fleet. */
#ifndef SOAK_FLEET_INTERNAL_H
#define SOAK_FLEET_INTERNAL_H

#include "fleet.h"

/* Hands over the messages that arrived while the host was paused. */
void fleet_deliver_held(fleet_host_t *host);
void fleet_deliver_later(void *owner, void *data);

#endif
