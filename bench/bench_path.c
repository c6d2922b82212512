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
#include "cassia/keys.h"
#include "cassia/rng.h"

#define NET "127.73.0."
#define FRONT 18080
#define PEER 18081
#define CONTROL 18082
#define OPERATORS 18083
#define LOCAL 18084
#define UPSTREAM 18085
#define CONNS_MAX 512
#define SLOTS 60
#define SERVICE_US 20000 /* unless given as the first argument */
#define RUN_S 6
#define WARM_UP_S 2
#define IDLE_COUNT 10000
/* As many as a cold concurrency limit admits. */
#define THROUGHPUT_CONNS 8
#define SAMPLES_MAX 1000000
#define SALT "000102030405060708090a0b0c0d0e0f"
#define KEY KEYS_PREFIX "00000000000000000000000000000000000000000000000000000"
#define PROCESSES_MAX 8

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

static pid_t processes[PROCESSES_MAX];
static int process_count;
static char dir[] = "/tmp/cassia-bench-XXXXXX";

static void end_processes(void)
{
	for (int i = 0; i < process_count; i++)
		kill(processes[i], SIGKILL);
	for (int i = 0; i < process_count; i++)
		waitpid(processes[i], NULL, 0);
	process_count = 0;
}

static pid_t start(const char *log, char *const argv[])
{
	pid_t pid = fork();
	char path[128];

	if (pid == 0) {
		snprintf(path, sizeof(path), "%s/%s", dir, log);
		if (!freopen(path, "w", stdout) || !freopen(path, "a", stderr))
			_exit(126);
		execv(argv[0], argv);
		_exit(127);
	}
	processes[process_count++] = pid;
	return pid;
}

static void write_file(const char *name, const char *text)
{
	char path[128];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	file = fopen(path, "w");
	if (!file || fputs(text, file) < 0 || fclose(file)) {
		perror(path);
		exit(1);
	}
}

static void write_table(TALLOC_CTX *ctx)
{
	uint8_t salt[TABLE_SALT_BYTES];
	uint8_t hash[TABLE_KEY_HASH_BYTES];
	char text[2 * TABLE_KEY_HASH_BYTES + 1];

	sodium_hex2bin(salt, sizeof(salt), SALT, strlen(SALT), NULL, NULL,
		       NULL);
	keys_hash(salt, CAS_STR(KEY), hash);
	sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
	write_file("table.toml",
		   talloc_asprintf(ctx,
				   "revision = 1\nsalt = \"" SALT "\"\n"
				   "[[data_centre]]\nname = \"m1\"\n"
				   "region = \"marmara\"\n"
				   "[[service]]\nname = \"booking\"\n"
				   "[[service]]\nname = \"entry\"\n"
				   "[[route]]\nname = \"book\"\n"
				   "path = \"/book\"\nservice = \"booking\"\n"
				   "importance = 9\nidempotent = true\n"
				   "[[route]]\nname = \"own\"\n"
				   "path = \"/own\"\nservice = \"entry\"\n"
				   "importance = 9\nidempotent = true\n"
				   "[[customer]]\nname = \"acme\"\n"
				   "rate = 100000\nburst = 200000\n"
				   "[[key]]\ncustomer = \"acme\"\n"
				   "hash = \"%s\"\n[end]\n",
				   text));
}

static void write_hosts(TALLOC_CTX *ctx)
{
	static const char row[] =
		"[[host]]\nname = \"%s\"\nservice = \"%s\"\n"
		"data_centre = \"m1\"\naddress = \"" NET "%d\"\n"
		"peer_port = %d\ncontrol_port = %d\n";
	char *first =
		talloc_asprintf(ctx, row, "e1", "entry", 1, PEER, CONTROL);
	char *second =
		talloc_asprintf(ctx, row, "b1", "booking", 2, PEER, CONTROL);

	write_file("hosts.toml",
		   talloc_asprintf(ctx, "revision = 1\n%s%s[end]\n", first,
				   second));
}

static void write_settings(TALLOC_CTX *ctx, const char *name,
			   const char *service, int number)
{
	char *text = talloc_asprintf(
		ctx,
		"host = \"%s\"\nservice = \"%s\"\ndata_centre = \"m1\"\n"
		"[front]\naddress = \"" NET "%d\"\nport = %d\n"
		"[local]\nport = %d\naddress = \"" NET "%d\"\n"
		"[peer]\naddress = \"" NET "%d\"\nhttp_port = %d\n"
		"control_port = %d\n"
		"[operators]\naddress = \"" NET "%d\"\nport = %d\n"
		"[upstream]\naddress = \"" NET "%d\"\nport = %d\n"
		"[source]\nkind = \"file\"\ntable = \"%s/table.toml\"\n"
		"hosts = \"%s/hosts.toml\"\n"
		"[[secret]]\nid = 1\n"
		"secret = \"00112233445566778899aabbccddeeff\"\n"
		"[log]\nlevel = \"warn\"\n"
		"[limits]\nconnections = 12000\nidle_timeout_ms = 120000\n",
		name, service, number, FRONT, LOCAL, number, number, PEER,
		CONTROL, number, OPERATORS, number, UPSTREAM, dir, dir);

	write_file(talloc_asprintf(ctx, "%s.toml", name), text);
}

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
	target_t target = { .address = talloc_asprintf(ctx, NET "%d", number),
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

static pid_t start_host(TALLOC_CTX *ctx, const char *build, const char *name,
			const char *service, int number, const char *delay_us)
{
	char *cassiad[] = { talloc_asprintf(ctx, "%s/cassiad", build),
			    "--config",
			    talloc_asprintf(ctx, "%s/%s.toml", dir, name),
			    NULL };
	char *upstream[] = { talloc_asprintf(ctx, "%s/standins/upstream",
					     build),
			     "--address",
			     talloc_asprintf(ctx, NET "%d", number),
			     "--port",
			     talloc_asprintf(ctx, "%d", UPSTREAM),
			     "--delay-us",
			     talloc_strdup(ctx, delay_us),
			     NULL };

	write_settings(ctx, name, service, number);
	start(talloc_asprintf(ctx, "%s.up.log", name), upstream);
	return start(talloc_asprintf(ctx, "%s.log", name), cassiad);
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

	if (sodium_init() < 0 || !mkdtemp(dir))
		return 1;
	atexit(end_processes);
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	write_table(ctx);
	write_hosts(ctx);
	entry = start_host(ctx, build, "e1", "entry", 1, "0");
	start_host(ctx, build, "b1", "booking", 2,
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
	end_processes();
	return 0;
}
