/* Notices that the upstream of this host has started or recovered, and tells
 * admission. */
#ifndef CASSIA_WARM_UP_WATCH_H
#define CASSIA_WARM_UP_WATCH_H

#include "daemon.h"

/* Creates daemon->warm_up_watch. Returns 0 or ADMISSION_ENOMEM. */
int warm_up_watch_create(cassiad_t *daemon);

/* Compares the entry of the own upstream (NULL: none) with the former one.
 * Called after own_listing was set, before requests are started. */
void warm_up_watch_listing(cassiad_t *daemon, const roster_host_t *host);

/* Takes note of how a call to the upstream has ended (enum http_error). */
void warm_up_watch_call(cassiad_t *daemon, int http_error);

/* Takes over the load in the header of a response of the upstream. */
void warm_up_watch_load(cassiad_t *daemon, const http_headers_t *headers);

/* Sets the rules, asks for health while in doubt, and logs what has changed;
 * called every 100 ms. */
void warm_up_watch_tick(cassiad_t *daemon);

/* Sets the metrics of the warm-up. */
void warm_up_watch_set_metrics(cassiad_t *daemon);

#endif
