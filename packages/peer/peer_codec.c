/* ONC RPC messages (RFC 5531) with an authentication flavor of their own. */
#include "peer_codec.h"

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <string.h>

#include "cassia/wire.h"

/* Flavor of credentials and verifiers, private to this program. */
#define AUTH_FLAVOR_CASSIA 0x2CA55101
/* Credential of a call: sender, incarnation, sequence number, secret id. */
#define CALL_CRED_BYTES 28
/* The verifier of a call is the MAC; that of a reply has the replying host's
 * incarnation, the secret id and the MAC. */
#define CALL_VERF_BYTES FLEET_MAC_BYTES
#define REPLY_VERF_BYTES (12 + FLEET_MAC_BYTES)
/* Offsets of the MACs in bytes. A call has six 32-bit words before the
 * credential, a reply three before the verifier. Credential and verifier start
 * with two words, their flavor and length. */
#define CALL_MAC_OFFSET (24 + 8 + CALL_CRED_BYTES + 8)
#define REPLY_MAC_OFFSET (12 + 8 + 12)

/* Domain separators of the MACs, see fleet_sign. */
static const cas_str_t call_purpose = { "cassia call", 11 };
static const cas_str_t reply_purpose = { "cassia reply", 12 };
static const uint8_t zero_mac[FLEET_MAC_BYTES];

/* Integers of credentials, verifiers and bindings are big-endian, as in XDR. */
static void put_u64(uint8_t *out, uint64_t value)
{
	for (int i = 7; i >= 0; i--) {
		out[i] = (uint8_t)value;
		value >>= 8;
	}
}

static uint64_t get_u64(const uint8_t *in)
{
	uint64_t value = 0;

	for (int i = 0; i < 8; i++)
		value = (value << 8) | in[i];
	return value;
}

static void put_u32(uint8_t *out, uint32_t value)
{
	for (int i = 3; i >= 0; i--) {
		out[i] = (uint8_t)value;
		value >>= 8;
	}
}

static uint32_t get_u32(const uint8_t *in)
{
	return (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 |
	       (uint32_t)in[2] << 8 | in[3];
}

/* Sets the parts that a MAC covers: the binding, which is not sent, and the
 * message with zeros in place of the MAC. */
static void set_mac_parts(fleet_mac_part_t parts[4], const uint8_t *data,
			  size_t len, size_t mac_offset, const uint8_t *binding,
			  size_t binding_len)
{
	size_t rest = mac_offset + FLEET_MAC_BYTES;

	parts[0] = (fleet_mac_part_t){ binding, binding_len };
	parts[1] = (fleet_mac_part_t){ data, mac_offset };
	parts[2] = (fleet_mac_part_t){ zero_mac, sizeof(zero_mac) };
	parts[3] = (fleet_mac_part_t){ data + rest, len - rest };
}

/* Writes the header fields that the MAC of a reply covers but that are not
 * sent. */
static void encode_reply_binding(const peer_reply_t *reply, uint8_t out[28])
{
	put_u64(out, reply->from);
	put_u64(out + 8, reply->to);
	put_u64(out + 16, reply->to_incarnation);
	put_u32(out + 24, reply->proc);
}

/* Writes the MAC of an encoded message at mac_offset. Returns 0 or
 * PEER_ESECRET. */
static int sign(const fleet_secrets_t *secrets, cas_str_t purpose,
		uint8_t *data, size_t len, size_t mac_offset,
		const uint8_t *binding, size_t binding_len)
{
	fleet_mac_part_t parts[4];
	uint8_t mac[FLEET_MAC_BYTES];
	uint32_t secret_id;
	int error;

	set_mac_parts(parts, data, len, mac_offset, binding, binding_len);
	error = fleet_sign(secrets, purpose, parts, 4, mac, &secret_id);
	if (!error)
		memcpy(data + mac_offset, mac, sizeof(mac));
	return error;
}

int peer_codec_encode_call(const fleet_secrets_t *secrets,
			   const peer_call_t *call, cas_id_t to,
			   xdrproc_t args_xdr, const void *args, uint8_t *out)
{
	uint8_t cred[CALL_CRED_BYTES];
	uint8_t verf[CALL_VERF_BYTES] = { 0 };
	uint8_t binding[8];
	struct rpc_msg msg = { .rm_xid = call->xid, .rm_direction = CALL };
	XDR xdr;
	size_t len;
	int error;

	put_u64(cred, call->from);
	put_u64(cred + 8, call->incarnation);
	put_u64(cred + 16, call->sequence);
	put_u32(cred + 24, secrets->entries[0].id);
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = CASSIA_PROG;
	msg.rm_call.cb_vers = CASSIA_VERS;
	msg.rm_call.cb_proc = call->proc;
	msg.rm_call.cb_cred =
		(struct opaque_auth){ AUTH_FLAVOR_CASSIA, (char *)cred,
				      sizeof(cred) };
	msg.rm_call.cb_verf =
		(struct opaque_auth){ AUTH_FLAVOR_CASSIA, (char *)verf,
				      sizeof(verf) };
	xdrmem_create(&xdr, (char *)out, PEER_MAX_BYTES, XDR_ENCODE);
	if (!xdr_callmsg(&xdr, &msg) || !args_xdr(&xdr, (void *)args))
		return PEER_EOVERSIZED;
	len = xdr_getpos(&xdr);
	put_u64(binding, to);
	error = sign(secrets, call_purpose, out, len, CALL_MAC_OFFSET, binding,
		     sizeof(binding));
	return error ? error : (int)len;
}

int peer_codec_encode_reply(const fleet_secrets_t *secrets,
			    const peer_reply_t *reply, xdrproc_t result_xdr,
			    const void *result, uint8_t *out)
{
	uint8_t verf[REPLY_VERF_BYTES] = { 0 };
	uint8_t binding[28];
	struct rpc_msg msg = { .rm_xid = reply->xid, .rm_direction = REPLY };
	XDR xdr;
	size_t len;
	int error;

	put_u64(verf, reply->incarnation);
	put_u32(verf + 8, secrets->entries[0].id);
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf =
		(struct opaque_auth){ AUTH_FLAVOR_CASSIA, (char *)verf,
				      sizeof(verf) };
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.where = (char *)result;
	msg.acpted_rply.ar_results.proc = result_xdr;
	xdrmem_create(&xdr, (char *)out, PEER_MAX_BYTES, XDR_ENCODE);
	if (!xdr_replymsg(&xdr, &msg))
		return PEER_EOVERSIZED;
	len = xdr_getpos(&xdr);
	encode_reply_binding(reply, binding);
	error = sign(secrets, reply_purpose, out, len, REPLY_MAC_OFFSET,
		     binding, sizeof(binding));
	return error ? error : (int)len;
}

int peer_codec_is_reply(const uint8_t *data, size_t len, uint32_t *xid)
{
	uint32_t direction;

	if (len < 8)
		return PEER_EMALFORMED;
	*xid = get_u32(data);
	direction = get_u32(data + 4);
	if (direction != CALL && direction != REPLY)
		return PEER_EMALFORMED;
	return direction == REPLY;
}

/* XDR filter that reads no result: peer_codec_decode_body decodes the result
 * after the message has been authenticated. */
static bool_t skip_results(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

/* Returns whether a credential or verifier has the own flavor and length
 * len. */
static bool auth_matches(const struct opaque_auth *auth, size_t len)
{
	return auth->oa_flavor == AUTH_FLAVOR_CASSIA && auth->oa_length == len;
}

int peer_codec_open_call(const fleet_secrets_t *secrets, cas_id_t self,
			 const uint8_t *data, size_t len, peer_call_t *call)
{
	uint8_t cred[MAX_AUTH_BYTES];
	uint8_t verf[MAX_AUTH_BYTES];
	uint8_t binding[8];
	struct rpc_msg msg = { 0 };
	fleet_mac_part_t parts[4];
	XDR xdr;
	int error;

	if (len > PEER_MAX_BYTES)
		return PEER_EOVERSIZED;
	msg.rm_call.cb_cred.oa_base = (char *)cred;
	msg.rm_call.cb_verf.oa_base = (char *)verf;
	xdrmem_create(&xdr, (char *)data, (unsigned int)len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg) || msg.rm_call.cb_prog != CASSIA_PROG ||
	    msg.rm_call.cb_vers != CASSIA_VERS ||
	    !auth_matches(&msg.rm_call.cb_cred, CALL_CRED_BYTES) ||
	    !auth_matches(&msg.rm_call.cb_verf, CALL_VERF_BYTES))
		return PEER_EMALFORMED;
	call->xid = msg.rm_xid;
	call->proc = msg.rm_call.cb_proc;
	call->from = get_u64(cred);
	call->incarnation = get_u64(cred + 8);
	call->sequence = get_u64(cred + 16);
	call->secret_id = get_u32(cred + 24);
	put_u64(binding, self);
	set_mac_parts(parts, data, len, CALL_MAC_OFFSET, binding,
		      sizeof(binding));
	error = fleet_verify(secrets, call_purpose, parts, 4,
			     data + CALL_MAC_OFFSET, call->secret_id);
	return error ? error : (int)xdr_getpos(&xdr);
}

int peer_codec_open_reply(const fleet_secrets_t *secrets, const uint8_t *data,
			  size_t len, peer_reply_t *reply)
{
	uint8_t verf[MAX_AUTH_BYTES];
	uint8_t binding[28];
	struct rpc_msg msg = { 0 };
	fleet_mac_part_t parts[4];
	XDR xdr;
	int error;

	if (len > PEER_MAX_BYTES)
		return PEER_EOVERSIZED;
	msg.acpted_rply.ar_verf.oa_base = (char *)verf;
	msg.acpted_rply.ar_results.proc = skip_results;
	xdrmem_create(&xdr, (char *)data, (unsigned int)len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &msg) || msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS || msg.rm_xid != reply->xid ||
	    !auth_matches(&msg.acpted_rply.ar_verf, REPLY_VERF_BYTES))
		return PEER_EMALFORMED;
	reply->incarnation = get_u64(verf);
	encode_reply_binding(reply, binding);
	set_mac_parts(parts, data, len, REPLY_MAC_OFFSET, binding,
		      sizeof(binding));
	error = fleet_verify(secrets, reply_purpose, parts, 4,
			     data + REPLY_MAC_OFFSET, get_u32(verf + 8));
	return error ? error : (int)xdr_getpos(&xdr);
}

int peer_codec_decode_body(const uint8_t *data, size_t len, int offset,
			   xdrproc_t body_xdr, void *body)
{
	unsigned int body_len = (unsigned int)(len - (size_t)offset);
	XDR stream;

	xdrmem_create(&stream, (char *)data + offset, body_len, XDR_DECODE);
	if (!body_xdr(&stream, body) || xdr_getpos(&stream) != body_len) {
		xdr_free(body_xdr, body);
		return PEER_EMALFORMED;
	}
	return 0;
}
