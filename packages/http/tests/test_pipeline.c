/* Tests of pipelined requests on one connection, over loopback. */
#include "cassia/test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cassia/http_front.h"
#include "loopback.h"

#define DEPTH 3
#define HELD_MAX 16
#define TURNS_MAX 200

typedef struct fixture {
	struct tevent_context *ev;
	http_front_t *front;
	http_exchange_t *held[HELD_MAX]; /* not answered yet, by arrival */
	size_t held_count;
	size_t closed;
	int fd;
	char in[8192]; /* what the caller has received */
	size_t in_len;
	bool ended;
	bool reset;
} fixture_t;

static void on_request(void *private, http_exchange_t *exchange)
{
	(void)private;
	http_exchange_read_body(exchange, 1 << 20);
}

static void on_body(void *private, http_exchange_t *exchange)
{
	fixture_t *f = private;

	if (!http_pipe_is_closed(http_exchange_body(exchange)))
		return;
	assert_true(f->held_count < HELD_MAX);
	f->held[f->held_count++] = exchange;
}

static void on_closed(void *private, http_exchange_t *exchange, bool whole)
{
	fixture_t *f = private;

	(void)whole;
	f->closed++;
	for (size_t i = 0; i < f->held_count; i++)
		if (f->held[i] == exchange)
			f->held[i] = NULL;
}

static const http_front_ops_t ops = { on_request, on_body, on_closed };

static int setup(void **state)
{
	fixture_t *f = talloc_zero(NULL, fixture_t);
	const http_front_settings_t settings = {
		.address.s_addr = htonl(INADDR_LOOPBACK),
		.connections_max = 100,
		.header_max_bytes = 16384,
		.read_timeout_us = 10 * CAS_USEC_PER_SEC,
		.idle_timeout_s = 30,
		.pipeline_depth = DEPTH,
	};
	int error;

	f->ev = tevent_context_init(f);
	f->front = http_front_create(f, f->ev, cas_clock_create_real(f),
				     &settings, &ops, f, &error);
	if (!f->front)
		return -1;
	f->fd = loopback_connect(http_front_port(f->front));
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
	ssize_t got = recv(f->fd, f->in + f->in_len,
			   sizeof(f->in) - 1 - f->in_len, MSG_DONTWAIT);

	if (got > 0)
		f->in_len += (size_t)got;
	else if (got == 0)
		f->ended = true;
	else if (errno == ECONNRESET)
		f->reset = true;
	f->in[f->in_len] = '\0';
}

/* Handles events for one turn. */
static void turn(fixture_t *f)
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

static void wait_held(fixture_t *f, size_t count)
{
	for (int i = 0; i < TURNS_MAX && f->held_count < count; i++)
		turn(f);
	assert_int_equal(f->held_count, count);
}

static void wait_text(fixture_t *f, const char *text)
{
	for (int i = 0; i < TURNS_MAX && !strstr(f->in, text); i++)
		turn(f);
	assert_non_null(strstr(f->in, text));
}

static void reply(fixture_t *f, size_t index, const char *text)
{
	http_exchange_reply_text(f->held[index], 200, NULL, cas_str_from(text));
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: x\r\n\r\n"
#define POST(path)                                                             \
	"POST " path " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

/* Guards against a pipelined request that waits for the answer to the one
 * before, and against answers out of order. */
static void test_side_by_side_in_order(void **state)
{
	fixture_t *f = *state;
	const char *first;
	const char *second;

	send_text(f, GET("/1") GET("/2"));
	wait_held(f, 2);
	reply(f, 1, "two");
	turn(f);
	assert_int_equal(f->in_len, 0);
	reply(f, 0, "one");
	wait_text(f, "two");
	first = strstr(f->in, "one");
	second = strstr(f->in, "two");
	assert_true(first && first < second);
	/* The lanes are free again. */
	send_text(f, GET("/3"));
	wait_held(f, 3);
	reply(f, 2, "three");
	wait_text(f, "three");
	assert_false(f->ended || f->reset);
}

/* Guards against more work for one connection than its lanes. */
static void test_depth(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2") GET("/3") GET("/4"));
	wait_held(f, DEPTH);
	turn(f);
	assert_int_equal(f->held_count, DEPTH);
	reply(f, 0, "one");
	wait_held(f, DEPTH + 1);
}

/* Guards against a request that may not be repeated being started behind
 * others, whose answers may end the connection. */
static void test_body_goes_alone(void **state)
{
	fixture_t *f = *state;
	size_t post;

	send_text(f, GET("/1") POST("/2") GET("/3"));
	wait_held(f, 1);
	turn(f);
	assert_int_equal(f->held_count, 1);
	reply(f, 0, "one");
	wait_held(f, 3);
	/* Which of the two is read whole first is open. */
	post = cas_str_equal(http_exchange_method(f->held[1]), CAS_STR("POST"))
		       ? 1
		       : 2;
	reply(f, 3 - post, "three");
	reply(f, post, "two");
	wait_text(f, "three");
	assert_true(strstr(f->in, "two") < strstr(f->in, "three"));
}

/* Guards against a cut answer that looks whole to the caller. */
static void test_cut_answer(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1"));
	wait_held(f, 1);
	http_exchange_abort(f->held[0]);
	for (int i = 0; i < TURNS_MAX && !f->reset && !f->ended; i++)
		turn(f);
	assert_true(f->reset);
	assert_int_equal(f->in_len, 0);
}

/* Guards against work that goes on for a caller that has left. */
static void test_caller_leaves(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_held(f, 2);
	close(f->fd);
	f->fd = -1;
	for (int i = 0; i < TURNS_MAX && f->closed < 2; i++)
		turn(f);
	assert_int_equal(f->closed, 2);
}

/* Guards against a stop that closes a connection with requests unanswered. */
static void test_close_behind_the_last(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_held(f, 2);
	http_front_close_connections(f->front);
	reply(f, 0, "one");
	wait_text(f, "one");
	assert_null(strstr(f->in, "close"));
	reply(f, 1, "two");
	wait_text(f, "two");
	assert_non_null(strstr(f->in, "close"));
	for (int i = 0; i < TURNS_MAX && !f->ended; i++)
		turn(f);
	assert_true(f->ended);
}

/* Guards against chunked bodies that are split at the wrong place. */
static void test_chunked(void **state)
{
	fixture_t *f = *state;

	send_text(f, "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
		     "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" GET("/2"));
	wait_held(f, 1);
	reply(f, 0, "one");
	wait_held(f, 2);
	reply(f, 1, "two");
	wait_text(f, "two");
}

/* Guards against idle callers that hold the memory of their lanes. */
static void test_idle_caller_holds_no_lanes(void **state)
{
	fixture_t *f = *state;

	send_text(f, GET("/1") GET("/2"));
	wait_held(f, 2);
	reply(f, 0, "one");
	reply(f, 1, "two");
	wait_text(f, "two");
	assert_int_equal(http_front_connections(f->front), 2);
	for (int i = 0; i < TURNS_MAX && http_front_connections(f->front); i++)
		turn(f);
	assert_int_equal(http_front_connections(f->front), 0);
	assert_false(f->ended || f->reset);
	send_text(f, GET("/3"));
	wait_held(f, 3);
	reply(f, 2, "three");
	wait_text(f, "three");
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_side_by_side_in_order),
		TEST(test_depth),
		TEST(test_body_goes_alone),
		TEST(test_cut_answer),
		TEST(test_caller_leaves),
		TEST(test_close_behind_the_last),
		TEST(test_chunked),
		TEST(test_idle_caller_holds_no_lanes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
