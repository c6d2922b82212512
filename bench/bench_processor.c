/*
 * Benchmark of the processor limit with real processes: many daemons send
 * attempts to the daemon of one upstream, from one to ten times as many as its
 * share of the processor carries, with the limit off and on. This process takes
 * the part of the senders, each with its own thresholds. It enforces the share
 * like a quota: the daemon stands still for the rest of a tenth of a second once
 * it has used its part. Starts a daemon and an upstream, and kills them at the
 * end.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <libgen.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../programs/cassiad/reason.h"
#include "cassia/attempt.h"
#include "cassia/clock.h"
#include "cassia/rng.h"
#include "cassia/thresholds.h"
#include "site.h"

/* Share of a core that the daemon gets, as text and in microseconds of each
 * period. */
#define SHARE "0.2"
#define QUOTA_US INT64_C(20000)
#define PERIOD_US (100 * CAS_USEC_PER_MSEC)
/* How often the use of the daemon is looked up. */
#define QUOTA_POLL_US 1000
#define UPSTREAM_DELAY_US "5000"
/* Time in which a response has its value, and lifetime of an attempt. */
#define OBJECTIVE_US (400 * CAS_USEC_PER_MSEC)
#define LIFETIME_US CAS_USEC_PER_SEC
#define CONNS_MAX 1000
#define SENDERS 40
#define CUSTOMERS 4
/* Importance of the customers; the last one has the lower one. */
#define IMPORTANCE_HIGH 9
#define IMPORTANCE_LOW 3
/* Rate at which the cost of an attempt is measured. */
#define LOW_RATE_PER_S 200.0
#define WARM_UP_US (2 * CAS_USEC_PER_SEC)
#define MEASURE_US (4 * CAS_USEC_PER_SEC)
/* Time after a run in which its attempts end. */
#define DRAIN_US (2 * CAS_USEC_PER_SEC)
#define SERVICE_KEY 1
#define INCARNATION 1 /* of the daemon that this process plays */

typedef struct conn {
	int fd;
	bool busy;
	int64_t due_us;
	int sender;
	int customer;
	char response[8192];
	size_t response_len;
} conn_t;

typedef struct results {
	long offered[CUSTOMERS];
	long served[CUSTOMERS]; /* in time */
	long late; /* served after the objective, or failed */
	long refused; /* by the daemon */
	long early; /* by the senders */
	long unsent; /* no connection was free */
} results_t;

typedef struct bench {
	cas_clock_t *clock;
	cas_rng_t *rng;
	attempt_secrets_t secrets;
	thresholds_t *senders[SENDERS];
	const char *address; /* of the daemon */
	uint64_t incarnation; /* of the daemon; 0: not known */
	conn_t conns[CONNS_MAX];
	int conn_count;
	conn_t *idle[CONNS_MAX];
	int idle_count;
	int epoll_fd;
	int64_t measure_from_us;
	results_t results;
} bench_t;

static pid_t daemon_pid;
static atomic_bool quota_on;

/* Returns the processor time that the daemon has used, in microseconds. */
static int64_t daemon_used_us(void)
{
	clockid_t clock;
	struct timespec used;

	if (clock_getcpuclockid(daemon_pid, &clock) ||
	    clock_gettime(clock, &used)) {
		fprintf(stderr, "bench: the daemon has ended\n");
		exit(1);
	}
	return used.tv_sec * CAS_USEC_PER_SEC + used.tv_nsec / 1000;
}

/* Thread that stops the daemon when it has used its quota of a period. */
static void *run_quota(void *arg)
{
	bench_t *bench = arg;
	int64_t period_us = cas_clock_now(bench->clock);
	int64_t period_used_us = daemon_used_us();
	bool stopped = false;

	for (;;) {
		int64_t now_us = cas_clock_now(bench->clock);

		if (now_us - period_us >= PERIOD_US) {
			period_us = now_us;
			period_used_us = daemon_used_us();
			if (stopped)
				kill(daemon_pid, SIGCONT);
			stopped = false;
		}
		if (quota_on && !stopped &&
		    daemon_used_us() - period_used_us >= QUOTA_US) {
			kill(daemon_pid, SIGSTOP);
			stopped = true;
		}
		usleep(QUOTA_POLL_US);
	}
	return NULL;
}

static struct sockaddr_in address_of(const char *address, uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(address),
	};
}

/* Returns a connected socket, or -1. */
static int connect_to(const char *address, uint16_t port)
{
	struct sockaddr_in peer = address_of(address, port);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)(void *)&peer, sizeof(peer))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* Returns the value of a header field, or an empty string. */
static cas_str_t field_value(const char *head, const char *name)
{
	const char *start = strstr(head, name);

	if (!start)
		return CAS_STR("");
	start += strlen(name);
	return (cas_str_t){ start, strcspn(start, "\r") };
}

/* Answers an attempt as the daemon e1, whose upstream reports the slowdown of
 * its host: this puts the limit into force. */
static void answer_attempt(const bench_t *bench, int fd, const char *head)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	attempt_received_t received;
	attempt_outcome outcome = {
		.host = cas_id_of(CAS_STR("e1")),
		.incarnation = INCARNATION,
		.now = cas_clock_now(bench->clock),
		.status = 200,
		.fraction = ATTEMPT_FRACTION_SCALE,
		.load = { .known = 1,
			  .attempt_load_option_u.load.slowdown = 100 },
	};
	char *text;

	if (!attempt_read_context(&bench->secrets,
				  field_value(head, "Cassia-Context: "),
				  &received)) {
		memcpy(outcome.attempt, received.context.attempt,
		       ATTEMPT_ID_BYTES);
		if (received.context.incarnation != INCARNATION) {
			outcome.outcome = ATTEMPT_NOT_RUN;
			outcome.reason = REASON_REBIND;
			outcome.status = 503;
		}
		text = talloc_asprintf(
			ctx,
			"HTTP/1.1 %u x\r\nContent-Length: 0\r\n"
			"Cassia-Outcome: %.*s\r\n\r\n",
			outcome.status,
			CAS_STR_ARG(attempt_sign_outcome(ctx, &bench->secrets,
							 &outcome)));
		if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
			perror("send");
	}
	talloc_free(ctx);
}

/* Thread that plays the daemon e1, one connection after the other. */
static void *run_entry_daemon(void *arg)
{
	const bench_t *bench = arg;
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct sockaddr_in address =
		address_of(site_address(ctx, 1), PEER_HTTP_PORT);
	const int on = 1;
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listen_fd, (struct sockaddr *)(void *)&address,
		 sizeof(address)) ||
	    listen(listen_fd, 16)) {
		perror("listen");
		exit(1);
	}
	for (;;) {
		int fd = accept(listen_fd, NULL, NULL);
		char head[8192];
		ssize_t len;

		while ((len = recv(fd, head, sizeof(head) - 1, 0)) > 0) {
			head[len] = '\0';
			answer_attempt(bench, fd, head);
		}
		close(fd);
	}
	return NULL;
}

/* Sends a caller's request through the daemon to e1. Returns the status. */
static int call_entry_daemon(const bench_t *bench)
{
	static const char request[] = "GET /open HTTP/1.1\r\nHost: b\r\n"
				      "Connection: close\r\n\r\n";
	int fd = connect_to(bench->address, FRONT_PORT);
	char response[4096] = "";
	ssize_t len = -1;

	if (fd < 0)
		return -1;
	if (send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0)
		len = recv(fd, response, sizeof(response) - 1, 0);
	close(fd);
	return len > 12 ? atoi(response + 9) : -1;
}

static void wait_for_status(const bench_t *bench, int status)
{
	for (int i = 0; i < 100; i++) {
		if (call_entry_daemon(bench) == status)
			return;
		usleep(100000);
	}
	fprintf(stderr, "bench: the daemon does not serve requests\n");
	exit(1);
}

static int importance_of(int customer)
{
	return customer == CUSTOMERS - 1 ? IMPORTANCE_LOW : IMPORTANCE_HIGH;
}

static conn_t *take_conn(bench_t *bench)
{
	struct epoll_event event = { .events = EPOLLIN };
	conn_t *conn;

	if (bench->idle_count)
		return bench->idle[--bench->idle_count];
	if (bench->conn_count == CONNS_MAX)
		return NULL;
	conn = &bench->conns[bench->conn_count];
	conn->fd = connect_to(bench->address, PEER_HTTP_PORT);
	if (conn->fd < 0)
		return NULL;
	bench->conn_count++;
	event.data.ptr = conn;
	epoll_ctl(bench->epoll_fd, EPOLL_CTL_ADD, conn->fd, &event);
	return conn;
}

/* Returns the text of a request with a signed context (owned by ctx). */
static char *request_text(bench_t *bench, TALLOC_CTX *ctx, int sender,
			  int customer, uint32_t draw)
{
	thresholds_early_rejections_t counts[ATTEMPT_EARLY_MAX];
	attempt_early early[ATTEMPT_EARLY_MAX];
	size_t count = thresholds_take_early_rejections(
		bench->senders[sender], SERVICE_KEY, counts, ATTEMPT_EARLY_MAX);
	attempt_context context = {
		.sender = cas_id_of(CAS_STR("e1")),
		.receiver = cas_id_of(CAS_STR("b1")),
		.incarnation = bench->incarnation,
		.customer = 1 + (cas_id_t)customer,
		.route = cas_id_of(CAS_STR("book")),
		.service = cas_id_of(CAS_STR("booking")),
		.deadline = cas_clock_now(bench->clock) + LIFETIME_US,
		.weight = 1,
		.importance = (u_int)importance_of(customer),
		.draw = draw,
		.early = { (u_int)count, early },
	};

	for (size_t i = 0; i < count; i++)
		early[i] = (attempt_early){
			.customer = counts[i].customer,
			.importance = (u_int)counts[i].importance,
			.count = (u_int)counts[i].count,
		};
	attempt_generate_id(context.root);
	attempt_generate_id(context.attempt);
	return talloc_asprintf(
		ctx,
		"GET /book HTTP/1.1\r\nHost: b\r\nCassia-Context: "
		"%.*s\r\n\r\n",
		CAS_STR_ARG(
			attempt_sign_context(ctx, &bench->secrets, &context)));
}

static bool forwards(bench_t *bench, int sender, int customer, uint32_t draw)
{
	thresholds_t *thresholds = bench->senders[sender];
	cas_id_t id = 1 + (cas_id_t)customer;

	return thresholds_check(thresholds, SERVICE_KEY,
				importance_of(customer), id, draw) ||
	       thresholds_probe(thresholds, SERVICE_KEY,
				importance_of(customer), id);
}

/* Offers one request of a random customer at a random sender. */
static void offer(bench_t *bench, int64_t due_us)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	int sender = (int)cas_rng_below(bench->rng, SENDERS);
	int customer = (int)cas_rng_below(bench->rng, CUSTOMERS);
	uint32_t draw = (uint32_t)cas_rng_u64(bench->rng);
	bool counts = due_us >= bench->measure_from_us;
	conn_t *conn;
	char *text;

	bench->results.offered[customer] += counts;
	if (!forwards(bench, sender, customer, draw)) {
		bench->results.early += counts;
		goto out;
	}
	conn = take_conn(bench);
	if (!conn) {
		bench->results.unsent += counts;
		goto out;
	}
	text = request_text(bench, ctx, sender, customer, draw);
	conn->busy = true;
	conn->due_us = due_us;
	conn->sender = sender;
	conn->customer = customer;
	conn->response_len = 0;
	if (send(conn->fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
		fprintf(stderr, "bench: connection lost\n");
		exit(1);
	}
out:
	talloc_free(ctx);
}

/* Learns from the outcome of an attempt and counts it. */
static void finish_attempt(bench_t *bench, conn_t *conn)
{
	attempt_outcome outcome;
	cas_str_t text = field_value(conn->response, "Cassia-Outcome: ");
	int64_t now_us = cas_clock_now(bench->clock);
	results_t *results = &bench->results;

	conn->busy = false;
	bench->idle[bench->idle_count++] = conn;
	if (attempt_read_outcome(&bench->secrets, text, &outcome)) {
		fprintf(stderr, "bench: response without an outcome\n");
		exit(1);
	}
	bench->incarnation = outcome.incarnation;
	if (outcome.reason == REASON_REBIND)
		return;
	thresholds_learn(bench->senders[conn->sender], SERVICE_KEY,
			 importance_of(conn->customer),
			 1 + (cas_id_t)conn->customer,
			 (double)outcome.fraction / ATTEMPT_FRACTION_SCALE);
	if (conn->due_us < bench->measure_from_us)
		return;
	if (outcome.outcome == ATTEMPT_SERVED &&
	    now_us - conn->due_us <= OBJECTIVE_US)
		results->served[conn->customer]++;
	else if (outcome.outcome == ATTEMPT_NOT_RUN &&
		 outcome.reason == REASON_SHED)
		results->refused++;
	else
		results->late++;
}

static void read_conn(bench_t *bench, conn_t *conn)
{
	ssize_t len = recv(conn->fd, conn->response + conn->response_len,
			   sizeof(conn->response) - 1 - conn->response_len,
			   MSG_DONTWAIT);
	const char *end;
	const char *length;

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		fprintf(stderr, "bench: the daemon closed a connection\n");
		exit(1);
	}
	conn->response_len += (size_t)len;
	conn->response[conn->response_len] = '\0';
	end = strstr(conn->response, "\r\n\r\n");
	length = strstr(conn->response, "Content-Length: ");
	if (end && length &&
	    conn->response_len >= (size_t)(end + 4 - conn->response) +
					  strtoul(length + 16, NULL, 10))
		finish_attempt(bench, conn);
}

static void read_responses(bench_t *bench, int timeout_ms)
{
	struct epoll_event events[64];
	int count = epoll_wait(bench->epoll_fd, events, 64, timeout_ms);

	for (int i = 0; i < count; i++)
		read_conn(bench, events[i].data.ptr);
}

/* Offers requests at a rate, then waits until they have ended. */
static void run_load(bench_t *bench, double rate_per_s)
{
	int64_t now_us = cas_clock_now(bench->clock);
	int64_t end_us = now_us + WARM_UP_US + MEASURE_US;
	double next_us = (double)now_us;

	memset(&bench->results, 0, sizeof(bench->results));
	bench->measure_from_us = now_us + WARM_UP_US;
	while ((now_us = cas_clock_now(bench->clock)) < end_us) {
		while (next_us <= (double)now_us) {
			offer(bench, (int64_t)next_us);
			next_us += cas_rng_exponential(bench->rng,
						       1e6 / rate_per_s);
		}
		read_responses(bench, 1);
	}
	end_us += DRAIN_US;
	while (cas_clock_now(bench->clock) < end_us)
		read_responses(bench, 10);
}

/* Returns the processor time of one served attempt in microseconds. */
static double measure_cost(bench_t *bench)
{
	int64_t used_us;
	int64_t idle_us = daemon_used_us();
	const int64_t total_us = WARM_UP_US + MEASURE_US;

	usleep(CAS_USEC_PER_SEC);
	idle_us = daemon_used_us() - idle_us; /* in a second */
	used_us = daemon_used_us();
	run_load(bench, LOW_RATE_PER_S);
	used_us = daemon_used_us() - used_us;
	used_us -= idle_us * (total_us + DRAIN_US) / CAS_USEC_PER_SEC;
	return (double)used_us /
	       (LOW_RATE_PER_S * (double)total_us / CAS_USEC_PER_SEC);
}

static void print_results(const bench_t *bench, const char *limit, double load,
			  double full_per_s)
{
	const results_t *results = &bench->results;
	const double seconds = (double)MEASURE_US / CAS_USEC_PER_SEC;
	long offered = 0;
	long served = 0;
	long low = CUSTOMERS - 1;

	for (int i = 0; i < CUSTOMERS; i++) {
		offered += results->offered[i];
		served += results->served[i];
	}
	printf("bench=processor limit=%s load=%.0f offered_per_s=%.0f "
	       "served_per_s=%.0f goodput=%.2f late=%ld refused=%ld early=%ld "
	       "unsent=%ld served_high=%.3f served_low=%.3f connections=%d\n",
	       limit, load, (double)offered / seconds, (double)served / seconds,
	       (double)served / seconds / full_per_s, results->late,
	       results->refused, results->early, results->unsent,
	       (double)(served - results->served[low]) /
		       (double)(offered - results->offered[low]),
	       (double)results->served[low] / (double)results->offered[low],
	       bench->conn_count);
	fflush(stdout);
}

static void run_loads(bench_t *bench, const char *limit, double full_per_s)
{
	static const double loads[] = { 1, 2, 5, 10 };

	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		run_load(bench, loads[i] * full_per_s);
		print_results(bench, limit, loads[i], full_per_s);
	}
}

static bench_t *bench_create(TALLOC_CTX *ctx)
{
	bench_t *bench = talloc_zero(ctx, bench_t);
	uint8_t secret[32];
	size_t secret_len = 0;

	bench->clock = cas_clock_create_real(bench);
	bench->rng = cas_rng_create(bench, 1);
	sodium_hex2bin(secret, sizeof(secret), FLEET_SECRET,
		       strlen(FLEET_SECRET), NULL, &secret_len, NULL);
	attempt_secrets_add(&bench->secrets, secret, secret_len);
	for (int i = 0; i < SENDERS; i++)
		bench->senders[i] = thresholds_create(bench, bench->clock);
	bench->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	bench->address = site_address(bench, 2);
	return bench;
}

int main(int argc, char **argv)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *build = talloc_asprintf(ctx, "%s/..",
				      dirname(talloc_strdup(ctx, argv[0])));
	pthread_t thread;
	struct rlimit limit;
	bench_t *bench;
	double cost_us;

	(void)argc;
	site_set_extra("[[route]]\nname = \"open\"\npath = \"/open\"\n"
		       "service = \"entry\"\nimportance = 9\nopen = true\n"
		       "idempotent = true\n",
		       "[processor]\nshare = " SHARE "\n");
	if (sodium_init() < 0 || site_create(ctx))
		return 1;
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	bench = bench_create(ctx);
	atexit(site_stop);
	daemon_pid = site_start_host(ctx, build, "b1", "booking", 2,
				     UPSTREAM_DELAY_US);
	/* Nobody listens for e1 yet. */
	wait_for_status(bench, 503);
	cost_us = measure_cost(bench);
	printf("bench=processor attempt_us=%.0f share=" SHARE
	       " full_per_s=%.0f\n",
	       cost_us, QUOTA_US * 10 / cost_us);
	pthread_create(&thread, NULL, run_quota, bench);
	quota_on = true;
	run_loads(bench, "off", QUOTA_US * 10 / cost_us);
	pthread_create(&thread, NULL, run_entry_daemon, bench);
	usleep(CAS_USEC_PER_SEC);
	wait_for_status(bench, 200);
	for (int i = 0; i < SENDERS; i++)
		thresholds_set_many_senders(bench->senders[i], true);
	run_loads(bench, "on", QUOTA_US * 10 / cost_us);
	return 0;
}
