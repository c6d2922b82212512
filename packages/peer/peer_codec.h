/*
 * Encodes, decodes and authenticates messages without a socket. A call carries
 * its sender in the credential; a reply is matched by its xid to a call that
 * the receiver made, which tells the expected sender and procedure.
 */
#ifndef CASSIA_PEER_CODEC_H
#define CASSIA_PEER_CODEC_H

#include <rpc/xdr.h>
#include <stdint.h>

#include "cassia/fleet_secret.h"
#include "cassia/hash.h"
#include "cassia/peer.h"

typedef struct peer_call {
	uint32_t xid;
	uint32_t proc;
	cas_id_t from;
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t secret_id; /* set by decoding */
} peer_call_t;

/* What a reply is bound to, known to both sides. */
typedef struct peer_reply {
	uint32_t xid;
	uint32_t proc;
	cas_id_t from; /* the host that replies */
	cas_id_t to;
	uint64_t to_incarnation;
	uint64_t incarnation; /* of from; set by decoding */
} peer_reply_t;

/* Encoders write a signed message of at most PEER_MAX_BYTES and return its
 * size in bytes, or PEER_EOVERSIZED or PEER_ESECRET. */
int peer_codec_encode_call(const fleet_secrets_t *secrets,
			   const peer_call_t *call, cas_id_t to,
			   xdrproc_t args_xdr, const void *args, uint8_t *out);
int peer_codec_encode_reply(const fleet_secrets_t *secrets,
			    const peer_reply_t *reply, xdrproc_t result_xdr,
			    const void *result, uint8_t *out);

/* Returns 1 for a reply, 0 for a call, or PEER_EMALFORMED. */
int peer_codec_is_reply(const uint8_t *data, size_t len, uint32_t *xid);

/*
 * Authenticates a call to the host self. Returns the offset of the arguments,
 * or PEER_EMALFORMED, PEER_EOVERSIZED, PEER_EMAC or PEER_ESECRET.
 */
int peer_codec_open_call(const fleet_secrets_t *secrets, cas_id_t self,
			 const uint8_t *data, size_t len, peer_call_t *call);

/* Authenticates a reply. All fields of reply but incarnation are set by the
 * caller from the call that was made. Returns as peer_codec_open_call. */
int peer_codec_open_reply(const fleet_secrets_t *secrets, const uint8_t *data,
			  size_t len, peer_reply_t *reply);

/* Decodes all bytes from offset on into the zeroed body. On success the caller
 * frees it with xdr_free. Returns 0 or PEER_EMALFORMED. */
int peer_codec_body(const uint8_t *data, size_t len, int offset, xdrproc_t xdr,
		    void *body);

#endif
