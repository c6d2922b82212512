/* Joins admission with the requests of the upstream. */
#include "upstream_request.h"

static const admission_ops_t admit_ops = {
	.run = serve_on_run,
	.drop = serve_on_drop,
};

int admit_start(cassiad_t *daemon)
{
	daemon->admission = admission_create(daemon, daemon->clock, daemon->rng,
					     &admit_ops, daemon);
	return daemon->admission ? 0 : ADMISSION_ENOMEM;
}
