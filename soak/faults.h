/* Injects random faults and random changes of the configuration and the load.
 * Several may be in effect at once. */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "load.h"

typedef struct faults faults_t;

/* Returns a new fault generator, owned by ctx. The other arguments are
 * borrowed; customers and loads have customer_count elements and are changed by
 * the generator. Aborts when memory runs out. */
faults_t *faults_create(TALLOC_CTX *ctx, fleet_t *fleet,
			fake_customer_t *customers, size_t customer_count,
			check_windows_t *windows, load_t **loads);

/* Starts faults and changes at random. Must be called once in each step; faults
 * end by events of the simulation. */
void faults_step(faults_t *faults);

/* Returns the number of faults and roster changes so far. */
uint64_t faults_count(const faults_t *faults);

#endif
