/*
 * Cost of a request: what a small request on a kept connection costs each
 * daemon on its path. Sends a fixed number of requests through one daemon (the
 * upstream is on the entry host) and through two, over few and over several
 * connections, each of which carries one request at a time. Prints a row for
 * each daemon:
 *
 *   user_us, system_us   processor time per request
 *   switches             context switches per request
 *   rss_bytes            resident memory after the run
 *   allocations          calls of malloc and its relatives per request
 *   system_calls         system calls per request
 *
 * The first three come from an ordinary daemon, and the other two from a second
 * run with build/bench/cassiad_counted under strace, which slows it down. The
 * number of system calls is -1 without strace. Compare rows of the same
 * sitting: the processor time depends on what else the machine does.
 *
 * Usage: bench_request_cost [REQUESTS]
 */
#include <arpa/inet.h>
#include <errno.h>
#include <libgen.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "count_allocations.h"
#include "site.h"

/* Not more than the initial concurrency limit of a daemon admits. */
#define CONNS_MAX 8
/* Requests of a timed run. At 0.1 ms of processor time each, the resolution of
 * the kernel's counters (10 ms) is below 1%. */
#define DEFAULT_REQUESTS 10000
/* Requests of a counted run; a fixed number of timer events, which do not
 * belong to requests, falls into it. */
#define COUNTED_REQUESTS 2000
/* Requests that open connections and fill caches before a measurement. */
#define WARM_UP_REQUESTS 500
/* How long daemons may take to start, and the pause between trials. */
#define START_TRIALS 300
#define START_PAUSE_US 100000
/* How long a count that was asked for may take to appear in the log. */
#define COUNT_TRIALS 200
#define COUNT_PAUSE_US 10000

typedef struct target {
	const char *address;
	uint16_t port;
	char *request;
	size_t request_len;
} target_t;

typedef struct conn {
	int fd;
	char response[4096];
	size_t response_len;
} conn_t;

typedef struct process {
	pid_t pid;
	const char *name;
	const char *log; /* paths; NULL unless it counts */
	const char *trace;
} process_t;

/* Counters of a process since its start. */
typedef struct usage {
	double user_us;
	double system_us;
	long switches;
	long rss_bytes;
	long allocations;
	long system_calls; /* -1: unknown */
} usage_t;

static void fail(const char *what)
{
	fprintf(stderr, "bench_request_cost: %s\n", what);
	exit(1);
}

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

static void send_request(conn_t *conn, const target_t *target)
{
	conn->response_len = 0;
	if (send(conn->fd, target->request, target->request_len,
		 MSG_NOSIGNAL) != (ssize_t)target->request_len)
		fail("cannot send a request: connection lost");
}

/* Receives what has arrived. Returns whether the response is complete. */
static bool receive_response(conn_t *conn)
{
	ssize_t len = recv(conn->fd, conn->response + conn->response_len,
			   sizeof(conn->response) - 1 - conn->response_len, 0);
	const char *header_end, *length_field;

	if (len <= 0)
		fail("cannot receive a response: connection closed");
	conn->response_len += (size_t)len;
	conn->response[conn->response_len] = '\0';
	header_end = strstr(conn->response, "\r\n\r\n");
	length_field = strcasestr(conn->response, "Content-Length:");
	return header_end && length_field &&
	       conn->response_len >=
		       (size_t)(header_end - conn->response) + 4 +
			       strtoul(length_field + 15, NULL, 10);
}

/* Sends requests over conn_count connections, each of which sends the next one
 * when a response has arrived. Returns the number of responses other than 200.
 */
static int send_requests(const target_t *target, conn_t *conns, int conn_count,
			 int request_count)
{
	struct pollfd polled[CONNS_MAX];
	int sent = 0, received = 0, failed = 0;

	for (int i = 0; i < conn_count; i++) {
		polled[i] = (struct pollfd){ conns[i].fd, POLLIN, 0 };
		send_request(&conns[i], target);
		sent++;
	}
	while (received < request_count) {
		poll(polled, (nfds_t)conn_count, -1);
		for (int i = 0; i < conn_count; i++) {
			if (!polled[i].revents || !receive_response(&conns[i]))
				continue;
			received++;
			failed += strncmp(conns[i].response, "HTTP/1.1 200",
					  12) != 0;
			if (sent++ < request_count)
				send_request(&conns[i], target);
		}
	}
	return failed;
}

static void read_stat(pid_t pid, usage_t *usage)
{
	const double tick_us = 1e6 / (double)sysconf(_SC_CLK_TCK);
	unsigned long user = 0, system = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	file = fopen(path, "r");
	if (!file || fscanf(file,
			    "%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u "
			    "%*u %*u %lu %lu",
			    &user, &system) != 2)
		fail("cannot read the processor time of a daemon");
	fclose(file);
	usage->user_us = (double)user * tick_us;
	usage->system_us = (double)system * tick_us;
}

static void read_status(pid_t pid, usage_t *usage)
{
	char path[64];
	char line[256];
	long value;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmRSS: %ld", &value) == 1)
			usage->rss_bytes = value * 1024;
		if (sscanf(line, "voluntary_ctxt_switches: %ld", &value) == 1 ||
		    sscanf(line, "nonvoluntary_ctxt_switches: %ld", &value) ==
			    1)
			usage->switches += value;
	}
	if (file)
		fclose(file);
}

/* Returns the number of lines of a file that start with prefix, and the number
 * that follows it in the last one. */
static int scan_lines(const char *path, const char *prefix, long *last)
{
	FILE *file = fopen(path, "r");
	size_t len = strlen(prefix);
	char *line = NULL;
	size_t size = 0;
	int count = 0;

	while (file && getline(&line, &size, file) > 0) {
		if (strncmp(line, prefix, len) != 0)
			continue;
		count++;
		*last = strtol(line + len, NULL, 10);
	}
	free(line);
	if (file)
		fclose(file);
	return count;
}

/* Asks a counting daemon for its number of allocations. */
static long read_allocations(const process_t *process)
{
	long count = 0;
	int before = scan_lines(process->log, "allocations=", &count);

	kill(process->pid, COUNT_SIGNAL);
	for (int i = 0; i < COUNT_TRIALS; i++) {
		usleep(COUNT_PAUSE_US);
		if (scan_lines(process->log, "allocations=", &count) > before)
			return count;
	}
	fail("a daemon did not write its allocation count");
	return 0;
}

static usage_t read_usage(const process_t *process)
{
	usage_t usage = { .system_calls = -1 };
	long unused;

	read_stat(process->pid, &usage);
	read_status(process->pid, &usage);
	if (!process->log)
		return usage;
	usage.allocations = read_allocations(process);
	if (process->trace)
		usage.system_calls = scan_lines(process->trace, "", &unused);
	return usage;
}

static target_t make_target(TALLOC_CTX *ctx, const char *path)
{
	target_t target = { .address = site_address(ctx, 1),
			    .port = FRONT_PORT };

	target.request = talloc_asprintf(
		ctx,
		"GET %s HTTP/1.1\r\nHost: bench\r\nX-Size: 200\r\n"
		"Authorization: Bearer " CUSTOMER_KEY "\r\n\r\n",
		path);
	target.request_len = strlen(target.request);
	return target;
}

/* Opens connections and sends the requests of the warm-up. Returns whether all
 * were served. */
static bool open_conns(const target_t *target, conn_t *conns, int conn_count)
{
	int opened = 0;
	bool served = true;

	while (opened < conn_count) {
		conns[opened].fd = connect_to(target);
		if (conns[opened].fd < 0)
			break;
		opened++;
	}
	served = opened == conn_count &&
		 !send_requests(target, conns, conn_count, WARM_UP_REQUESTS);
	for (int i = 0; !served && i < opened; i++)
		close(conns[i].fd);
	return served;
}

/* Adds what the processes used for the requests to costs, in units of the whole
 * run. */
static void measure(const target_t *target, int conn_count, int request_count,
		    const process_t *processes, int process_count,
		    usage_t *costs)
{
	static conn_t conns[CONNS_MAX];
	usage_t before[2], after;
	int trials = START_TRIALS;

	while (!open_conns(target, conns, conn_count)) {
		if (!--trials)
			fail("the daemons do not serve requests");
		usleep(START_PAUSE_US);
	}
	for (int i = 0; i < process_count; i++)
		before[i] = read_usage(&processes[i]);
	if (send_requests(target, conns, conn_count, request_count))
		fail("a request was not served");
	for (int i = 0; i < process_count; i++) {
		after = read_usage(&processes[i]);
		costs[i].user_us = after.user_us - before[i].user_us;
		costs[i].system_us = after.system_us - before[i].system_us;
		costs[i].switches = after.switches - before[i].switches;
		costs[i].rss_bytes = after.rss_bytes;
		costs[i].allocations =
			after.allocations - before[i].allocations;
		costs[i].system_calls =
			after.system_calls < 0
				? -1
				: after.system_calls - before[i].system_calls;
	}
	for (int i = 0; i < conn_count; i++)
		close(conns[i].fd);
}

/* The combinations that are measured. */
static const struct {
	const char *path;
	int daemons;
	int conns;
} cases[] = {
	{ "/own", 1, 1 },
	{ "/own", 1, CONNS_MAX },
	{ "/book", 2, 1 },
	{ "/book", 2, CONNS_MAX },
};
#define CASES (sizeof(cases) / sizeof(*cases))

static void measure_cases(TALLOC_CTX *ctx, int request_count,
			  const process_t processes[2], usage_t costs[CASES][2])
{
	for (size_t i = 0; i < CASES; i++) {
		const target_t target = make_target(ctx, cases[i].path);

		measure(&target, cases[i].conns, request_count, processes,
			cases[i].daemons, costs[i]);
	}
}

static void start_site(TALLOC_CTX *ctx, const char *build, bool counted,
		       process_t processes[2])
{
	static const char *const names[2] = { "e1", "b1" };
	static const char *const services[2] = { "entry", "booking" };

	for (int i = 0; i < 2; i++) {
		processes[i] = (process_t){ .name = names[i] };
		if (!counted) {
			processes[i].pid = site_start_host(
				ctx, build, names[i], services[i], i + 1, "0");
			continue;
		}
		processes[i].log = site_file(
			ctx, talloc_asprintf(ctx, "%s.log", names[i]));
		if (site_has_strace())
			processes[i].trace =
				site_file(ctx, talloc_asprintf(ctx, "%s.trace",
							       names[i]));
		processes[i].pid = site_start_counted_host(
			ctx, build, names[i], services[i], i + 1, "0");
	}
}

static void print_case(size_t i, int request_count, const process_t *processes,
		       const usage_t timed[2], const usage_t counted[2])
{
	for (int j = 0; j < cases[i].daemons; j++) {
		double n = request_count;
		double calls = counted[j].system_calls < 0
				       ? -1
				       : (double)counted[j].system_calls /
						 COUNTED_REQUESTS;

		printf("bench=request_cost daemons=%d conns=%d daemon=%s "
		       "requests=%d user_us=%.1f system_us=%.1f cpu_us=%.1f "
		       "switches=%.2f allocations=%.1f system_calls=%.1f "
		       "rss_bytes=%ld\n",
		       cases[i].daemons, cases[i].conns, processes[j].name,
		       request_count, timed[j].user_us / n,
		       timed[j].system_us / n,
		       (timed[j].user_us + timed[j].system_us) / n,
		       (double)timed[j].switches / n,
		       (double)counted[j].allocations / COUNTED_REQUESTS, calls,
		       timed[j].rss_bytes);
	}
}

int main(int argc, char **argv)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *build = talloc_asprintf(ctx, "%s/..",
				      dirname(talloc_strdup(ctx, argv[0])));
	int request_count = argc > 1 ? atoi(argv[1]) : DEFAULT_REQUESTS;
	usage_t timed[CASES][2] = { 0 };
	usage_t counted[CASES][2] = { 0 };
	process_t processes[2];

	if (request_count <= 0 || sodium_init() < 0 || site_create(ctx))
		return 1;
	atexit(site_stop);
	start_site(ctx, build, false, processes);
	measure_cases(ctx, request_count, processes, timed);
	site_stop();
	start_site(ctx, build, true, processes);
	measure_cases(ctx, COUNTED_REQUESTS, processes, counted);
	for (int i = 0; i < 2; i++)
		if (processes[i].trace)
			unlink(processes[i].trace);
	for (size_t i = 0; i < CASES; i++)
		print_case(i, request_count, processes, timed[i], counted[i]);
	return 0;
}
