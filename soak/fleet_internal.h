/* Functions shared by fleet.c and fake_network.c. */
#ifndef SOAK_FLEET_INTERNAL_H
#define SOAK_FLEET_INTERNAL_H

#include "fleet.h"

/* Delivers the messages that were buffered while the host was paused. */
void fleet_deliver_buffered(fleet_host_t *host);
/* The same as an event (sim_event_fn) of a host; does nothing while the host
 * does not run or is paused. */
void fleet_on_deliver_buffered(void *owner, void *data);

#endif
