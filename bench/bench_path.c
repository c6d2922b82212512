/*
 * Figures of the whole path with real processes on loopback: latency added to
 * a direct call, calls/s through one daemon, and memory of idle connections.
 * Starts two daemons and two upstreams and ends them by their ids.
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
#define SLOTS 60
#define SERVICE_US 20000 /* unless given as the first argument */
#define RUN_S 6
#define WARM_UP_S 2
#define IDLE_COUNT 10000
/* As many as a cold concurrency limit admits. */
#define THROUGHPUT_CONNS 8
#define SAMPLES_MAX 1000000

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
	char in[4096];
	size_t in_len;
} conn_t;

typedef struct load {
	cas_clock_t *clock;
	cas_rng_t *rng;
	const target_t *target;
	double rate; /* calls a second; 0: as fast as answers come */
	int conn_limit;
	conn_t conns[CONNS_MAX];
	conn_t *idle[CONNS_MAX];
	int idle_count;
	int conn_count;
	int epoll_fd;
	int64_t *samples; /* latencies in microseconds */
	long sample_count;
	int64_t from_us; /* counted from here on */
	long counted;
	long failed;
} load_t;

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

/* The latency counts from when the call was due, so that a slow answer is not
 * hidden by sending less. */
static bool send_call(load_t *load, int64_t due_us)
{
	conn_t *conn;

	if (!load->idle_count && load->conn_count < load->conn_limit)
		open_conn(load);
	if (!load->idle_count)
		return false;
	conn = load->idle[--load->idle_count];
	conn->due_us = due_us;
	conn->in_len = 0;
	if (send(conn->fd, load->target->request, load->target->request_len,
		 MSG_NOSIGNAL) != (ssize_t)load->target->request_len) {
		fprintf(stderr, "bench: connection lost\n");
		exit(1);
	}
	return true;
}

/* Returns the length of a whole response, or 0 while it is incomplete. */
static size_t response_length(const conn_t *conn)
{
	const char *end = memmem(conn->in, conn->in_len, "\r\n\r\n", 4);
	const char *field =
		memmem(conn->in, conn->in_len, "Content-Length:", 15);
	size_t len;

	if (!end || !field)
		return 0;
	len = (size_t)(end - conn->in) + 4 + strtoul(field + 15, NULL, 10);
	return conn->in_len >= len ? len : 0;
}

static void read_conn(load_t *load, conn_t *conn)
{
	ssize_t len = recv(conn->fd, conn->in + conn->in_len,
			   sizeof(conn->in) - 1 - conn->in_len, MSG_DONTWAIT);
	int64_t now = cas_clock_now(load->clock);

	if (len < 0 && errno == EAGAIN)
		return;
	if (len <= 0) {
		fprintf(stderr, "bench: connection closed\n");
		exit(1);
	}
	conn->in_len += (size_t)len;
	conn->in[conn->in_len] = '\0';
	if (!response_length(conn))
		return;
	if (conn->due_us >= load->from_us) {
		load->counted++;
		if (strncmp(conn->in, "HTTP/1.1 200", 12) != 0)
			load->failed++;
		else if (load->sample_count < SAMPLES_MAX)
			load->samples[load->sample_count++] =
				now - conn->due_us;
	}
	conn->due_us = 0;
	load->idle[load->idle_count++] = conn;
}

static int wait_ms(const load_t *load, int64_t next_us)
{
	int64_t left = next_us - cas_clock_now(load->clock);

	if (load->rate <= 0)
		return 100;
	/* The last millisecond is spent polling: sleeping is too coarse. */
	return left > 2000 ? (int)(left / 1000 - 1) : 0;
}

static void run_load(load_t *load, int seconds)
{
	struct epoll_event events[64];
	int64_t now = cas_clock_now(load->clock);
	int64_t end_us = now + seconds * CAS_USEC_PER_SEC;
	double next_us = (double)now;

	load->from_us = now + WARM_UP_S * CAS_USEC_PER_SEC;
	while ((now = cas_clock_now(load->clock)) < end_us) {
		int count;

		while (load->rate > 0 && next_us <= (double)now &&
		       send_call(load, (int64_t)next_us))
			next_us += cas_rng_exponential(load->rng,
						       1e6 / load->rate);
		while (load->rate <= 0 && send_call(load, now))
			;
		count = epoll_wait(load->epoll_fd, events, 64,
				   wait_ms(load, (int64_t)next_us));
		for (int i = 0; i < count; i++)
			read_conn(load, events[i].data.ptr);
	}
}

static load_t *load_create(TALLOC_CTX *ctx, const target_t *target, double rate,
			   int conn_limit)
{
	load_t *load = talloc_zero(ctx, load_t);

	load->clock = cas_clock_create_real(load);
	load->rng = cas_rng_create(load, 1);
	load->samples = talloc_array(load, int64_t, SAMPLES_MAX);
	load->target = target;
	load->rate = rate;
	load->conn_limit = conn_limit;
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

static int by_value(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Exact, because the figures are differences of large numbers. */
static long long quantile(load_t *load, double part)
{
	long rank = (long)(part * (double)load->sample_count);

	if (!load->sample_count)
		return 0;
	qsort(load->samples, (size_t)load->sample_count, sizeof(int64_t),
	      by_value);
	return load->samples[rank];
}

static void bench_latency(TALLOC_CTX *ctx, const target_t *direct,
			  const target_t *path, double rate, int percent)
{
	load_t *alone = load_create(ctx, direct, rate, CONNS_MAX);
	load_t *whole = load_create(ctx, path, rate, CONNS_MAX);
	long long direct_p50, direct_p99, p50, p99;

	run_load(alone, RUN_S);
	run_load(whole, RUN_S);
	direct_p50 = quantile(alone, 0.5);
	direct_p99 = quantile(alone, 0.99);
	p50 = quantile(whole, 0.5);
	p99 = quantile(whole, 0.99);
	printf("bench=added_latency load_percent=%d calls_per_s=%.0f "
	       "p50_us=%lld p99_us=%lld direct_p50_us=%lld direct_p99_us=%lld "
	       "added_p50_us=%lld added_p99_us=%lld count=%ld failed=%ld\n",
	       percent, rate, p50, p99, direct_p50, direct_p99,
	       p50 - direct_p50, p99 - direct_p99, whole->counted,
	       whole->failed);
	load_destroy(alone);
	load_destroy(whole);
}

static void bench_throughput(TALLOC_CTX *ctx, const target_t *direct,
			     const target_t *own)
{
	load_t *alone = load_create(ctx, direct, 0, THROUGHPUT_CONNS);
	load_t *whole = load_create(ctx, own, 0, THROUGHPUT_CONNS);

	run_load(alone, RUN_S);
	run_load(whole, RUN_S);
	printf("bench=throughput calls_per_s=%ld failed=%ld "
	       "baseline_calls_per_s=%ld\n",
	       (whole->counted - whole->failed) / (RUN_S - WARM_UP_S),
	       whole->failed, alone->counted / (RUN_S - WARM_UP_S));
	load_destroy(alone);
	load_destroy(whole);
}

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

/* Each connection has carried one call before it is idle. */
static void bench_idle(const target_t *path, pid_t daemon)
{
	static int fds[IDLE_COUNT];
	char answer[4096];
	int count;

	for (count = 0; count < IDLE_COUNT; count++) {
		fds[count] = connect_to(path);
		if (fds[count] < 0 ||
		    send(fds[count], path->request, path->request_len, 0) < 0 ||
		    recv(fds[count], answer, sizeof(answer), 0) <= 0)
			break;
	}
	printf("bench=idle_connections count=%d rss_bytes=%ld\n", count,
	       resident_bytes(daemon));
	for (int i = 0; i < count; i++)
		close(fds[i]);
}

static target_t make_target(TALLOC_CTX *ctx, int number, uint16_t port,
			    const char *path)
{
	target_t target = { .address = site_address(ctx, number),
			    .port = port };

	target.request = talloc_asprintf(
		ctx,
		"GET %s HTTP/1.1\r\nHost: bench\r\nX-Size: 200\r\n"
		"Authorization: Bearer " KEY "\r\n\r\n",
		path);
	target.request_len = strlen(target.request);
	return target;
}

static void wait_serving(TALLOC_CTX *ctx, const target_t *target)
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
		run_load(load, WARM_UP_S + 1);
		served = load->counted > 5 && !load->failed;
		load_destroy(load);
		if (served)
			return;
	}
	fprintf(stderr, "bench: the site does not serve\n");
	exit(1);
}

int main(int argc, char **argv)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *build = talloc_asprintf(ctx, "%s/..",
				      dirname(talloc_strdup(ctx, argv[0])));
	target_t direct, path, direct_own, own;
	struct rlimit limit;
	pid_t entry;

	int service_us = argc > 1 ? atoi(argv[1]) : SERVICE_US;

	if (sodium_init() < 0 || site_create(ctx))
		return 1;
	atexit(site_end);
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	entry = site_start_host(ctx, build, "e1", "entry", 1, "0");
	site_start_host(ctx, build, "b1", "booking", 2,
			talloc_asprintf(ctx, "%d", service_us));
	direct = make_target(ctx, 2, UPSTREAM, "/book");
	path = make_target(ctx, 1, FRONT, "/book");
	direct_own = make_target(ctx, 1, UPSTREAM, "/own");
	own = make_target(ctx, 1, FRONT, "/own");
	wait_serving(ctx, &path);
	bench_latency(ctx, &direct, &path,
		      0.7 * SLOTS * CAS_USEC_PER_SEC / service_us, 70);
	bench_latency(ctx, &direct, &path, 50, 2);
	bench_throughput(ctx, &direct_own, &own);
	bench_idle(&own, entry);
	return 0;
}
