/*
 * A simulated fleet: hosts in data centres, each with its own clock, and a
 * network that carries messages between them. The code on the hosts consists of
 * parts. A part is one module under test, one fake or one fault generator, and
 * has a state on each running host.
 */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "cassia/roster.h"
#include "cassia/table.h"
#include "sim.h"

#define FLEET_PARTS_MAX 8

typedef struct fleet fleet_t;
typedef struct fleet_host fleet_host_t;

/* The functions of a part. Each may be NULL. */
typedef struct fleet_part {
	const char *name;
	/* Returns the state of the part on a host that starts, owned by ctx. */
	void *(*start)(TALLOC_CTX *ctx, fleet_host_t *host);
	/* Called every 10 ms while the host runs and is not paused. */
	void (*tick)(fleet_host_t *host);
	/* Called after host->table and host->roster were updated; they may be
	 * unchanged. */
	void (*set_view)(fleet_host_t *host);
	/* Handles a message of this part from another host. incarnation is
	 * that of the sender; kind and bytes are those of fleet_send. */
	void (*on_message)(fleet_host_t *host, const fleet_host_t *from,
			   uint64_t incarnation, int kind, const void *bytes);
} fleet_part_t;

/* A host and its daemon. */
struct fleet_host {
	fleet_t *fleet;
	size_t index; /* in fleet->hosts */
	size_t dc; /* index of the data centre */
	cas_id_t id;
	uint64_t incarnation; /* of the current or last process */
	bool running; /* the process exists */
	bool paused; /* the process exists but does not execute */
	uint64_t pause_count; /* invalidates ticks scheduled before a pause */
	cas_clock_t *clock; /* as of the last fleet_host_sync_clock */
	double drift; /* clock error, as a fraction */
	int64_t clock_base_us; /* time on clock at true_base_us */
	int64_t true_base_us; /* true time of the start */
	int64_t started_us; /* time on clock at the start */
	const table_t *table; /* in use; borrowed */
	const roster_t *roster; /* in use; borrowed */
	TALLOC_CTX *process_ctx; /* owns part_states and clock */
	void *part_states[FLEET_PARTS_MAX]; /* by part index */
	void **buffered; /* messages received during a pause */
	size_t buffered_count;
	uint64_t sent_messages; /* those with wire_bytes, see fleet_send */
	uint64_t sent_bytes; /* sum of their wire_bytes */
};

/* Faults of the network. Probabilities apply to each message. */
typedef struct fleet_faults {
	double loss_probability;
	double duplication_probability;
	double delay_probability; /* of an additional delay */
	int64_t max_delay_us; /* limit of the additional delay */
	double pause_after_send_probability; /* for up to 6 s */
} fleet_faults_t;

/* The size and the network of a fleet. */
typedef struct fleet_config {
	size_t regions;
	size_t dcs; /* data centres; number i is in region i % regions */
	size_t hosts_per_dc; /* host i is in data centre i % dcs */
	double max_drift; /* limit of the clock errors, as a fraction */
	int64_t intra_region_delay_us; /* one-way delay within a region */
	int64_t inter_region_delay_us; /* one-way delay between regions */
	/* No faults or roster changes: the fake fence is always held and
	 * settled. */
	bool fence_always_held;
} fleet_config_t;

struct fleet {
	sim_t *sim;
	fleet_config_t config;
	fleet_faults_t faults;
	fleet_host_t *hosts; /* by index */
	fleet_host_t **hosts_by_id; /* sorted by id */
	size_t host_count;
	const fleet_part_t *parts[FLEET_PARTS_MAX];
	size_t part_count;
	void *part_shared[FLEET_PARTS_MAX]; /* fleet-wide state of a part */
	/* Partitions: messages from data centre a to b are lost while element
	 * a * dcs + b is true. */
	bool *blocked;
	/* By host index: all messages to and from the host are lost. */
	bool *isolated;
	uint64_t messages; /* sent */
	uint64_t lost; /* by loss_probability only */
	uint64_t duplicated;
	uint64_t delayed;
	uint64_t buffered; /* received during a pause */
	uint64_t pauses; /* of hosts */
};

/* Returns a new fleet, owned by ctx, whose hosts are stopped. sim is borrowed;
 * config is copied. Aborts when memory runs out. */
fleet_t *fleet_create(TALLOC_CTX *ctx, sim_t *sim,
		      const fleet_config_t *config);

/* Adds a part (borrowed) and returns its index. Must be called before the hosts
 * start. Parts run in the order in which they were added. */
size_t fleet_add_part(fleet_t *fleet, const fleet_part_t *part);

/* Starts a host with a new incarnation and a clock with a random time. table
 * and roster are borrowed. */
void fleet_start_host(fleet_host_t *host, const table_t *table,
		      const roster_t *roster);

/* Ends the process of a host at once and frees its states. */
void fleet_stop_host(fleet_host_t *host);

/* Pauses a running host for length_us of true time. */
void fleet_pause_host(fleet_host_t *host, int64_t length_us);

/* Returns false when the host does not run or is paused. Otherwise advances its
 * clock to the current time and returns true. Must be called before code of the
 * host runs. */
bool fleet_host_sync_clock(fleet_host_t *host);

/* Returns the time that the clock of a host has reached, even if the host is
 * paused, in microseconds. */
int64_t fleet_host_time(const fleet_host_t *host);

/* Offers a table and a roster (borrowed) to a host, which adopts each of them
 * if it is newer. Does nothing while the host does not run or is paused. */
void fleet_set_view(fleet_host_t *host, const table_t *table,
		    const roster_t *roster);

/* Returns whether no partition stops messages from a to b. */
bool fleet_passes(const fleet_host_t *a, const fleet_host_t *b);

/* Returns the host with an id, or NULL. */
fleet_host_t *fleet_find_host(fleet_t *fleet, cas_id_t id);

/* Returns the id of the data centre with an index. */
cas_id_t fleet_dc_id(size_t dc);

/* Sends size bytes to the same part (index) of another host. The network may
 * lose, duplicate or delay the message. kind is passed on. If wire_bytes is not
 * 0, the message and its wire_bytes are added to the counters of the sender. */
void fleet_send(fleet_host_t *from, cas_id_t to, size_t part, int kind,
		const void *bytes, size_t size, size_t wire_bytes);

#endif
