/*
 * A simulated fleet: hosts in data centres with own clocks, a message network
 * between them, and parts. A part is one module under test or one fake; it
 * keeps a state on each running host.
 */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "cassia/roster.h"
#include "cassia/table.h"
#include "sim.h"

#define FLEET_PARTS_MAX 8

typedef struct fleet fleet_t;
typedef struct fleet_host fleet_host_t;

/* A module or a fake. Every function may be NULL. */
typedef struct fleet_part {
	const char *name;
	/* Returns the state of a host that starts, owned by ctx. */
	void *(*start)(TALLOC_CTX *ctx, fleet_host_t *host);
	/* Called every 10 ms while the host runs. */
	void (*tick)(fleet_host_t *host);
	/* Called after the host has adopted host->table and host->roster. */
	void (*set_view)(fleet_host_t *host);
	void (*message)(fleet_host_t *host, const fleet_host_t *from,
			uint64_t incarnation, int kind, const void *bytes);
} fleet_part_t;

struct fleet_host {
	fleet_t *fleet;
	size_t index;
	size_t dc;
	cas_id_t id;
	uint64_t incarnation;
	bool running; /* a process exists */
	bool paused; /* it exists but does nothing */
	uint64_t pause_count;
	cas_clock_t *clock; /* drifts from true time */
	double drift;
	int64_t clock_base_us;
	int64_t true_base_us;
	int64_t started_us; /* on its clock */
	const table_t *table;
	const roster_t *roster;
	TALLOC_CTX *process; /* owns the states of the parts */
	void *parts[FLEET_PARTS_MAX];
	void **held; /* messages that arrived during a pause */
	size_t held_count;
	uint64_t sent_messages; /* counted ones, see fleet_send */
	uint64_t sent_bytes;
};

/* Faults of the network, as probabilities for each message. */
typedef struct fleet_faults {
	double loss;
	double repetition;
	double late; /* delayed by up to late_us */
	int64_t late_us;
	double pause_after_send; /* the sender pauses for up to 6 s */
} fleet_faults_t;

typedef struct fleet_config {
	size_t regions;
	size_t dcs; /* in all; data centre i is in region i % regions */
	size_t hosts; /* in each data centre */
	double drift; /* largest clock error of a host, as a fraction */
	int64_t region_delay_us; /* one way, inside a region */
	int64_t far_delay_us; /* one way, between regions */
	bool steady; /* no faults and no roster change: fences always hold */
} fleet_config_t;

struct fleet {
	sim_t *sim;
	fleet_config_t config;
	fleet_faults_t faults;
	fleet_host_t *hosts;
	fleet_host_t **by_id;
	size_t host_count;
	const fleet_part_t *parts[FLEET_PARTS_MAX];
	size_t part_count;
	void *shared[FLEET_PARTS_MAX]; /* state of a part for the whole fleet */
	bool *cut; /* pairs of data centres, dcs * dcs */
	bool *isolated; /* hosts cut off from every other host */
	uint64_t messages;
	uint64_t lost;
	uint64_t repeated;
	uint64_t delayed;
	uint64_t held;
	uint64_t pauses;
};

fleet_t *fleet_create(TALLOC_CTX *ctx, sim_t *sim,
		      const fleet_config_t *config);

/* Adds a part before the hosts start; returns its index in host->parts. */
size_t fleet_add_part(fleet_t *fleet, const fleet_part_t *part);

void fleet_start_host(fleet_host_t *host, const table_t *table,
		      const roster_t *roster);
void fleet_stop_host(fleet_host_t *host);
/* Pauses a running host; it resumes after length_us. */
void fleet_pause_host(fleet_host_t *host, int64_t length_us);

/* True when the host runs and is not paused; its clock is then up to date. */
bool fleet_host_enter(fleet_host_t *host);

/* Returns the time on the host's clock, also while it is paused. */
int64_t fleet_host_time(const fleet_host_t *host);

/* Gives a running host a table and a roster. */
void fleet_set_view(fleet_host_t *host, const table_t *table,
		    const roster_t *roster);

fleet_host_t *fleet_find(fleet_t *fleet, cas_id_t id);
cas_id_t fleet_dc_id(size_t dc);

/* Sends size bytes from a host to a part of another. Counted for the host as
 * wire_bytes, unless that is 0. */
void fleet_send(fleet_host_t *from, cas_id_t to, size_t part, int kind,
		const void *bytes, size_t size, size_t wire_bytes);

#endif
