/* Tests of the HTTP server with pipelined requests on one connection, over
 * loopback. */
#include "cassia/test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_server.h"
#include "loopback.h"

#define DEPTH 3 /* requests processed concurrently */
#define EXCHANGES_MAX 16
#define BODY_MAX_BYTES (16 << 20)
/* Fills the body buffer and the socket buffers on the way to it. */
#define LARGE_BODY_BYTES (12 << 20)
#define TURNS_MAX 200 /* of the event loop, until a wait fails */
#define AT_ONCE_TURNS 25 /* half a second */

typedef struct fixture {
	struct tevent_context *ev;
	http_server_t *server;
	/* Exchanges by arrival, NULL once closed. Each test replies to them. */
	http_exchange_t *exchanges[EXCHANGES_MAX];
	size_t exchange_count;
	http_exchange_t *receiving; /* the last one with new body bytes */
	size_t closed;
	int fd;
	char received[8192]; /* what the client has received, terminated */
	size_t received_len;
	bool ended;
	bool reset;
} fixture_t;

static void on_request(void *private, http_exchange_t *exchange)
{
	(void)private;
	http_exchange_read_body(exchange, BODY_MAX_BYTES);
}

static void on_body(void *private, http_exchange_t *exchange)
{
	fixture_t *f = private;

	f->receiving = exchange;
	if (!http_body_is_closed(http_exchange_body(exchange)))
		return;
	assert_true(f->exchange_count < EXCHANGES_MAX);
	f->exchanges[f->exchange_count++] = exchange;
}

static void on_closed(void *private, http_exchange_t *exchange, bool complete)
{
	fixture_t *f = private;

	(void)complete;
	f->closed++;
	for (size_t i = 0; i < f->exchange_count; i++)
		if (f->exchanges[i] == exchange)
			f->exchanges[i] = NULL;
}

static const http_server_ops_t ops = { on_request, on_body, on_closed };

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);
	const http_server_settings_t settings = {
		.address.s_addr = htonl(INADDR_LOOPBACK),
		.connections_max = 100,
		.header_max_bytes = 16384,
		.read_timeout_us = 10 * CAS_USEC_PER_SEC,
		.idle_timeout_s = 30,
		.pipeline_depth = DEPTH,
	};
	int error;

	f->ev = tevent_context_init(f);
	f->server = http_server_create(f, f->ev, cas_clock_create_real(f),
				       &settings, &ops, f, &error);
	if (!f->server)
		return -1;
	f->fd = loopback_connect(http_server_port(f->server));
	*state = f;
	return f->fd < 0 ? -1 : 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	if (f->fd >= 0)
		close(f->fd);
	talloc_free(f);
	return 0;
}

static void receive(fixture_t *f)
{
	ssize_t len =
		recv(f->fd, f->received + f->received_len,
		     sizeof(f->received) - 1 - f->received_len, MSG_DONTWAIT);

	if (len > 0)
		f->received_len += (size_t)len;
	else if (len == 0)
		f->ended = true;
	else if (errno == ECONNRESET)
		f->reset = true;
	f->received[f->received_len] = '\0';
}

/* Runs the event loop for one turn and receives what has arrived. */
static void run_turn(fixture_t *f)
{
	loopback_turn(f->ev);
	if (f->fd >= 0)
		receive(f);
}

static void send_text(const fixture_t *f, const char *text)
{
	assert_int_equal(send(f->fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

static void wait_exchanges(fixture_t *f, size_t count)
{
	for (int i = 0; i < TURNS_MAX && f->exchange_count < count; i++)
		run_turn(f);
	assert_int_equal(f->exchange_count, count);
}

static void wait_text(fixture_t *f, const char *text)
{
	for (int i = 0; i < TURNS_MAX && !strstr(f->received, text); i++)
		run_turn(f);
	assert_non_null(strstr(f->received, text));
}

static void reply(fixture_t *f, size_t index, const char *text)
{
	http_exchange_reply_text(f->exchanges[index], 200, NULL,
				 cas_str_from_cstr(text));
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"
#define POST(path)                                                             \
	"POST " path " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

/* Runs up to AT_ONCE_TURNS turns, fewer than the period of the timeout check,
 * which would also process what was left waiting. */
static void wait_end_at_once(fixture_t *f)
{
	for (int i = 0; i < AT_ONCE_TURNS && !f->ended; i++)
		run_turn(f);
	assert_true(f->ended);
}

/* Guards against a request that waits for the timeout check because
 * libmicrohttpd does not read all of its head at once. */
static void test_long_head_is_read_at_once(void **state)
{
	fixture_t *f = *state;
	char *target = talloc_size(f, 8001);

	memset(target, 'a', 8000);
	target[8000] = '\0';
	for (size_t number = 1; number <= 3; number++) {
		send_text(f, talloc_asprintf(f,
					     "GET /%s HTTP/1.1\r\nHost: x\r\n"
					     "X-Long: %s\r\n\r\n",
					     target, target + 1500));
		for (int i = 0; i < AT_ONCE_TURNS && f->exchange_count < number;
		     i++)
			run_turn(f);
		assert_int_equal(f->exchange_count, number);
		reply(f, number - 1, "ok");
		run_turn(f);
	}
	assert_int_equal(f->closed, 3);
}

/* Guards against a connection that stays open after a response that ends it. */
static void test_client_asks_for_the_end(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1"));
	wait_exchanges(f, 1);
	reply(f, 0, "first");
	wait_text(f, "first");
	send_text(f, "GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	wait_exchanges(f, 2);
	reply(f, 1, "second");
	wait_end_at_once(f);
	assert_non_null(strstr(f->received, "second"));
}

/* Guards against an error response of libmicrohttpd itself, of which the
 * application does not know, that is lost with the end of its connection; also
 * after a request with a chunked body, whose connection is not parsed here. */
static void test_malformed_request_is_answered(void **state)
{
	fixture_t *f = *state;

	send_text(f, "POST /1 HTTP/1.1\r\nHost: x\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	wait_exchanges(f, 1);
	reply(f, 0, "first");
	wait_text(f, "first");
	send_text(f, "GET /2 HTTP/1.1\r\nHost: x\r\nHost: y\r\n"
		     "Content-Length: x\r\n\r\n");
	wait_end_at_once(f);
	assert_non_null(strstr(f->received, "HTTP/1.1 400"));
}

/* Guards against a request without a pipeline that is processed only at the
 * timeout check because it arrived together with the previous one. */
static void test_requests_after_one_another(void **state)
{
	fixture_t *f = *state;
	const http_server_settings_t settings = {
		.address.s_addr = htonl(INADDR_LOOPBACK),
		.connections_max = 100,
		.header_max_bytes = 16384,
		.read_timeout_us = 10 * CAS_USEC_PER_SEC,
		.idle_timeout_s = 30,
	};
	int error;

	talloc_free(f->server);
	f->server = http_server_create(f, f->ev, cas_clock_create_real(f),
				       &settings, &ops, f, &error);
	assert_non_null(f->server);
	close(f->fd);
	f->fd = loopback_connect(http_server_port(f->server));
	send_text(f, GET("/1") GET("/2") POST("/3") GET("/4"));
	for (size_t number = 1; number <= 4; number++) {
		for (int i = 0; i < AT_ONCE_TURNS && f->exchange_count < number;
		     i++)
			run_turn(f);
		assert_int_equal(f->exchange_count, number);
		reply(f, number - 1, "ok");
	}
	run_turn(f);
	assert_int_equal(f->closed, 4);
}

/* Guards against a pipelined request that waits for the response to the
 * previous one, and against responses out of order. */
static void test_concurrent_requests_in_order(void **state)
{
	fixture_t *f = *state;
	const char *first;
	const char *second;

	send_text(f, GET("/1") GET("/2"));
	wait_exchanges(f, 2);
	reply(f, 1, "two");
	run_turn(f);
	assert_int_equal(f->received_len, 0);
	reply(f, 0, "one");
	wait_text(f, "two");
	first = strstr(f->received, "one");
	second = strstr(f->received, "two");
	assert_true(first && first < second);
	/* The local connections are free again. */
	send_text(f, GET("/3"));
	wait_exchanges(f, 3);
	reply(f, 2, "three");
	wait_text(f, "three");
	assert_false(f->ended || f->reset);
}

/* Guards against more concurrent requests of one connection than configured. */
static void test_concurrency_limit(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2") GET("/3") GET("/4"));
	wait_exchanges(f, DEPTH);
	run_turn(f);
	assert_int_equal(f->exchange_count, DEPTH);
	reply(f, 0, "one");
	wait_exchanges(f, DEPTH + 1);
}

/* Guards against starting a request that is not safe to repeat while others are
 * in flight, since their responses may close the connection. */
static void test_request_with_body_waits(void **state)
{
	fixture_t *f = *state;
	size_t post;

	send_text(f, GET("/1") POST("/2") GET("/3"));
	wait_exchanges(f, 1);
	run_turn(f);
	assert_int_equal(f->exchange_count, 1);
	reply(f, 0, "one");
	wait_exchanges(f, 3);
	/* Either of the two may be read completely first. */
	post = cas_str_equal(http_exchange_method(f->exchanges[1]),
			     CAS_STR("POST"))
		       ? 1
		       : 2;
	reply(f, 3 - post, "three");
	reply(f, post, "two");
	wait_text(f, "three");
	assert_true(strstr(f->received, "two") < strstr(f->received, "three"));
}

/* Guards against a truncated response that looks complete to the client. */
static void test_truncated_response(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1"));
	wait_exchanges(f, 1);
	http_exchange_abort(f->exchanges[0]);
	for (int i = 0; i < TURNS_MAX && !f->reset && !f->ended; i++)
		run_turn(f);
	assert_true(f->reset);
	assert_int_equal(f->received_len, 0);
}

/* Guards against exchanges that go on after the client has disconnected. */
static void test_caller_leaves(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_exchanges(f, 2);
	close(f->fd);
	f->fd = -1;
	for (int i = 0; i < TURNS_MAX && f->closed < 2; i++)
		run_turn(f);
	assert_int_equal(f->closed, 2);
}

/* Guards against a shutdown that closes a connection before all its pipelined
 * requests have been answered. */
static void test_close_after_last_request(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_exchanges(f, 2);
	http_server_close_connections(f->server);
	reply(f, 0, "one");
	wait_text(f, "one");
	assert_null(strstr(f->received, "close"));
	reply(f, 1, "two");
	wait_text(f, "two");
	assert_non_null(strstr(f->received, "close"));
	for (int i = 0; i < TURNS_MAX && !f->ended; i++)
		run_turn(f);
	assert_true(f->ended);
}

/* Guards against a connection that outlasts a stop, because its client sends
 * the next request before each response. */
static void test_steady_pipelining_does_not_keep_the_connection(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1"));
	wait_exchanges(f, 1);
	http_server_close_connections(f->server);
	send_text(f, GET("/2"));
	wait_exchanges(f, 2);
	reply(f, 0, "one");
	wait_text(f, "one");
	send_text(f, GET("/3"));
	for (int i = 0; i < 10; i++)
		run_turn(f);
	assert_int_equal(f->exchange_count, 2);
	reply(f, 1, "two");
	wait_text(f, "two");
	assert_non_null(strstr(f->received, "close"));
	/* A reset could make the client lose the response. */
	for (int i = 0; i < TURNS_MAX && !f->ended && !f->reset; i++)
		run_turn(f);
	assert_true(f->ended && !f->reset);
}

/* Guards against a connection that stays open and unread, because its last
 * response was written before connections were to be closed. */
static void test_close_when_the_last_response_came_first(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_exchanges(f, 2);
	reply(f, 1, "two");
	for (int i = 0; i < 10; i++)
		run_turn(f);
	http_server_close_connections(f->server);
	reply(f, 0, "one");
	wait_text(f, "two");
	for (int i = 0; i < TURNS_MAX && !f->ended && !f->reset; i++)
		run_turn(f);
	assert_true(f->ended && !f->reset);
}

/* Guards against a chunked body whose end is determined wrongly, so that the
 * next request is lost. */
static void test_chunked_body(void **state)
{
	fixture_t *f = *state;

	send_text(f, "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
		     "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" GET("/2"));
	wait_exchanges(f, 1);
	reply(f, 0, "one");
	wait_exchanges(f, 2);
	reply(f, 1, "two");
	wait_text(f, "two");
}

/* Guards against idle clients whose local connections stay open and take
 * memory. */
static void test_idle_client_closes_local_conns(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_exchanges(f, 2);
	reply(f, 0, "one");
	reply(f, 1, "two");
	wait_text(f, "two");
	assert_int_equal(http_server_connections(f->server), 2);
	for (int i = 0; i < TURNS_MAX && http_server_connections(f->server);
	     i++)
		run_turn(f);
	assert_int_equal(http_server_connections(f->server), 0);
	assert_false(f->ended || f->reset);
	send_text(f, GET("/3"));
	wait_exchanges(f, 3);
	reply(f, 2, "three");
	wait_text(f, "three");
}

#define CHUNKED_POST                                                           \
	"POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"    \
	"4\r\nbody\r\n0\r\n\r\n"

/* Guards against a stop that waits until its limit for an idle connection on
 * which a chunked body was once received. */
static void test_connection_is_idle_after_a_chunked_body(void **state)
{
	fixture_t *f = *state;

	send_text(f, CHUNKED_POST);
	wait_exchanges(f, 1);
	assert_false(http_server_is_idle(f->server, 0));
	reply(f, 0, "one");
	wait_text(f, "one");
	for (int i = 0; i < 10; i++)
		run_turn(f);
	assert_true(http_server_is_idle(f->server, 0));
}

/* Guards against a truncated response that looks complete to the client, because
 * the server is destroyed meanwhile. The end of the connection ends a response
 * to HTTP/1.0. */
static void test_response_truncated_by_the_end_of_the_server(void **state)
{
	fixture_t *f = *state;
	http_reply_t reply = { .status = 200, .content_length = -1 };

	send_text(f, "GET /1 HTTP/1.0\r\n\r\n");
	wait_exchanges(f, 1);
	reply.body = http_body_create(f->exchanges[0], 100);
	http_body_write(reply.body, "half", 4);
	http_exchange_reply(f->exchanges[0], &reply);
	wait_text(f, "half");
	TALLOC_FREE(f->server);
	for (int i = 0; i < TURNS_MAX && !f->ended && !f->reset; i++)
		run_turn(f);
	assert_true(f->reset);
}

/* Sends as many zero bytes of a body as the connection takes now. */
static size_t send_zeros(const fixture_t *f, size_t left)
{
	static const char zeros[65536];
	ssize_t sent =
		send(f->fd, zeros, left < sizeof(zeros) ? left : sizeof(zeros),
		     MSG_NOSIGNAL | MSG_DONTWAIT);

	return sent > 0 ? (size_t)sent : 0;
}

/* Reads all body bytes that have arrived. */
static size_t read_body(const fixture_t *f)
{
	char bytes[65536];
	size_t total = 0;
	size_t len;

	while ((len = http_body_read(http_exchange_body(f->receiving), bytes,
				     sizeof(bytes))))
		total += len;
	return total;
}

/* Guards against a large body whose rest is never read, because its reader has
 * paused: with the input full, the connection of the client was no longer
 * polled, also after the whole input had been passed on. */
static void test_large_body_continues_after_a_pause(void **state)
{
	fixture_t *f = *state;
	size_t left = LARGE_BODY_BYTES;
	size_t received = 0;
	char head[100];

	snprintf(
		head, sizeof(head),
		"POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n",
		LARGE_BODY_BYTES);
	send_text(f, head);
	for (int i = 0; i < AT_ONCE_TURNS; i++) {
		for (size_t sent = 1; sent; left -= sent)
			sent = send_zeros(f, left);
		run_turn(f);
	}
	assert_true(left > 0);
	assert_non_null(f->receiving);
	for (int i = 0; i < TURNS_MAX && received < LARGE_BODY_BYTES; i++) {
		received += read_body(f);
		left -= send_zeros(f, left);
		run_turn(f);
	}
	assert_int_equal(received, LARGE_BODY_BYTES);
	wait_exchanges(f, 1);
	reply(f, 0, "done");
	wait_text(f, "done");
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

/* Guards against a request body that is not read any further because the input
 * was full while the request waited for an earlier response. */
static void test_large_body_after_a_request(void **state)
{
	fixture_t *f = *state;
	size_t body_len = 100000;
	char *body = talloc_zero_size(f, body_len);
	char *text = talloc_asprintf(f,
				     GET("/1") "PUT /2 HTTP/1.1\r\nHost: x\r\n"
					       "Content-Length: %zu\r\n\r\n",
				     body_len);

	send_text(f, text);
	assert_int_equal(send(f->fd, body, body_len, MSG_NOSIGNAL), body_len);
	wait_exchanges(f, 1);
	for (int i = 0; i < AT_ONCE_TURNS; i++)
		run_turn(f);
	reply(f, 0, "one");
	wait_text(f, "one");
	wait_exchanges(f, 2);
	reply(f, 1, "two");
	wait_text(f, "two");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_long_head_is_read_at_once),
		TEST(test_client_asks_for_the_end),
		TEST(test_malformed_request_is_answered),
		TEST(test_requests_after_one_another),
		TEST(test_concurrent_requests_in_order),
		TEST(test_concurrency_limit),
		TEST(test_request_with_body_waits),
		TEST(test_large_body_after_a_request),
		TEST(test_truncated_response),
		TEST(test_caller_leaves),
		TEST(test_close_after_last_request),
		TEST(test_steady_pipelining_does_not_keep_the_connection),
		TEST(test_close_when_the_last_response_came_first),
		TEST(test_large_body_continues_after_a_pause),
		TEST(test_chunked_body),
		TEST(test_idle_client_closes_local_conns),
		TEST(test_connection_is_idle_after_a_chunked_body),
		TEST(test_response_truncated_by_the_end_of_the_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
