/* Fault injection that pauses daemons shortly after their start. */
#ifndef SOAK_BOOT_FAULTS_H
#define SOAK_BOOT_FAULTS_H

#include "fleet.h"

/* Adds the part to the fleet before the hosts start; returns its index. */
size_t boot_faults_add(fleet_t *fleet);

/* Returns the number of pauses so far. */
uint64_t boot_faults_count(void);

#endif
