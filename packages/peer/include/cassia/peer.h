/*
 * Control messages between daemons: ONC RPC (RFC 5531) over one UDP socket.
 * Every call and reply is authenticated with the fleet secrets and bound to
 * its receiver. Messages may be lost, and are never delivered twice. What is
 * malformed, forged or replayed is dropped and counted.
 */
#ifndef CASSIA_PEER_H
#define CASSIA_PEER_H

#include <netinet/in.h>
#include <rpc/xdr.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "cassia/clock.h"
#include "cassia/fleet_secret.h"
#include "cassia/hash.h"
#include "cassia/peer_error.h"
#include "cassia/roster.h"

/* Largest datagram in bytes, without UDP and IP headers. */
#define PEER_MAX_BYTES 1200
/* Procedures are numbered from 0 to below this. */
#define PEER_PROC_COUNT 16

typedef struct peer peer_t;

typedef struct peer_settings {
	cas_id_t self;
	uint64_t incarnation; /* from peer_incarnation_new */
	struct in_addr bind_address;
	uint16_t port; /* host byte order, 0: the kernel chooses */
	fleet_secrets_t secrets;
} peer_settings_t;

/*
 * Handlers of one procedure. Arguments and replies are freed by peer after the
 * handler returns. on_call fills the zeroed reply; what the reply points to
 * stays owned by the handler and must live until its next call. on_call
 * returns 0, or a negative number to send no reply.
 */
typedef struct peer_proc {
	xdrproc_t args_xdr;
	size_t args_size;
	xdrproc_t reply_xdr;
	size_t reply_size;
	int (*on_call)(cas_id_t from, uint64_t incarnation, void *args,
		       void *reply, void *private_data);
	void (*on_reply)(cas_id_t from, uint64_t incarnation, void *reply,
			 void *private_data);
	void *private_data;
} peer_proc_t;

/* Datagrams and bytes (UDP payload) since the start. */
typedef struct peer_counters {
	int64_t sent_messages;
	int64_t sent_bytes;
	int64_t received_messages;
	int64_t received_bytes;
	int64_t send_failures;
	int64_t dropped_mac;
	int64_t dropped_replay; /* also sequences before the window */
	int64_t dropped_incarnation;
	int64_t dropped_oversized;
	int64_t dropped_malformed;
	int64_t dropped_sender; /* not in the host list */
	int64_t dropped_secret;
	int64_t dropped_reply; /* no call waits for it */
} peer_counters_t;

/* Returns an incarnation that is higher than those drawn earlier on this host
 * while its wall clock runs forward: milliseconds since 1970 and 20 random
 * bits. */
uint64_t peer_incarnation_new(void);

/*
 * Opens the socket. Returns a new peer owned by ctx, or NULL with the error
 * number in *error (PEER_ENOMEM, PEER_ESOCKET, PEER_ESECRET). ev and clock are
 * borrowed and must outlive it.
 */
peer_t *peer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
		    const cas_clock_t *clock, const peer_settings_t *settings,
		    int *error);

/* Returns the bound UDP port in host byte order. */
uint16_t peer_port(const peer_t *peer);

/* Takes addresses and the accepted senders from a host list, which is copied.
 * Replay windows of hosts that stay are kept. Returns 0 or PEER_ENOMEM. */
int peer_set_roster(peer_t *peer, const roster_t *roster);

/* Replaces the fleet secrets. Returns 0 or PEER_ESECRET. */
int peer_set_secrets(peer_t *peer, const fleet_secrets_t *secrets);

/* Installs the handlers of a procedure. Returns 0 or PEER_EINVAL. */
int peer_register(peer_t *peer, uint32_t proc, const peer_proc_t *handlers);

/*
 * Sends one call. Returns 0, PEER_EHOST, PEER_EINVAL for a procedure without
 * handlers, PEER_EOVERSIZED, or PEER_ESOCKET when the datagram was not taken.
 * 0 does not mean that it arrives.
 */
int peer_send(peer_t *peer, cas_id_t to, uint32_t proc, const void *args);

/* Returns the counters (borrowed). */
const peer_counters_t *peer_counters(const peer_t *peer);

#endif
