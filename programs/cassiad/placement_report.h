/* Explains where a request would go now, without sending it. */
#ifndef CASSIAD_PLACEMENT_REPORT_H
#define CASSIAD_PLACEMENT_REPORT_H

#include <jansson.h>

#include "daemon.h"

/* A request that is only described. Empty texts and 0 stand for what is not
 * stated. */
typedef struct placement_question {
	cas_str_t host; /* of the request */
	cas_str_t method;
	cas_str_t path;
	cas_str_t customer; /* name */
	int64_t body_bytes;
} placement_question_t;

/* Returns the choice, the candidates with their figures and ages, and the reason
 * (new reference), or NULL when no route matches or the daemon has no table. */
json_t *placement_report_create(cassiad_t *daemon,
				const placement_question_t *question);

#endif
