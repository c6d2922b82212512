/* Health requests to the upstream of this host. */
#ifndef CASSIA_HEALTH_CHECK_H
#define CASSIA_HEALTH_CHECK_H

#include "daemon.h"

typedef struct health_check health_check_t;

/* Returns a new checker (owned by the daemon), or NULL when memory runs out. */
health_check_t *health_check_create(cassiad_t *daemon);

/* Sends a health request to the path, unless one is outstanding or was sent
 * within the last second. Its response is told to admission. */
void health_check_request(health_check_t *check, cas_str_t path);

/* Return the number of requests sent, and of responses that told how long the
 * upstream is cold, since the start. */
uint64_t health_check_sent(const health_check_t *check);
uint64_t health_check_answered(const health_check_t *check);

#endif
