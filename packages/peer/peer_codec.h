/*
 * Encodes, decodes and authenticates ONC RPC messages without a socket. A call
 * names its sender in the credential. A reply is matched by its transaction id
 * (xid) to a call of the receiver, which determines the sender and procedure.
 */
#ifndef CASSIA_PEER_CODEC_H
#define CASSIA_PEER_CODEC_H

#include <rpc/xdr.h>
#include <stdint.h>

#include "cassia/fleet_secret.h"
#include "cassia/hash.h"
#include "cassia/peer.h"

/* Header of a call. */
typedef struct peer_call {
	uint32_t xid;
	uint32_t proc;
	cas_id_t from;
	uint64_t incarnation;
	uint64_t sequence; /* for the receiver's replay window */
	uint32_t secret_id; /* set by peer_codec_open_call */
} peer_call_t;

/* Header of a reply. Its MAC covers fields that are not sent, since both sides
 * know them from the call: proc, from, to and to_incarnation. */
typedef struct peer_reply {
	uint32_t xid;
	uint32_t proc;
	cas_id_t from; /* the host that replies */
	cas_id_t to; /* the host that made the call */
	uint64_t to_incarnation;
	uint64_t incarnation; /* of from; set by peer_codec_open_reply */
} peer_reply_t;

/* Write a message with its MAC to out, which has room for PEER_MAX_BYTES.
 * Return its size in bytes, or PEER_EOVERSIZED or PEER_ESECRET. */
int peer_codec_encode_call(const fleet_secrets_t *secrets,
			   const peer_call_t *call, cas_id_t to,
			   xdrproc_t args_xdr, const void *args, uint8_t *out);
int peer_codec_encode_reply(const fleet_secrets_t *secrets,
			    const peer_reply_t *reply, xdrproc_t result_xdr,
			    const void *result, uint8_t *out);

/* Reads the xid of an unauthenticated message. Returns 1 for a reply, 0 for a
 * call, or PEER_EMALFORMED. */
int peer_codec_is_reply(const uint8_t *data, size_t len, uint32_t *xid);

/*
 * Reads the header of a call to the host self and checks its MAC. Returns the
 * offset of the arguments in bytes, or PEER_EMALFORMED, PEER_EOVERSIZED,
 * PEER_EMAC or PEER_ESECRET.
 */
int peer_codec_open_call(const fleet_secrets_t *secrets, cas_id_t self,
			 const uint8_t *data, size_t len, peer_call_t *call);

/* The same for a reply; the offset is that of the result. The caller sets all
 * fields of reply except incarnation from the call that it made. */
int peer_codec_open_reply(const fleet_secrets_t *secrets, const uint8_t *data,
			  size_t len, peer_reply_t *reply);

/* Decodes the arguments or result of a message, which start at offset and
 * extend to its end, into the zeroed body. On success the caller frees it with
 * xdr_free. Returns 0 or PEER_EMALFORMED. */
int peer_codec_decode_body(const uint8_t *data, size_t len, int offset,
			   xdrproc_t body_xdr, void *body);

#endif
