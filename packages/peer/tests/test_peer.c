/* Tests of control messages over loopback. A socket between the hosts captures
 * all datagrams, so that tests can replay, reorder, change and redirect
 * them. */
#include "cassia/test.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/peer.h"
#include "peer_codec.h"
#include "peer_window.h"

#define HOSTS 3
#define CAPTURE_MAX 256 /* datagrams */
#define PROC 2 /* returns twice its argument */
#define DEPARTED_PROC 3 /* the same, open to departed hosts */

/* A datagram that was captured at the tap. */
typedef struct datagram {
	uint8_t data[PEER_MAX_BYTES];
	size_t len; /* bytes */
} datagram_t;

/* A simulated host and what its handlers have received. */
typedef struct host {
	peer_t *peer;
	int calls;
	int replies;
	uint64_t last_call; /* argument */
	uint64_t last_reply; /* result */
} host_t;

/* The host lists give the tap as the address of every host, so all datagrams go
 * there. Host i has the id i + 1. */
typedef struct fixture {
	struct tevent_context *ev;
	cas_clock_t *clock;
	host_t hosts[HOSTS];
	int tap; /* socket */
	uint16_t tap_port;
	datagram_t captured[CAPTURE_MAX];
	size_t count; /* of captured datagrams */
} fixture_t;

static int on_call(cas_id_t from, uint64_t incarnation, void *args, void *reply,
		   void *private_data)
{
	host_t *host = private_data;

	(void)incarnation;
	assert_in_range(from, 1, HOSTS);
	host->calls++;
	host->last_call = *(uint64_t *)args;
	*(uint64_t *)reply = 2 * host->last_call;
	return 0;
}

static void on_reply(cas_id_t from, uint64_t incarnation, void *reply,
		     void *private_data)
{
	host_t *host = private_data;

	(void)incarnation;
	assert_in_range(from, 1, HOSTS);
	host->replies++;
	host->last_reply = *(uint64_t *)reply;
}

/* Arguments are secret ids, which also select the text; second 0: none. */
static fleet_secrets_t make_secrets(uint32_t first, uint32_t second)
{
	static const char texts[4][20] = { "", "first fleet secret",
					   "other fleet secret",
					   "third fleet secret" };
	fleet_secrets_t secrets = { 0 };

	fleet_secret_set(&secrets.entries[0], first,
			 cas_str_from_cstr(texts[first]));
	if (second)
		fleet_secret_set(&secrets.entries[1], second,
				 cas_str_from_cstr(texts[second]));
	return secrets;
}

/* Gives a host a host list with the first host_count hosts. */
static void set_roster(fixture_t *f, size_t index, size_t host_count)
{
	roster_host_t hosts[HOSTS] = { 0 };
	roster_t roster = { .revision = 1,
			    .hosts = hosts,
			    .host_count = host_count };

	for (size_t i = 0; i < host_count; i++) {
		hosts[i].id = i + 1;
		hosts[i].address.s_addr = htonl(INADDR_LOOPBACK);
		hosts[i].control_port = f->tap_port;
	}
	assert_int_equal(peer_set_roster(f->hosts[index].peer, &roster), 0);
}

/* Starts a host, or restarts it with a new incarnation. */
static void start_host(fixture_t *f, size_t index, uint64_t incarnation)
{
	const peer_proc_t proc = { .args_xdr = (xdrproc_t)xdr_uint64_t,
				   .args_size = sizeof(uint64_t),
				   .reply_xdr = (xdrproc_t)xdr_uint64_t,
				   .reply_size = sizeof(uint64_t),
				   .on_call = on_call,
				   .on_reply = on_reply,
				   .private_data = &f->hosts[index] };
	peer_proc_t departed_proc = proc;
	const peer_settings_t settings = {
		.self = index + 1,
		.incarnation = incarnation,
		.bind_address.s_addr = htonl(INADDR_LOOPBACK),
		.secrets = make_secrets(1, 0),
	};
	int error;

	talloc_free(f->hosts[index].peer);
	f->hosts[index].peer =
		peer_create(f->ev, f->ev, f->clock, &settings, &error);
	assert_non_null(f->hosts[index].peer);
	assert_int_equal(peer_register(f->hosts[index].peer, PROC, &proc), 0);
	departed_proc.is_open_to_departed = true;
	assert_int_equal(peer_register(f->hosts[index].peer, DEPARTED_PROC,
				       &departed_proc),
			 0);
	set_roster(f, index, HOSTS);
}

static int setup(void **state)
{
	fixture_t *f = calloc(1, sizeof(*f));
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	assert_non_null(f);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->ev = tevent_context_init(NULL);
	f->clock = cas_clock_create_manual(f->ev, 1);
	f->tap = socket(AF_INET, SOCK_DGRAM, 0);
	assert_int_equal(bind(f->tap, (struct sockaddr *)&address, size), 0);
	getsockname(f->tap, (struct sockaddr *)&address, &size);
	f->tap_port = ntohs(address.sin_port);
	for (size_t i = 0; i < HOSTS; i++)
		start_host(f, i, 1000);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	close(f->tap);
	talloc_free(f->ev);
	free(f);
	return 0;
}

/* Stores the datagrams that have reached the tap. */
static void capture(fixture_t *f)
{
	struct pollfd pollfd = { .fd = f->tap, .events = POLLIN };

	while (f->count < CAPTURE_MAX && poll(&pollfd, 1, 20) > 0) {
		datagram_t *datagram = &f->captured[f->count++];

		datagram->len = (size_t)recv(f->tap, datagram->data,
					     sizeof(datagram->data), 0);
	}
}

/* Sends a datagram from the tap to a host and runs the host until it has read
 * it. The reply goes to the tap. */
static void deliver(fixture_t *f, size_t index, const void *data, size_t len)
{
	const peer_counters_t *counters = peer_counters(f->hosts[index].peer);
	int64_t before = counters->received_messages;
	struct sockaddr_in to = { .sin_family = AF_INET };

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons(peer_port(f->hosts[index].peer));
	assert_int_equal(sendto(f->tap, data, len, 0, (struct sockaddr *)&to,
				sizeof(to)),
			 len);
	while (counters->received_messages == before)
		tevent_loop_once(f->ev);
}

static void deliver_captured(fixture_t *f, size_t index, size_t captured)
{
	deliver(f, index, f->captured[captured].data,
		f->captured[captured].len);
}

/* Sends a call of a procedure and captures it. */
static void call_proc(fixture_t *f, size_t from, size_t to, uint32_t proc,
		      uint64_t value)
{
	assert_int_equal(peer_send(f->hosts[from].peer, to + 1, proc, &value),
			 0);
	capture(f);
}

static void call(fixture_t *f, size_t from, size_t to, uint64_t value)
{
	call_proc(f, from, to, PROC, value);
}

/* Captures a call of host 0 to host 1 and the reply to it, which is not
 * delivered. */
static void exchange(fixture_t *f, uint64_t value)
{
	call(f, 0, 1, value);
	deliver_captured(f, 1, f->count - 1);
	capture(f);
}

/* Guards against a transport that loses the argument or result, counts wrongly,
 * or sends to unknown hosts and procedures. */
static void test_call_and_reply(void **state)
{
	fixture_t *f = *state;
	uint64_t value = 1;

	exchange(f, 21);
	deliver_captured(f, 0, 1);
	assert_int_equal(f->hosts[1].last_call, 21);
	assert_int_equal(f->hosts[0].replies, 1);
	assert_int_equal(f->hosts[0].last_reply, 42);
	assert_int_equal(peer_counters(f->hosts[0].peer)->sent_bytes,
			 f->captured[0].len);
	assert_int_equal(peer_counters(f->hosts[0].peer)->received_bytes,
			 f->captured[1].len);
	assert_int_equal(peer_send(f->hosts[0].peer, 77, PROC, &value),
			 PEER_EHOST);
	assert_int_equal(peer_send(f->hosts[0].peer, 2, 9, &value),
			 PEER_EINVAL);
}

/* Guards against handling a forged message: each byte of a call and of its
 * reply is changed in turn, and each is also cut short. */
static void test_forged(void **state)
{
	fixture_t *f = *state;
	const peer_counters_t *counters;
	int64_t dropped;

	exchange(f, 1);
	for (size_t k = 0; k < 2; k++) {
		datagram_t *datagram = &f->captured[k];

		for (size_t i = 0; i < datagram->len; i++) {
			datagram->data[i] ^= 0x41;
			deliver_captured(f, 1 - k, k);
			datagram->data[i] ^= 0x41;
		}
		deliver(f, 1 - k, datagram->data, datagram->len - 4);
	}
	assert_int_equal(f->hosts[1].calls, 1);
	assert_int_equal(f->hosts[0].replies, 0);
	counters = peer_counters(f->hosts[1].peer);
	dropped = counters->dropped_mac + counters->dropped_malformed +
		  counters->dropped_secret + counters->dropped_reply;
	assert_int_equal(dropped, f->captured[0].len + 1);
	assert_true(counters->dropped_mac > 40);
	deliver_captured(f, 0, 1);
	assert_int_equal(f->hosts[0].replies, 1);
}

/* Guards against a replayed call that is served twice, and a replayed reply
 * that is handled twice. */
static void test_replayed(void **state)
{
	fixture_t *f = *state;

	exchange(f, 1);
	deliver_captured(f, 1, 0);
	deliver_captured(f, 0, 1);
	deliver_captured(f, 0, 1);
	assert_int_equal(f->hosts[1].calls, 1);
	assert_int_equal(f->hosts[0].replies, 1);
	assert_int_equal(peer_counters(f->hosts[1].peer)->dropped_replay, 1);
	assert_int_equal(peer_counters(f->hosts[0].peer)->dropped_reply, 1);
}

/* Guards against a replay window that drops reordered calls, or accepts calls
 * that are too old for it to recognise a replay. */
static void test_reordered(void **state)
{
	fixture_t *f = *state;
	const size_t calls = PEER_WINDOW_BITS + 2;

	for (size_t i = 0; i < calls; i++) {
		uint64_t value = i;

		assert_int_equal(peer_send(f->hosts[0].peer, 2, PROC, &value),
				 0);
	}
	capture(f);
	assert_int_equal(f->count, calls);
	for (size_t i = calls; i > 0; i--)
		deliver_captured(f, 1, i - 1);
	assert_int_equal(f->hosts[1].calls, PEER_WINDOW_BITS);
	assert_int_equal(peer_counters(f->hosts[1].peer)->dropped_replay, 2);
	capture(f);
	deliver_captured(f, 1, 5);
	assert_int_equal(f->hosts[1].calls, PEER_WINDOW_BITS);
}

/* Guards against handling datagrams that are too large, too short or not ONC
 * RPC. */
static void test_oversized_and_malformed(void **state)
{
	fixture_t *f = *state;
	uint8_t data[2000] = { 0 };
	const peer_counters_t *counters = peer_counters(f->hosts[1].peer);

	deliver(f, 1, data, PEER_MAX_BYTES + 1);
	deliver(f, 1, data, sizeof(data));
	assert_int_equal(counters->dropped_oversized, 2);
	deliver(f, 1, data, 0);
	deliver(f, 1, data, 7);
	deliver(f, 1, data, 100);
	deliver(f, 1, data, PEER_MAX_BYTES);
	assert_int_equal(counters->dropped_malformed, 4);
	assert_int_equal(f->hosts[1].calls, 0);
}

/* Guards against handling datagrams that a host sent before it restarted and
 * that arrive late. */
static void test_old_incarnation(void **state)
{
	fixture_t *f = *state;

	call(f, 0, 1, 1);
	call(f, 0, 1, 2);
	deliver_captured(f, 1, 0);
	capture(f);
	start_host(f, 0, 1001);
	call(f, 0, 1, 3);
	deliver_captured(f, 1, f->count - 1);
	deliver_captured(f, 1, 1);
	assert_int_equal(f->hosts[1].calls, 2);
	assert_int_equal(f->hosts[1].last_call, 3);
	assert_int_equal(peer_counters(f->hosts[1].peer)->dropped_incarnation,
			 1);
	/* The reply to a call of the earlier incarnation is dropped. */
	deliver_captured(f, 0, 2);
	assert_int_equal(f->hosts[0].replies, 0);
	assert_true(peer_incarnation_new() > (UINT64_C(1) << 60));
}

/* Guards against redirected messages: a call that is accepted by another host,
 * and a reply that is accepted by another host, by another incarnation of the
 * caller, as the reply of another host or as the reply of another procedure. */
static void test_redirected(void **state)
{
	fixture_t *f = *state;
	const fleet_secrets_t secrets = make_secrets(1, 0);
	const peer_reply_t right = {
		.xid = 7, .proc = PROC, .from = 2, .to = 1, .to_incarnation = 5
	};
	peer_reply_t wrong[5] = { right, right, right, right, right };
	uint64_t value = 1;
	uint8_t data[PEER_MAX_BYTES];
	int len = peer_codec_encode_reply(
		&secrets, &right, (xdrproc_t)xdr_uint64_t, &value, data);

	exchange(f, 1);
	deliver_captured(f, 2, 0);
	assert_int_equal(f->hosts[2].calls, 0);
	assert_int_equal(peer_counters(f->hosts[2].peer)->dropped_mac, 1);
	wrong[0].from = 3;
	wrong[1].to = 3;
	wrong[2].to_incarnation = 6;
	wrong[3].proc = 1;
	for (size_t i = 0; i < 4; i++)
		assert_int_equal(peer_codec_open_reply(&secrets, data,
						       (size_t)len, &wrong[i]),
				 PEER_EMAC);
	assert_true(peer_codec_open_reply(&secrets, data, (size_t)len,
					  &wrong[4]) > 0);
	wrong[4].xid = 8;
	assert_int_equal(
		peer_codec_open_reply(&secrets, data, (size_t)len, &wrong[4]),
		PEER_EMALFORMED);
}

/* Guards against a daemon that gets no answers while it still serves its
 * callers, because its host has been taken off the host list; and against one
 * that stays known for ever or may make all calls. */
static void test_departed_host(void **state)
{
	fixture_t *f = *state;
	const peer_counters_t *counters = peer_counters(f->hosts[1].peer);
	uint64_t value = 0;

	set_roster(f, 1, 1);
	call_proc(f, 2, 1, DEPARTED_PROC, 4);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(f->hosts[1].calls, 1);
	capture(f);
	deliver_captured(f, 2, f->count - 1);
	assert_int_equal(f->hosts[2].last_reply, 8);
	call(f, 2, 1, 5);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(counters->dropped_sender, 1);
	assert_int_equal(peer_send(f->hosts[1].peer, 3, PROC, &value),
			 PEER_EHOST);
	assert_int_equal(peer_send(f->hosts[1].peer, 3, DEPARTED_PROC, &value),
			 0);
	cas_clock_advance(f->clock, PEER_DEPARTED_KEEP_US);
	assert_int_equal(peer_send(f->hosts[1].peer, 3, DEPARTED_PROC, &value),
			 PEER_EHOST);
	call_proc(f, 2, 1, DEPARTED_PROC, 6);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(counters->dropped_sender, 2);
	set_roster(f, 1, 1);
	call_proc(f, 2, 1, DEPARTED_PROC, 7);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(counters->dropped_sender, 3);
	assert_int_equal(f->hosts[1].calls, 1);
}

/* Guards against accepting senders that are not in the host list, unknown
 * secrets, and replies that arrive after the limit of 10 s. */
static void test_unknown(void **state)
{
	fixture_t *f = *state;
	fleet_secrets_t other = make_secrets(3, 0);

	exchange(f, 1);
	cas_clock_advance(f->clock, 11 * CAS_USEC_PER_SEC);
	deliver_captured(f, 0, 1);
	assert_int_equal(peer_counters(f->hosts[0].peer)->dropped_reply, 1);
	call(f, 2, 1, 2);
	set_roster(f, 1, 2);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(peer_counters(f->hosts[1].peer)->dropped_sender, 1);
	assert_int_equal(peer_set_secrets(f->hosts[0].peer, &other), 0);
	call(f, 0, 1, 3);
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(peer_counters(f->hosts[1].peer)->dropped_secret, 1);
	assert_int_equal(f->hosts[1].calls, 1);
}

/* What on_unlisted is to return, and what it was called with. */
typedef struct unlisted_host {
	bool is_handled;
	int calls;
	cas_id_t last;
} unlisted_host_t;

static bool on_unlisted(cas_id_t from, void *private_data)
{
	unlisted_host_t *host = private_data;

	host->calls++;
	host->last = from;
	return host->is_handled;
}

/* Makes host 2 unlisted at host 1, which has not listed it lately. */
static void forget_host(fixture_t *f)
{
	set_roster(f, 1, 2);
	cas_clock_advance(f->clock, PEER_DEPARTED_KEEP_US);
	set_roster(f, 1, 2);
}

/* Sends a call of host 2 to host 1. */
static void call_unlisted(fixture_t *f)
{
	call(f, 2, 1, 1);
	deliver_captured(f, 1, f->count - 1);
}

/* Guards against a daemon that does not notice that its host list is outdated, and
 * against one that takes a forged call for a sign of it. */
static void test_call_of_an_unlisted_host(void **state)
{
	fixture_t *f = *state;
	unlisted_host_t host = { 0 };
	datagram_t *forged;

	peer_on_unlisted(f->hosts[1].peer, on_unlisted, &host);
	forget_host(f);
	call(f, 0, 1, 1);
	deliver_captured(f, 1, f->count - 1);
	call(f, 2, 1, 2);
	forged = &f->captured[f->count - 1];
	forged->data[forged->len - 1] ^= 1;
	deliver_captured(f, 1, f->count - 1);
	assert_int_equal(host.calls, 0);
	call_unlisted(f);
	assert_int_equal(host.calls, 1);
	assert_int_equal(host.last, 3);
	assert_int_equal(f->hosts[1].calls, 1);
}

/* Guards against a host that stays unlisted and whose heartbeats make all others
 * read the host list again and again. */
static void test_host_that_stays_unlisted(void **state)
{
	fixture_t *f = *state;
	unlisted_host_t host = { 0 };

	peer_on_unlisted(f->hosts[1].peer, on_unlisted, &host);
	forget_host(f);
	call_unlisted(f);
	host.is_handled = true;
	for (int i = 0; i < 5; i++)
		call_unlisted(f);
	assert_int_equal(host.calls, 2);
	cas_clock_advance(f->clock, PEER_UNLISTED_PERIOD_US);
	call_unlisted(f);
	assert_int_equal(host.calls, 3);
}

/* Guards against lost messages while a secret is replaced: at each step,
 * daemons that already use the new settings and daemons that do not yet use
 * them must accept each other's messages. */
static void test_secret_rotation(void **state)
{
	fixture_t *f = *state;
	const uint32_t steps[4][2] = { { 1, 0 }, { 1, 2 }, { 2, 1 }, { 2, 0 } };

	for (size_t i = 0; i + 1 < 4; i++) {
		for (size_t ahead = 0; ahead < 2; ahead++) {
			for (size_t k = 0; k < 2; k++) {
				size_t step = i + (k == ahead);
				fleet_secrets_t secrets = make_secrets(
					steps[step][0], steps[step][1]);

				peer_set_secrets(f->hosts[k].peer, &secrets);
			}
			exchange(f, i);
			deliver_captured(f, 0, f->count - 1);
		}
	}
	assert_int_equal(f->hosts[1].calls, 6);
	assert_int_equal(f->hosts[0].replies, 6);
}

/* Guards against a MAC that is valid for another purpose or secret, and against
 * secrets that are too short. */
static void test_fleet_sign(void **state)
{
	fleet_secrets_t secrets = make_secrets(1, 2);
	fleet_mac_part_t part = { "context", 7 };
	uint8_t mac[FLEET_MAC_BYTES];
	uint32_t id;

	(void)state;
	assert_int_equal(fleet_sign(&secrets, CAS_STR("a"), &part, 1, mac, &id),
			 0);
	assert_int_equal(
		fleet_verify(&secrets, CAS_STR("a"), &part, 1, mac, id), 0);
	assert_int_equal(
		fleet_verify(&secrets, CAS_STR("b"), &part, 1, mac, id),
		PEER_EMAC);
	assert_int_equal(fleet_verify(&secrets, CAS_STR("a"), &part, 1, mac, 2),
			 PEER_EMAC);
	assert_int_equal(fleet_verify(&secrets, CAS_STR("a"), &part, 1, mac, 3),
			 PEER_ESECRET);
	assert_int_equal(
		fleet_secret_set(&secrets.entries[0], 1, CAS_STR("too short")),
		PEER_EINVAL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_call_and_reply, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_forged, setup, teardown),
		cmocka_unit_test_setup_teardown(test_replayed, setup, teardown),
		cmocka_unit_test_setup_teardown(test_reordered, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_oversized_and_malformed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_incarnation, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_redirected, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_departed_host, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_unknown, setup, teardown),
		cmocka_unit_test_setup_teardown(test_call_of_an_unlisted_host,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_host_that_stays_unlisted,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_secret_rotation, setup,
						teardown),
		cmocka_unit_test(test_fleet_sign),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
