/*
 * Control messages between daemons: ONC RPC (RFC 5531) over one UDP socket.
 * Every call and reply is authenticated with the fleet secrets and bound to
 * its receiver. Delivery is at most once: messages may be lost and are not sent
 * again. Malformed, forged and replayed messages are dropped and counted.
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
/* Procedure numbers are 0 to PEER_PROC_COUNT - 1. */
#define PEER_PROC_COUNT 16

/* How long the daemon of a host that was taken off the host list may still make
 * the calls that are open to it: longer than it takes a host to leave. */
#define PEER_DEPARTED_KEEP_US (60 * CAS_USEC_PER_SEC)

/* The endpoint of the own daemon, which talks to all other daemons. */
typedef struct peer peer_t;

typedef struct peer_settings {
	cas_id_t self; /* the own host */
	uint64_t incarnation; /* from peer_incarnation_new */
	struct in_addr bind_address;
	uint16_t port; /* host byte order, 0: chosen by the kernel */
	fleet_secrets_t secrets;
} peer_settings_t;

/*
 * Types and handlers of one procedure. peer frees the decoded arguments and
 * replies after the handler returns. on_call serves a call: it fills the zeroed
 * reply and returns 0, or a negative number to send no reply. Memory that the
 * reply points to stays owned by the handler and must live until its next call.
 * on_reply receives the reply to an own call and may be NULL.
 */
typedef struct peer_proc {
	xdrproc_t args_xdr;
	size_t args_size; /* of the decoded struct, in bytes */
	xdrproc_t reply_xdr;
	size_t reply_size; /* of the decoded struct, in bytes */
	int (*on_call)(cas_id_t from, uint64_t incarnation, void *args,
		       void *reply, void *private_data);
	void (*on_reply)(cas_id_t from, uint64_t incarnation, void *reply,
			 void *private_data);
	void *private_data;
	/* Hosts that have been taken off the host list may call it, and it may
	 * be called there. */
	bool is_open_to_departed;
} peer_proc_t;

/* Called for a signed call of a host that is not in the host list, which may be
 * outdated then. The call itself is dropped; it may be a replayed one. Returns
 * whether something was done about it. Further calls of the host are then ignored
 * for PEER_UNLISTED_PERIOD_US, as it may stay unlisted: its upstream has ended. */
typedef bool (*peer_unlisted_t)(cas_id_t from, void *private_data);
#define PEER_UNLISTED_PERIOD_US (10 * CAS_USEC_PER_SEC)

/* Datagrams and bytes (UDP payload) since peer_create. A received datagram is
 * also counted when it is dropped. */
typedef struct peer_counters {
	int64_t sent_messages;
	int64_t sent_bytes;
	int64_t received_messages;
	int64_t received_bytes;
	int64_t send_failures;
	int64_t dropped_mac; /* wrong MAC */
	int64_t dropped_replay; /* repeated, or older than the replay window */
	int64_t dropped_incarnation; /* from an earlier incarnation */
	int64_t dropped_oversized;
	int64_t dropped_malformed;
	int64_t dropped_sender; /* not in the host list */
	int64_t dropped_secret; /* secret id is not known */
	int64_t dropped_reply; /* no call is waiting for it */
} peer_counters_t;

/* Returns a new incarnation: milliseconds since 1970 in the upper 44 bits and
 * 20 random bits. It is higher than all earlier ones of this host as long as
 * the wall clock is not set back. */
uint64_t peer_incarnation_new(void);

/*
 * Opens the socket. Returns a new peer owned by ctx, or NULL with the error
 * number in *error: PEER_ENOMEM, PEER_ESOCKET, or PEER_ESECRET when no first
 * secret is set or libsodium does not start. ev and clock are borrowed and must
 * outlive it.
 */
peer_t *peer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
		    const cas_clock_t *clock, const peer_settings_t *settings,
		    int *error);

/* Returns the bound UDP port in host byte order, or 0 on error. */
uint16_t peer_port(const peer_t *peer);

/* Copies the addresses from a host list; only its hosts are accepted as
 * senders. Hosts that stay in the list keep their replay window. Returns 0 or
 * PEER_ENOMEM. */
int peer_set_roster(peer_t *peer, const roster_t *roster);

/* Replaces the fleet secrets. Returns 0, or PEER_ESECRET when no first secret
 * is set. */
int peer_set_secrets(peer_t *peer, const fleet_secrets_t *secrets);

/* Copies the handlers of a procedure. Returns 0, or PEER_EINVAL when the
 * procedure number or a size is too large or an XDR filter is missing. */
int peer_register(peer_t *peer, uint32_t proc, const peer_proc_t *handlers);

/* Sets the handler of calls of unlisted hosts; NULL: none. */
void peer_on_unlisted(peer_t *peer, peer_unlisted_t handler,
		      void *private_data);

/*
 * Sends one call. Returns 0, PEER_EHOST, PEER_EINVAL for a procedure without
 * handlers, PEER_EOVERSIZED, or PEER_ESOCKET when the kernel did not accept the
 * datagram. 0 does not mean that the call arrives.
 */
int peer_send(peer_t *peer, cas_id_t to, uint32_t proc, const void *args);

/* Returns the counters (borrowed). */
const peer_counters_t *peer_counters(const peer_t *peer);

#endif
