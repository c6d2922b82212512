/* Creates the admission of requests to this host's upstream, with the callbacks
 * that start or drop a queued request. */
#include "upstream_request.h"

static const admission_ops_t admission_ops = {
	.run = upstream_request_on_run,
	.drop = upstream_request_on_drop,
};

int admit_create(cassiad_t *daemon)
{
	daemon->admission = admission_create(daemon, daemon->clock, daemon->rng,
					     &admission_ops, daemon);
	return daemon->admission ? 0 : ADMISSION_ENOMEM;
}
