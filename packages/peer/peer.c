/* The UDP socket, the replay windows of the senders and the calls that wait for
 * replies. */
#include "cassia/peer.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "peer_codec.h"
#include "peer_window.h"

/* Calls that can wait for a reply; a later call takes the slot of the one made
 * this many calls before it. A power of two, so that slots stay distinct when
 * the xid wraps around. */
#define PENDING_CALL_COUNT 512
/* Datagrams read per wakeup, so that other events are handled in between. */
#define READ_BATCH 64
/* Largest decoded argument or reply struct. */
#define BODY_MAX_BYTES 4096
/* A reply that arrives later than this after its call is dropped. */
#define REPLY_MAX_US (10 * CAS_USEC_PER_SEC)

/* A call that may still get a reply. */
typedef struct pending_call {
	uint32_t xid;
	uint32_t proc;
	cas_id_t to; /* 0: free slot */
	int64_t sent_us;
} pending_call_t;

/* A host that is or was in the host list, and its replay window. */
typedef struct remote {
	cas_id_t id;
	struct sockaddr_in address;
	int64_t departed_us; /* when it was taken off the list, 0: listed */
	peer_window_t window;
} remote_t;

/* An unlisted host whose calls are ignored for a while. */
typedef struct unlisted_host {
	cas_id_t id;
	int64_t ignored_until_us;
} unlisted_host_t;

#define UNLISTED_MAX 8

struct peer {
	const cas_clock_t *clock;
	peer_settings_t settings;
	int fd;
	uint32_t next_xid;
	uint64_t sequence; /* of the last call, to whichever host */
	remote_t *remotes; /* sorted by id */
	size_t remote_count;
	pending_call_t pending[PENDING_CALL_COUNT]; /* slot: xid modulo count */
	peer_proc_t procs[PEER_PROC_COUNT]; /* by procedure number */
	peer_counters_t counters;
	peer_unlisted_t on_unlisted; /* may be NULL */
	void *unlisted_private; /* argument of on_unlisted */
	unlisted_host_t
		unlisted[UNLISTED_MAX]; /* ring of those to be ignored */
	size_t next_unlisted;
};

uint64_t peer_incarnation_new(void)
{
	struct timespec ts;
	uint64_t msec;

	clock_gettime(CLOCK_REALTIME, &ts);
	msec = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	return (msec << 20) | (randombytes_random() & 0xfffff);
}

/* Comparison function of bsearch. */
static int compare_id_to_remote(const void *key, const void *element)
{
	cas_id_t id = *(const cas_id_t *)key;
	cas_id_t other = ((const remote_t *)element)->id;

	return (id > other) - (id < other);
}

/* Returns a borrowed pointer, or NULL when the host is unknown. */
static remote_t *find_remote(const peer_t *peer, cas_id_t id)
{
	if (!peer->remote_count)
		return NULL;
	return bsearch(&id, peer->remotes, peer->remote_count,
		       sizeof(*peer->remotes), compare_id_to_remote);
}

/* Comparison function of qsort. */
static int compare_remotes(const void *a, const void *b)
{
	return compare_id_to_remote(&((const remote_t *)a)->id, b);
}

static bool has_departed(const remote_t *remote)
{
	return remote->departed_us != 0;
}

/* Counts a datagram that was dropped for the given error. */
static void count_dropped(peer_t *peer, int error)
{
	peer_counters_t *counters = &peer->counters;

	switch (error) {
	case PEER_EMAC:
		counters->dropped_mac++;
		break;
	case PEER_ESECRET:
		counters->dropped_secret++;
		break;
	case PEER_EREPLAY:
		counters->dropped_replay++;
		break;
	case PEER_EINCARNATION:
		counters->dropped_incarnation++;
		break;
	case PEER_EOVERSIZED:
		counters->dropped_oversized++;
		break;
	case PEER_EHOST:
		counters->dropped_sender++;
		break;
	default:
		counters->dropped_malformed++;
		break;
	}
}

static int send_datagram(peer_t *peer, const struct sockaddr_in *to,
			 const uint8_t *data, size_t len)
{
	ssize_t sent = sendto(peer->fd, data, len, MSG_DONTWAIT,
			      (const struct sockaddr *)to, sizeof(*to));

	if (sent != (ssize_t)len) {
		peer->counters.send_failures++;
		return PEER_ESOCKET;
	}
	peer->counters.sent_messages++;
	peer->counters.sent_bytes += sent;
	return 0;
}

/* Returns whether the procedure may be called by the host, and there. */
static bool is_reachable(const peer_t *peer, const remote_t *remote,
			 uint32_t proc)
{
	if (!has_departed(remote))
		return true;
	return proc < PEER_PROC_COUNT &&
	       peer->procs[proc].is_open_to_departed &&
	       cas_clock_now(peer->clock) - remote->departed_us <
		       PEER_DEPARTED_KEEP_US;
}

int peer_send(peer_t *peer, cas_id_t to, uint32_t proc, const void *args)
{
	remote_t *remote = find_remote(peer, to);
	peer_call_t call = {
		.proc = proc,
		.from = peer->settings.self,
		.incarnation = peer->settings.incarnation,
	};
	uint8_t data[PEER_MAX_BYTES];
	int len;

	if (!remote)
		return PEER_EHOST;
	if (proc >= PEER_PROC_COUNT || !peer->procs[proc].args_xdr)
		return PEER_EINVAL;
	if (!is_reachable(peer, remote, proc))
		return PEER_EHOST;
	call.xid = peer->next_xid++;
	call.sequence = ++peer->sequence;
	len = peer_codec_encode_call(&peer->settings.secrets, &call, to,
				     peer->procs[proc].args_xdr, args, data);
	if (len < 0)
		return len;
	peer->pending[call.xid % PENDING_CALL_COUNT] =
		(pending_call_t){ .xid = call.xid,
				  .proc = proc,
				  .to = to,
				  .sent_us = cas_clock_now(peer->clock) };
	return send_datagram(peer, &remote->address, data, (size_t)len);
}

static void send_reply(peer_t *peer, const peer_call_t *call,
		       const void *result, const struct sockaddr_in *source)
{
	peer_reply_t reply = {
		.xid = call->xid,
		.proc = call->proc,
		.from = peer->settings.self,
		.to = call->from,
		.to_incarnation = call->incarnation,
		.incarnation = peer->settings.incarnation,
	};
	uint8_t data[PEER_MAX_BYTES];
	int len;

	len = peer_codec_encode_reply(&peer->settings.secrets, &reply,
				      peer->procs[call->proc].reply_xdr, result,
				      data);
	if (len < 0) {
		peer->counters.send_failures++;
		return;
	}
	send_datagram(peer, source, data, (size_t)len);
}

static bool is_ignored(const peer_t *peer, cas_id_t host)
{
	int64_t now = cas_clock_now(peer->clock);

	for (size_t i = 0; i < UNLISTED_MAX; i++)
		if (peer->unlisted[i].id == host &&
		    now < peer->unlisted[i].ignored_until_us)
			return true;
	return false;
}

static void report_unlisted(peer_t *peer, cas_id_t id)
{
	if (!peer->on_unlisted || is_ignored(peer, id) ||
	    !peer->on_unlisted(id, peer->unlisted_private))
		return;
	peer->unlisted[peer->next_unlisted] =
		(unlisted_host_t){ id, cas_clock_now(peer->clock) +
					       PEER_UNLISTED_PERIOD_US };
	peer->next_unlisted = (peer->next_unlisted + 1) % UNLISTED_MAX;
}

/* Returns 0, or the error for which the datagram is dropped. */
static int handle_call(peer_t *peer, const uint8_t *data, size_t len,
		       const struct sockaddr_in *source)
{
	_Alignas(max_align_t) uint8_t args[BODY_MAX_BYTES] = { 0 };
	_Alignas(max_align_t) uint8_t result[BODY_MAX_BYTES] = { 0 };
	peer_call_t call;
	const peer_proc_t *proc;
	remote_t *remote;
	int offset = peer_codec_open_call(
		&peer->settings.secrets, peer->settings.self, data, len, &call);
	int error;

	if (offset < 0)
		return offset;
	remote = find_remote(peer, call.from);
	if (!remote)
		report_unlisted(peer, call.from);
	if (!remote || !is_reachable(peer, remote, call.proc))
		return PEER_EHOST;
	error = peer_window_accept(&remote->window, call.incarnation,
				   call.sequence);
	if (error)
		return error;
	if (call.proc >= PEER_PROC_COUNT || !peer->procs[call.proc].on_call)
		return PEER_EMALFORMED;
	proc = &peer->procs[call.proc];
	error = peer_codec_decode_body(data, len, offset, proc->args_xdr, args);
	if (error)
		return error;
	error = proc->on_call(call.from, call.incarnation, args, result,
			      proc->private_data);
	xdr_free(proc->args_xdr, args);
	if (!error)
		send_reply(peer, &call, result, source);
	return 0;
}

/* Returns as handle_call; a reply without a waiting call is counted here. */
static int handle_reply(peer_t *peer, const uint8_t *data, size_t len,
			uint32_t xid)
{
	_Alignas(max_align_t) uint8_t result[BODY_MAX_BYTES] = { 0 };
	pending_call_t *pending = &peer->pending[xid % PENDING_CALL_COUNT];
	peer_reply_t reply = {
		.xid = xid,
		.proc = pending->proc,
		.from = pending->to,
		.to = peer->settings.self,
		.to_incarnation = peer->settings.incarnation,
	};
	const peer_proc_t *proc;
	remote_t *remote;
	int offset;
	int error;

	if (!pending->to || pending->xid != xid ||
	    cas_clock_now(peer->clock) - pending->sent_us > REPLY_MAX_US) {
		peer->counters.dropped_reply++;
		return 0;
	}
	offset = peer_codec_open_reply(&peer->settings.secrets, data, len,
				       &reply);
	if (offset < 0)
		return offset;
	remote = find_remote(peer, reply.from);
	if (!remote)
		return PEER_EHOST;
	error = peer_window_update_incarnation(&remote->window,
					       reply.incarnation);
	if (error)
		return error;
	pending->to = 0;
	proc = &peer->procs[reply.proc];
	error = peer_codec_decode_body(data, len, offset, proc->reply_xdr,
				       result);
	if (error)
		return error;
	if (proc->on_reply)
		proc->on_reply(reply.from, reply.incarnation, result,
			       proc->private_data);
	xdr_free(proc->reply_xdr, result);
	return 0;
}

static void handle_datagram(peer_t *peer, const uint8_t *data, size_t len,
			    const struct sockaddr_in *source)
{
	uint32_t xid;
	int is_reply;
	int error;

	peer->counters.received_messages++;
	peer->counters.received_bytes += (int64_t)len;
	is_reply = len > PEER_MAX_BYTES ? PEER_EOVERSIZED
					: peer_codec_is_reply(data, len, &xid);
	if (is_reply < 0)
		error = is_reply;
	else if (is_reply)
		error = handle_reply(peer, data, len, xid);
	else
		error = handle_call(peer, data, len, source);
	if (error)
		count_dropped(peer, error);
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	peer_t *peer = private_data;
	uint8_t data[PEER_MAX_BYTES + 1]; /* room to see that it is oversized */
	struct sockaddr_in source;

	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < READ_BATCH; i++) {
		socklen_t size = sizeof(source);
		ssize_t len =
			recvfrom(peer->fd, data, sizeof(data), MSG_DONTWAIT,
				 (struct sockaddr *)&source, &size);

		if (len < 0)
			return;
		handle_datagram(peer, data, (size_t)len, &source);
	}
}

static int peer_destroy(peer_t *peer)
{
	if (peer->fd >= 0)
		close(peer->fd);
	sodium_memzero(&peer->settings.secrets, sizeof(fleet_secrets_t));
	return 0;
}

static int open_socket(peer_t *peer, struct tevent_context *ev)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(peer->settings.port),
		.sin_addr = peer->settings.bind_address,
	};

	peer->fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peer->fd < 0 ||
	    bind(peer->fd, (struct sockaddr *)&address, sizeof(address)))
		return PEER_ESOCKET;
	if (!tevent_add_fd(ev, peer, peer->fd, TEVENT_FD_READ, on_readable,
			   peer))
		return PEER_ENOMEM;
	return 0;
}

peer_t *peer_create(TALLOC_CTX *ctx, struct tevent_context *ev,
		    const cas_clock_t *clock, const peer_settings_t *settings,
		    int *error)
{
	peer_t *peer = talloc_zero(ctx, peer_t);

	*error = PEER_ENOMEM;
	if (!peer)
		return NULL;
	peer->fd = -1;
	talloc_set_destructor(peer, peer_destroy);
	peer->clock = clock;
	peer->settings = *settings;
	*error = PEER_ESECRET;
	if (sodium_init() < 0 || settings->secrets.entries[0].id == 0)
		goto error;
	peer->next_xid = randombytes_random();
	*error = open_socket(peer, ev);
	if (*error)
		goto error;
	return peer;
error:
	talloc_free(peer);
	return NULL;
}

uint16_t peer_port(const peer_t *peer)
{
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	if (getsockname(peer->fd, (struct sockaddr *)&address, &size))
		return 0;
	return ntohs(address.sin_port);
}

/* Appends the earlier remotes that are not among the listed ones and have not been
 * away for too long. Returns the new count. */
static size_t add_departed(const peer_t *peer, remote_t *remotes,
			   size_t listed_count)
{
	int64_t now = cas_clock_now(peer->clock);
	size_t count = listed_count;

	for (size_t i = 0; i < peer->remote_count; i++) {
		const remote_t *previous = &peer->remotes[i];

		if (bsearch(&previous->id, remotes, listed_count,
			    sizeof(*remotes), compare_id_to_remote) ||
		    (has_departed(previous) &&
		     now - previous->departed_us >= PEER_DEPARTED_KEEP_US))
			continue;
		remotes[count] = *previous;
		if (!has_departed(previous))
			remotes[count].departed_us = now;
		count++;
	}
	return count;
}

int peer_set_roster(peer_t *peer, const roster_t *roster)
{
	remote_t *remotes = talloc_zero_array(
		peer, remote_t, roster->host_count + peer->remote_count);
	size_t count;

	if (!remotes)
		return PEER_ENOMEM;
	for (size_t i = 0; i < roster->host_count; i++) {
		const roster_host_t *host = &roster->hosts[i];
		remote_t *previous = find_remote(peer, host->id);

		if (previous)
			remotes[i] = *previous;
		remotes[i].id = host->id;
		remotes[i].departed_us = 0;
		remotes[i].address = (struct sockaddr_in){
			.sin_family = AF_INET,
			.sin_port = htons(host->control_port),
			.sin_addr = host->address,
		};
	}
	count = add_departed(peer, remotes, roster->host_count);
	qsort(remotes, count, sizeof(*remotes), compare_remotes);
	talloc_free(peer->remotes);
	peer->remotes = remotes;
	peer->remote_count = count;
	return 0;
}

int peer_set_secrets(peer_t *peer, const fleet_secrets_t *secrets)
{
	if (secrets->entries[0].id == 0)
		return PEER_ESECRET;
	peer->settings.secrets = *secrets;
	return 0;
}

int peer_register(peer_t *peer, uint32_t proc, const peer_proc_t *handlers)
{
	if (proc >= PEER_PROC_COUNT || !handlers->args_xdr ||
	    !handlers->reply_xdr || handlers->args_size > BODY_MAX_BYTES ||
	    handlers->reply_size > BODY_MAX_BYTES)
		return PEER_EINVAL;
	peer->procs[proc] = *handlers;
	return 0;
}

void peer_on_unlisted(peer_t *peer, peer_unlisted_t handler, void *private_data)
{
	peer->on_unlisted = handler;
	peer->unlisted_private = private_data;
}

const peer_counters_t *peer_counters(const peer_t *peer)
{
	return &peer->counters;
}
