/* Upstream instances whose responses say that they leave. A daemon that has
 * passed on such a response sends them nothing more, whatever the host list
 * says. */
#ifndef CASSIA_STATED_LEAVING_H
#define CASSIA_STATED_LEAVING_H

#include "daemon.h"

/* Creates daemon->stated_leaving. Returns 0 or BASE_ENOMEM. */
int stated_leaving_create(cassiad_t *daemon);

/* Returns the id of the upstream instance in an entry of the host list: that of
 * its host if instances are not named. */
cas_id_t stated_leaving_instance(const roster_host_t *host);

/* Returns that of the entry of a host, 0: it has none. */
cas_id_t stated_leaving_instance_on(const cassiad_t *daemon, cas_id_t host);

/* Returns whether the header of a response says that the upstream leaves. */
bool stated_leaving_is_in(const cassiad_t *daemon,
			  const http_headers_t *headers);

/* Remembers that the instance (0: not known) leaves. host is the one that it runs
 * on, for the log. */
void stated_leaving_note(cassiad_t *daemon, cas_id_t instance, cas_id_t host);

/* Returns whether the instance in the entry has said that it leaves. */
bool stated_leaving_has(const cassiad_t *daemon, const roster_host_t *host);

/* Forgets instances that have long been absent from the host list; called once
 * a second. */
void stated_leaving_tick(cassiad_t *daemon);

#endif
