/* Pauses that hit daemons just after their start. */
#ifndef SOAK_BOOT_FAULTS_H
#define SOAK_BOOT_FAULTS_H

#include "fleet.h"

size_t boot_faults_add(fleet_t *fleet);

uint64_t boot_faults_count(void);

#endif
