/* The periodic work of the components, in ticks of one timer. */
#ifndef CASSIAD_TICK_H
#define CASSIAD_TICK_H

#include "daemon.h"

/* Runs the first tick and arms the timer. Returns 0 or BASE_ENOMEM. */
int tick_start(cassiad_t *daemon);

/* To be called before a request is processed: while requests run, ticks are not
 * skipped. */
void tick_request_arrived(cassiad_t *daemon);

/* To be called when a message, a configuration or the start of a drain may have
 * set an earlier due time of membership or quota. */
void tick_control_changed(cassiad_t *daemon);

#endif
