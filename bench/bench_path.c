/*
 * Benchmark of the request path with real processes on loopback. Measures the
 * latency that two daemons add to a direct call, the calls per second through
 * one daemon, and the memory of a daemon with idle connections. Starts two
 * daemons and two upstreams, and kills them at the end.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <libgen.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cassia/clock.h"
#include "cassia/rng.h"
#include "site.h"

#define CONNS_MAX 512
/* Concurrent calls at the upstream that are taken as a load of 100%. */
#define UPSTREAM_SLOTS 60
#define DEFAULT_SERVICE_US 20000
#define RUN_SEC 6 /* including the warm-up */
#define WARM_UP_SEC 2
#define IDLE_CONNS 10000
/* Not more than the initial concurrency limit of a daemon admits. */
#define THROUGHPUT_CONNS 8
#define LATENCIES_MAX 1000000

/* The address to send to, and the bytes of the request. */
typedef struct target {
	const char *address;
	uint16_t port;
	const char *request;
	size_t request_len;
} target_t;

/* One connection that carries one call at a time. */
typedef struct conn {
	int fd;
	int64_t due_us; /* when the call should have been sent, 0: idle */
	char response[4096];
	size_t response_len;
} conn_t;

/* A load generator and its results. */
typedef struct load {
	cas_clock_t *clock;
	cas_rng_t *rng;
	const target_t *target;
	/* Mean of the random arrivals; 0: each connection sends the next call
	 * as soon as a response arrives. */
	double calls_per_s;
	int conn_max;
	conn_t conns[CONNS_MAX];
	conn_t *idle[CONNS_MAX];
	int idle_count;
	int conn_count;
	int epoll_fd;
	int64_t *latencies_us; /* of responses with status 200 */
	long latency_count;
	int64_t measure_from_us; /* calls due earlier are not counted */
	long response_count; /* including failures */
	long failure_count; /* responses with another status */
} load_t;

/* Returns a connected socket, or -1. */
static int connect_to(const target_t *target)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(target->port),
		.sin_addr.s_addr = inet_addr(target->address),
	};
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)(void *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* Opens one more connection and adds it to the idle ones. */
static void open_conn(load_t *load)
{
	conn_t *conn = &load->conns[load->conn_count];
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = conn };

	conn->fd = connect_to(load->target);
	if (conn->fd < 0) {
		perror("connect");
		exit(1);
	}
	load->conn_count++;
	epoll_ctl(load->epoll_fd, EPOLL_CTL_ADD, conn->fd, &event);
	load->idle[load->idle_count++] = conn;
}

/* Sends a call that was due at due_us. Returns false when all connections are
 * in use. The latency counts from due_us, so that a slow response, which delays
 * later calls, also counts in their latency. */
static bool send_call(load_t *load, int64_t due_us)
{
	conn_t *conn;

	if (!load->idle_count && load->conn_count < load->conn_max)
		open_conn(load);
	if (!load->idle_count)
		return false;
	conn = load->idle[--load->idle_count];
	conn->due_us = due_us;
	conn->response_len = 0;
	if (send(conn->fd, load->target->request, load->target->request_len,
		 MSG_NOSIGNAL) != (ssize_t)load->target->request_len) {
		fprintf(stderr,
			"bench: cannot send a request: connection lost\n");
		exit(1);
	}
	return true;
}

/* Returns the length of the response, or 0 while it is incomplete. */
static size_t response_length(const conn_t *conn)
{
	const char *header_end =
		memmem(conn->response, conn->response_len, "\r\n\r\n", 4);
	const char *length_field = memmem(conn->response, conn->response_len,
					  "Content-Length:", 15);
	size_t total;

	if (!header_end || !length_field)
		return 0;
	total = (size_t)(header_end - conn->response) + 4 +
		strtoul(length_field + 15, NULL, 10);
	return conn->response_len >= total ? total : 0;
}

/* Receives what has arrived, and counts the call when its response is complete.
 */
static void read_conn(load_t *load, conn_t *conn)
{
	ssize_t len = recv(conn->fd, conn->response + conn->response_len,
			   sizeof(conn->response) - 1 - conn->response_len,
			   MSG_DONTWAIT);
	int64_t now = cas_clock_now(load->clock);

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		fprintf(stderr,
			"bench: cannot receive a response: connection closed\n");
		exit(1);
	}
	conn->response_len += (size_t)len;
	conn->response[conn->response_len] = '\0';
	if (!response_length(conn))
		return;
	if (conn->due_us >= load->measure_from_us) {
		load->response_count++;
		if (strncmp(conn->response, "HTTP/1.1 200", 12) != 0)
			load->failure_count++;
		else if (load->latency_count < LATENCIES_MAX)
			load->latencies_us[load->latency_count++] =
				now - conn->due_us;
	}
	conn->due_us = 0;
	load->idle[load->idle_count++] = conn;
}

/* Returns how long epoll may wait until the next call is due. */
static int epoll_timeout_ms(const load_t *load, int64_t next_call_us)
{
	int64_t left_us = next_call_us - cas_clock_now(load->clock);

	if (load->calls_per_s <= 0)
		return 100;
	/* Polls during the last milliseconds, because timeouts are too coarse.
	 */
	return left_us > 2000 ? (int)(left_us / 1000 - 1) : 0;
}

/* Generates the load for a time; the first WARM_UP_SEC are not counted. */
static void run_load(load_t *load, int seconds)
{
	struct epoll_event events[64];
	int64_t now = cas_clock_now(load->clock);
	int64_t end_us = now + seconds * CAS_USEC_PER_SEC;
	double next_call_us = (double)now;

	load->measure_from_us = now + WARM_UP_SEC * CAS_USEC_PER_SEC;
	while ((now = cas_clock_now(load->clock)) < end_us) {
		int count;

		while (load->calls_per_s > 0 && next_call_us <= (double)now &&
		       send_call(load, (int64_t)next_call_us))
			next_call_us += cas_rng_exponential(
				load->rng, 1e6 / load->calls_per_s);
		while (load->calls_per_s <= 0 && send_call(load, now))
			;
		count = epoll_wait(
			load->epoll_fd, events, 64,
			epoll_timeout_ms(load, (int64_t)next_call_us));
		for (int i = 0; i < count; i++)
			read_conn(load, events[i].data.ptr);
	}
}

static load_t *load_create(TALLOC_CTX *ctx, const target_t *target,
			   double calls_per_s, int conn_max)
{
	load_t *load = talloc_zero(ctx, load_t);

	load->clock = cas_clock_create_real(load);
	load->rng = cas_rng_create(load, 1);
	load->latencies_us = talloc_array(load, int64_t, LATENCIES_MAX);
	load->target = target;
	load->calls_per_s = calls_per_s;
	load->conn_max = conn_max;
	load->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	return load;
}

static void load_destroy(load_t *load)
{
	for (int i = 0; i < load->conn_count; i++)
		close(load->conns[i].fd);
	close(load->epoll_fd);
	talloc_free(load);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Returns a quantile of the latencies in microseconds. It is exact, without a
 * histogram, because the reported values are small differences of large
 * numbers. */
static long long latency_quantile(load_t *load, double fraction)
{
	long rank = (long)(fraction * (double)load->latency_count);

	if (!load->latency_count)
		return 0;
	qsort(load->latencies_us, (size_t)load->latency_count, sizeof(int64_t),
	      compare_int64);
	return load->latencies_us[rank];
}

/* Sends calls to the upstream directly, then through the daemons, and prints
 * the latencies and their differences. */
static void bench_latency(TALLOC_CTX *ctx, const target_t *direct,
			  const target_t *path, double calls_per_s,
			  int load_percent)
{
	load_t *direct_load = load_create(ctx, direct, calls_per_s, CONNS_MAX);
	load_t *path_load = load_create(ctx, path, calls_per_s, CONNS_MAX);
	long long direct_p50, direct_p99, p50, p99;

	run_load(direct_load, RUN_SEC);
	run_load(path_load, RUN_SEC);
	direct_p50 = latency_quantile(direct_load, 0.5);
	direct_p99 = latency_quantile(direct_load, 0.99);
	p50 = latency_quantile(path_load, 0.5);
	p99 = latency_quantile(path_load, 0.99);
	printf("bench=added_latency load_percent=%d calls_per_s=%.0f "
	       "p50_us=%lld p99_us=%lld direct_p50_us=%lld direct_p99_us=%lld "
	       "added_p50_us=%lld added_p99_us=%lld count=%ld failed=%ld\n",
	       load_percent, calls_per_s, p50, p99, direct_p50, direct_p99,
	       p50 - direct_p50, p99 - direct_p99, path_load->response_count,
	       path_load->failure_count);
	load_destroy(direct_load);
	load_destroy(path_load);
}

/* Prints the calls per second through one daemon, and directly to the upstream,
 * when each connection sends without pause. */
static void bench_throughput(TALLOC_CTX *ctx, const target_t *direct,
			     const target_t *daemon)
{
	load_t *direct_load = load_create(ctx, direct, 0, THROUGHPUT_CONNS);
	load_t *daemon_load = load_create(ctx, daemon, 0, THROUGHPUT_CONNS);

	run_load(direct_load, RUN_SEC);
	run_load(daemon_load, RUN_SEC);
	printf("bench=throughput calls_per_s=%ld failed=%ld "
	       "baseline_calls_per_s=%ld\n",
	       (daemon_load->response_count - daemon_load->failure_count) /
		       (RUN_SEC - WARM_UP_SEC),
	       daemon_load->failure_count,
	       direct_load->response_count / (RUN_SEC - WARM_UP_SEC));
	load_destroy(direct_load);
	load_destroy(daemon_load);
}

/* Returns the resident memory of a process, or 0 when it is not known. */
static long resident_bytes(pid_t pid)
{
	char path[64];
	char line[256];
	long kilobytes = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmRSS: %ld", &kilobytes) == 1)
			break;
	}
	if (file)
		fclose(file);
	return kilobytes * 1024;
}

/* Opens IDLE_CONNS connections, of which each carries one call before it is
 * idle, and prints the memory of the daemon. */
static void bench_idle(const target_t *target, pid_t daemon_pid)
{
	static int fds[IDLE_CONNS];
	char response[4096];
	int count;

	for (count = 0; count < IDLE_CONNS; count++) {
		fds[count] = connect_to(target);
		if (fds[count] < 0 ||
		    send(fds[count], target->request, target->request_len, 0) <
			    0 ||
		    recv(fds[count], response, sizeof(response), 0) <= 0)
			break;
	}
	printf("bench=idle_connections count=%d rss_bytes=%ld\n", count,
	       resident_bytes(daemon_pid));
	for (int i = 0; i < count; i++)
		close(fds[i]);
}

/* Returns a target with a GET request (strings owned by ctx). */
static target_t make_target(TALLOC_CTX *ctx, int host_number, uint16_t port,
			    const char *url_path)
{
	target_t target = { .address = site_address(ctx, host_number),
			    .port = port };

	target.request = talloc_asprintf(
		ctx,
		"GET %s HTTP/1.1\r\nHost: bench\r\nX-Size: 200\r\n"
		"Authorization: Bearer " CUSTOMER_KEY "\r\n\r\n",
		url_path);
	target.request_len = strlen(target.request);
	return target;
}

/* Waits until the daemons serve a trial load, or ends the process. */
static void wait_until_serving(TALLOC_CTX *ctx, const target_t *target)
{
	for (int i = 0; i < 200; i++) {
		load_t *load;
		int fd = connect_to(target);
		bool served;

		usleep(100000);
		if (fd < 0)
			continue;
		close(fd);
		load = load_create(ctx, target, 20, 4);
		run_load(load, WARM_UP_SEC + 1);
		served = load->response_count > 5 && !load->failure_count;
		load_destroy(load);
		if (served)
			return;
	}
	fprintf(stderr, "bench: the daemons do not serve requests\n");
	exit(1);
}

/* Usage: bench_path [SERVICE_US]; the time that the upstream of booking takes
 * for a request. */
int main(int argc, char **argv)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *build = talloc_asprintf(ctx, "%s/..",
				      dirname(talloc_strdup(ctx, argv[0])));
	target_t direct_booking, two_daemons, direct_entry, one_daemon;
	struct rlimit limit;
	pid_t entry_pid;

	int service_us = argc > 1 ? atoi(argv[1]) : DEFAULT_SERVICE_US;

	if (sodium_init() < 0 || site_create(ctx))
		return 1;
	atexit(site_stop);
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	entry_pid = site_start_host(ctx, build, "e1", "entry", 1, "0");
	site_start_host(ctx, build, "b1", "booking", 2,
			talloc_asprintf(ctx, "%d", service_us));
	direct_booking = make_target(ctx, 2, UPSTREAM_PORT, "/book");
	two_daemons = make_target(ctx, 1, FRONT_PORT, "/book");
	direct_entry = make_target(ctx, 1, UPSTREAM_PORT, "/own");
	one_daemon = make_target(ctx, 1, FRONT_PORT, "/own");
	wait_until_serving(ctx, &two_daemons);
	bench_latency(ctx, &direct_booking, &two_daemons,
		      0.7 * UPSTREAM_SLOTS * CAS_USEC_PER_SEC / service_us, 70);
	bench_latency(ctx, &direct_booking, &two_daemons, 50, 2);
	bench_throughput(ctx, &direct_entry, &one_daemon);
	bench_idle(&one_daemon, entry_pid);
	return 0;
}
