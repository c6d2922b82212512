/* Random faults and changes of a soak run, several at a time. */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "load.h"

typedef struct faults faults_t;

faults_t *faults_create(TALLOC_CTX *ctx, fleet_t *fleet,
			fake_customer_t *customers, size_t customer_count,
			check_windows_t *windows, load_t **loads);

/* Starts and ends faults; called every step. */
void faults_step(faults_t *faults);

uint64_t faults_count(const faults_t *faults);

#endif
