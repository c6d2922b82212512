/*
 * Stand-ins of the second review: the platform's store, the backends and the
 * clients of a small site, in one process. The daemons are started by the caller
 * (lib-2.sh) with the settings of the same site.
 *
 *   stand_in_2 ports NET
 *        prints five ports that are free on NET.1, NET.11 and NET.12
 *   stand_in_2 run NET STORE APP FRONT READY SCENARIO TROUBLE RECORD
 *        plays a scenario; TROUBLE 0 leaves its disruption out. Exits with 1 if
 *        the rule of the scenario was broken, 0 if it held, 2 if it did not run.
 *
 * The site: host 11 has a backend of the service "shop" and the clients, host 12
 * a backend of the service "files".
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX (16 * 1024)
#define BLOCK (64 * 1024)
#define PORTS 5
#define RUNS_MAX 64
#define STORE_REVISION 10
/* How long a backend that has answered early waits before it reads on. */
#define READ_ON_S 0.5
#define KEY "k1aaaaaaaaaaaaaaaaaa"
#define SECOND_KEY "k2bbbbbbbbbbbbbbbbbb"
#define TENANT "growers"
#define CALLER_SERVICE "shop"

/* What a backend noted of one request. */
typedef struct run {
	char id[64];
	bool begun;
	bool answered;
	int64_t body_wanted;
	int64_t body_got;
	char tenant[64];
	char caller_service[64];
} run_t;

/* A request as a backend read it, or an answer as a client read it. */
typedef struct head {
	char text[HEAD_MAX + 1];
	size_t len; /* of the head, with its empty line */
	size_t filled; /* bytes read, with the first ones of the body */
} head_t;

typedef struct answer {
	int status; /* 0: none */
	bool complete;
	double at_s;
	char request_id[64];
} answer_t;

static struct {
	const char *net;
	const char *scenario;
	bool trouble;
	int app_port;
	int front_port;
	int ready_port;
	FILE *record;
	/* Of the configuration in the store; 8 replaces 7. */
	_Atomic int version;
	double start_s;
	pthread_mutex_t lock; /* of record, runs and run_count */
	run_t runs[RUNS_MAX];
	int run_count;
} site = { .lock = PTHREAD_MUTEX_INITIALIZER, .version = 7 };

static double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void pause_s(double seconds)
{
	usleep((useconds_t)(seconds * 1e6));
}

__attribute__((format(printf, 1, 2))) static void note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&site.lock);
	fprintf(site.record, "%8.3f ", now_s() - site.start_s);
	va_start(args, format);
	vfprintf(site.record, format, args);
	va_end(args);
	fputc('\n', site.record);
	fflush(site.record);
	pthread_mutex_unlock(&site.lock);
}

static struct sockaddr_in address_of(int host, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	char text[64];

	snprintf(text, sizeof(text), "%s.%d", site.net, host);
	inet_pton(AF_INET, text, &address.sin_addr);
	return address;
}

static int connect_to(int host, int port)
{
	struct sockaddr_in address = address_of(host, port);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* receive_bytes limits the receive buffer of the connections; 0: no limit. */
static int listen_on(int host, int port, int receive_bytes)
{
	struct sockaddr_in address = address_of(host, port);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, 128) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

static bool send_text(int fd, const char *text)
{
	return send_all(fd, text, strlen(text));
}

/* Reads a head; bytes that follow it stay in head->text. */
static bool read_head(int fd, head_t *head)
{
	head->filled = 0;
	while (head->filled < HEAD_MAX) {
		ssize_t got = recv(fd, head->text + head->filled,
				   HEAD_MAX - head->filled, 0);
		const char *end;

		if (got <= 0)
			return false;
		head->filled += (size_t)got;
		head->text[head->filled] = '\0';
		end = strstr(head->text, "\r\n\r\n");
		if (!end)
			continue;
		head->len = (size_t)(end - head->text) + 4;
		return true;
	}
	return false;
}

/* Copies the value of a field, "" if there is none. */
static void get_field(const head_t *head, const char *name, char *value,
		      size_t size)
{
	const char *line = strstr(head->text, "\r\n");
	const char *end = head->text + head->len - 2;
	size_t name_len = strlen(name);

	value[0] = '\0';
	while (line && line < end) {
		line += 2;
		if (!strncasecmp(line, name, name_len) &&
		    line[name_len] == ':') {
			const char *text = line + name_len + 1;
			size_t len;

			text += strspn(text, " \t");
			len = strcspn(text, "\r");
			snprintf(value, size, "%.*s", (int)len, text);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

static int64_t get_length(const head_t *head)
{
	char value[64];

	get_field(head, "Content-Length", value, sizeof(value));
	return value[0] ? strtoll(value, NULL, 10) : 0;
}

/* Starts a thread that is not waited for. */
static bool start(void *(*body)(void *), void *argument)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, body, argument))
		return false;
	pthread_detach(thread);
	return true;
}

typedef struct listener {
	int fd;
	int host;
	void *(*serve)(void *); /* gets a connection_t, which it frees */
} listener_t;

typedef struct connection {
	int fd;
	int host;
} connection_t;

static void *accept_connections(void *private)
{
	const listener_t *listener = private;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		connection_t *connection;

		if (fd < 0)
			continue;
		connection = malloc(sizeof(*connection));
		if (!connection)
			abort();
		connection->fd = fd;
		connection->host = listener->host;
		if (!start(listener->serve, connection))
			abort();
	}
	return NULL;
}

static bool serve_on(int host, int port, int receive_bytes,
		     void *(*serve)(void *))
{
	listener_t *listener = malloc(sizeof(*listener));

	if (!listener)
		return false;
	listener->fd = listen_on(host, port, receive_bytes);
	listener->host = host;
	listener->serve = serve;
	if (listener->fd >= 0 && start(accept_connections, listener))
		return true;
	free(listener);
	return false;
}

/* The store. */

/* The store's revision: each version of the configuration is a change. */
static int store_revision(void)
{
	return STORE_REVISION + site.version - 7;
}

static void encode_base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (uint32_t)(unsigned char)text[i + 2];
		*out++ = digits[bits >> 18];
		*out++ = digits[bits >> 12 & 63];
		*out++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	*out = '\0';
}

static void append_item(char *items, size_t size, const char *key,
			const char *value, int revision)
{
	char encoded[8192];
	size_t used = strlen(items);

	encode_base64(value, encoded);
	snprintf(items + used, size - used,
		 "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,"
		 "\"created\":%d,\"lease\":0}",
		 used ? "," : "", key, encoded, revision, STORE_REVISION);
}

static void append_backend(char *items, size_t size, int host,
			   const char *service)
{
	char key[64];
	char value[512];

	snprintf(key, sizeof(key), "servers/i-%d", host);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s.%d:%d\",\"zone\":"
		 "\"wk-hamilton\",\"version\":\"v1\",\"slots\":50,\"state\":"
		 "\"ready\",\"cold_ms\":0,\"seq\":4,\"born\":1700000000000}",
		 service, site.net, host, site.app_port);
	append_item(items, size, key, value, STORE_REVISION);
}

/* Appends the tenants. Version 8 takes the second key away from the first tenant
 * and adds a tenant, whose name has spaces in the scenario "names". */
static void append_tenants(char *config, size_t size, int version)
{
	size_t used = strlen(config);

	snprintf(config + used, size - used,
		 "\"tenants\":[{\"name\":\"" TENANT "\",\"api-keys\":[\"" KEY
		 "\"%s],\"priority\":1,\"rate-per-s\":140,\"burst\":140}",
		 version == 7 ? ",\"" SECOND_KEY "\"" : "");
	used = strlen(config);
	if (version > 7)
		snprintf(config + used, size - used,
			 ",{\"name\":\"%s\",\"api-keys\":["
			 "\"k3cccccccccccccccccc\"],\"priority\":1,"
			 "\"rate-per-s\":140,\"burst\":140}",
			 site.trouble ? "Hail Net Orders" : "hail-net-orders");
	used = strlen(config);
	snprintf(config + used, size - used, "]}");
}

/* Routes of the configuration: uploads to "files" that may take up to 40 s, the
 * same with 5 s, and orders and lookups. */
static void append_config(char *items, size_t size)
{
	static const char *const routes[][4] = {
		{ "slow-upload", "/slow/", "upload", "40000" },
		{ "upload", "/up/", "upload", "5000" },
		{ "order", "/order/", "unsafe", "5000" },
		{ "lookup", "/lookup/", "safe", "5000" },
	};
	int version = site.version;
	char config[6000];
	size_t used;

	snprintf(config, sizeof(config), "{\"version\":%d,\"routes\":[",
		 version);

	for (size_t i = 0; i < sizeof(routes) / sizeof(*routes); i++) {
		used = strlen(config);
		snprintf(config + used, sizeof(config) - used,
			 "%s{\"name\":\"%s\",\"host\":\"files.example\","
			 "\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%s,"
			 "\"objective_ms\":1500,\"priority\":0,\"service\":"
			 "\"files\",\"attempts\":2,\"public\":false}",
			 i ? "," : "", routes[i][0], routes[i][1], routes[i][2],
			 routes[i][3]);
	}
	used = strlen(config);
	snprintf(
		config + used, sizeof(config) - used,
		"],\"services\":[{\"name\":\"shop\",\"health-path\":"
		"\"/healthz\",\"max-conns\":748,\"protocol\":\"h1\",\"tls\":"
		"false},{\"name\":\"files\",\"health-path\":\"/healthz\","
		"\"max-conns\":748,\"protocol\":\"h1\",\"tls\":false}],"
		"\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
		"67108864,\"header-timeout-s\":3000,\"idle-timeout-s\":15000},");
	append_tenants(config, sizeof(config), version);
	append_item(items, size, "op/config", config, store_revision());
}

/* Waits as long as a watch asks for, at most until the store has changed. Returns
 * whether it has. */
static bool wait_for_change(const head_t *head)
{
	const char *wait = strstr(head->text, "wait-ms=");
	const char *after = strstr(head->text, "after=");
	int seen = after ? (int)strtol(after + 6, NULL, 10) : 0;
	double end_s = now_s() + (wait ? strtod(wait + 8, NULL) / 1000 : 1);

	while (store_revision() <= seen && now_s() < end_s)
		pause_s(0.01);
	return store_revision() > seen;
}

/* Answers a call of the store: its items with a prefix, or the changes that a
 * watch has waited for, which can only be those of the configuration. */
static bool answer_store_call(int fd, const head_t *head)
{
	char items[12000] = "";
	char body[14000];
	char reply[16000];
	bool is_watch = !strncmp(head->text, "GET /-/kv-watch", 15);

	if (is_watch) {
		if (wait_for_change(head))
			append_config(items, sizeof(items));
	} else if (strstr(head->text, "prefix=servers/")) {
		append_backend(items, sizeof(items), 11, "shop");
		append_backend(items, sizeof(items), 12, "files");
	} else if (strstr(head->text, "prefix=op/config")) {
		append_config(items, sizeof(items));
	}
	snprintf(body, sizeof(body),
		 is_watch ? "{\"events\":[%s],\"as-of\":%d}"
			  : "{\"items\":[%s],\"more-pages\":false,"
			    "\"as-of\":%d}",
		 items, store_revision());
	snprintf(reply, sizeof(reply),
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 strlen(body), body);
	return send_text(fd, reply);
}

static void *serve_store(void *private)
{
	connection_t *connection = private;
	head_t *head = malloc(sizeof(*head));

	while (head && read_head(connection->fd, head) &&
	       answer_store_call(connection->fd, head))
		continue;
	close(connection->fd);
	free(head);
	free(connection);
	return NULL;
}

/* The backends. */

static run_t *add_run(const head_t *head)
{
	run_t *run = NULL;

	pthread_mutex_lock(&site.lock);
	if (site.run_count < RUNS_MAX)
		run = &site.runs[site.run_count++];
	pthread_mutex_unlock(&site.lock);
	if (!run)
		return NULL;
	get_field(head, "Cassiadale-Request-Id", run->id, sizeof(run->id));
	get_field(head, "Cassiadale-Tenant", run->tenant, sizeof(run->tenant));
	get_field(head, "Cassiadale-Caller-Service", run->caller_service,
		  sizeof(run->caller_service));
	run->body_wanted = get_length(head);
	run->body_got = (int64_t)(head->filled - head->len);
	run->begun = true;
	note("backend: begins %s, tenant \"%s\", caller \"%s\", body of %lld",
	     run->id, run->tenant, run->caller_service,
	     (long long)run->body_wanted);
	return run;
}

/* Reads the rest of a body, at most bytes_per_s (0: as fast as it comes).
 * Returns whether it is whole. */
static bool read_body(int fd, run_t *run, double bytes_per_s)
{
	static __thread char block[BLOCK];
	double begun_s = now_s();
	int64_t begun_at = run->body_got;

	while (run->body_got < run->body_wanted) {
		int64_t left = run->body_wanted - run->body_got;
		ssize_t got =
			recv(fd, block, left < BLOCK ? (size_t)left : BLOCK, 0);
		double due_s;

		if (got <= 0) {
			note("backend: the body of %s is cut off at %lld of "
			     "%lld",
			     run->id, (long long)run->body_got,
			     (long long)run->body_wanted);
			return false;
		}
		run->body_got += got;
		if (bytes_per_s <= 0)
			continue;
		due_s = begun_s +
			(double)(run->body_got - begun_at) / bytes_per_s;
		if (due_s > now_s())
			pause_s(due_s - now_s());
	}
	note("backend: has the whole body of %s", run->id);
	return true;
}

static bool send_answer(int fd, run_t *run, bool chunked)
{
	char reply[1024];

	snprintf(reply, sizeof(reply),
		 "HTTP/1.1 200 OK\r\nCassiadale-Request-Id: %s\r\n"
		 "Cassiadale-Response-Seal: s.%s\r\n%s",
		 run->id, run->id,
		 chunked ? "Transfer-Encoding: chunked\r\n\r\n"
			   "8\r\naccepted\r\n0\r\n\r\n"
			 : "Content-Length: 8\r\n\r\naccepted");
	run->answered = true;
	note("backend: answers %s with 200, %s", run->id,
	     chunked ? "in chunks" : "with a length");
	return send_text(fd, reply);
}

/* Runs a request. The scenario "slow" reads bodies slowly, "early" answers
 * before it has read them and then reads on. The answer to an id that ends with
 * "c" comes in chunks. Returns whether the connection is kept. */
static bool run_request(int fd, const head_t *head)
{
	bool slow = site.trouble && !strcmp(site.scenario, "slow");
	bool early = site.trouble && !strcmp(site.scenario, "early");
	run_t *run = add_run(head);
	bool chunked;

	if (!run)
		return false;
	chunked = run->id[0] && run->id[strlen(run->id) - 1] == 'c';
	if (early && !send_answer(fd, run, chunked))
		return false;
	if (early)
		pause_s(READ_ON_S);
	if (!read_body(fd, run, slow ? 1.6e6 : 0))
		return false;
	return early || send_answer(fd, run, chunked);
}

static void *serve_backend(void *private)
{
	connection_t *connection = private;
	head_t *head = malloc(sizeof(*head));

	while (head && read_head(connection->fd, head) &&
	       run_request(connection->fd, head))
		continue;
	close(connection->fd);
	free(head);
	free(connection);
	return NULL;
}

/* The clients. */

/* Reads the body of an answer to its end. */
static bool read_answer_body(int fd, head_t *head)
{
	const char *body = head->text + head->len;
	char coding[64];
	int64_t left = get_length(head) - (int64_t)(head->filled - head->len);

	get_field(head, "Transfer-Encoding", coding, sizeof(coding));
	while (coding[0] ? !strstr(body, "0\r\n\r\n") : left > 0) {
		ssize_t got = recv(fd, head->text + head->filled,
				   HEAD_MAX - head->filled, 0);

		if (got <= 0)
			return false;
		head->filled += (size_t)got;
		head->text[head->filled] = '\0';
		left -= got;
	}
	return true;
}

/* Reads an answer. The connection times out after the deadline of its client. */
static answer_t read_answer(int fd)
{
	answer_t answer = { 0 };
	head_t *head = malloc(sizeof(*head));

	if (head && read_head(fd, head)) {
		answer.status = (int)strtol(head->text + 9, NULL, 10);
		get_field(head, "Cassiadale-Request-Id", answer.request_id,
			  sizeof(answer.request_id));
		answer.complete = read_answer_body(fd, head);
	}
	free(head);
	answer.at_s = now_s() - site.start_s;
	return answer;
}

/* One request of a client, on a connection of its own that is kept open. */
typedef struct request {
	pthread_t thread;
	char id[64];
	const char *method;
	const char *path;
	const char *key;
	const char *fields; /* further ones */
	int64_t body_len;
	int deadline_ms;
	int fd;
	answer_t answer;
} request_t;

static void *send_body(void *private)
{
	static const char block[BLOCK];
	const request_t *request = private;
	int64_t left = request->body_len;

	while (left > 0) {
		size_t len = left < BLOCK ? (size_t)left : BLOCK;

		if (!send_all(request->fd, block, len))
			return NULL;
		left -= (int64_t)len;
	}
	if (request->body_len)
		note("client: has sent the whole body of %s", request->id);
	return NULL;
}

static bool send_head(const request_t *request)
{
	char head[2048];
	char length[64] = "";

	if (request->body_len)
		snprintf(length, sizeof(length), "Content-Length: %lld\r\n",
			 (long long)request->body_len);
	snprintf(head, sizeof(head),
		 "%s %s%s HTTP/1.1\r\nHost: files.example\r\n"
		 "Cassiadale-Request-Id: %s\r\nCassiadale-Deadline-Ms: %d\r\n"
		 "Authorization: Token %s\r\n%s%s\r\n",
		 request->method, request->path, request->id, request->id,
		 request->deadline_ms, request->key ? request->key : KEY,
		 length, request->fields);
	note("client: sends %s %s%s, body of %lld, %s", request->method,
	     request->path, request->id, (long long)request->body_len,
	     request->fields[0] ? request->fields : "no further fields");
	return send_text(request->fd, head);
}

static void *play_request(void *private)
{
	request_t *request = private;
	const struct timeval limit = { .tv_sec = request->deadline_ms / 1000 };
	pthread_t sender;

	request->fd = connect_to(11, site.front_port);
	if (request->fd < 0)
		return NULL;
	setsockopt(request->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (send_head(request) &&
	    !pthread_create(&sender, NULL, send_body, request)) {
		request->answer = read_answer(request->fd);
		shutdown(request->fd, SHUT_RDWR);
		pthread_join(sender, NULL);
	}
	close(request->fd);
	if (!request->answer.status)
		note("client: %s ends without an answer", request->id);
	else
		note("client: %s gets %d, %s", request->id,
		     request->answer.status,
		     request->answer.complete ? "complete"
					      : "broken off before its end");
	return NULL;
}

static bool play_requests(request_t *requests, int count)
{
	for (int i = 0; i < count; i++)
		if (pthread_create(&requests[i].thread, NULL, play_request,
				   &requests[i]))
			return false;
	for (int i = 0; i < count; i++)
		pthread_join(requests[i].thread, NULL);
	return true;
}

static const run_t *find_run(const char *id)
{
	for (int i = 0; i < site.run_count; i++)
		if (!strcmp(site.runs[i].id, id))
			return &site.runs[i];
	return NULL;
}

/* Whether a status promises that the request has not run and never will. */
static bool is_promise(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Three clients upload 40 MB each, and try once more after a promise, as they
 * may. Returns how often a promise was broken, or -1. */
static int play_slow(void)
{
	request_t requests[3] = { { 0 } };
	int broken = 0;
	int served = 0;

	for (int try = 1; try <= 2; try++) {
		for (int i = 0; i < 3; i++) {
			requests[i] = (request_t){
				.method = "POST",
				.path = "/slow/",
				.fields = "",
				.body_len = 40000000,
				.deadline_ms = 40000,
			};
			snprintf(requests[i].id, sizeof(requests[i].id),
				 "deed%d%d", i, try);
		}
		if (!play_requests(requests, 3))
			return -1;
		for (int i = 0; i < 3; i++) {
			const run_t *run = find_run(requests[i].id);

			served += requests[i].answer.status == 200;
			if (!is_promise(requests[i].answer.status) || !run)
				continue;
			broken++;
			note("REFUSED: %s got %d, but a backend had begun it",
			     run->id, requests[i].answer.status);
		}
		if (!broken)
			break;
	}
	note("result: %d served, %d promises broken", served, broken);
	return broken || served == 3 ? broken : -1;
}

/* Uploads of 8 MB, five with an answer in chunks and five with a length.
 * Returns how many were passed on to the backend, which answered, and ended with
 * a closed connection in place of a complete answer, beyond the three that the
 * rule allows; or -1. */
static int play_early(void)
{
	request_t requests[10] = { { 0 } };
	int cut = 0;
	int lost_bodies = 0;
	int served = 0;

	for (int i = 0; i < 10; i++) {
		requests[i] = (request_t){ .method = "POST",
					   .path = "/up/",
					   .fields = "",
					   .body_len = 8000000,
					   .deadline_ms = 20000 };
		snprintf(requests[i].id, sizeof(requests[i].id), "scan%d%s", i,
			 i < 5 ? "c" : "l");
	}
	if (!play_requests(requests, 10))
		return -1;
	pause_s(1);
	for (int i = 0; i < 10; i++) {
		const answer_t *answer = &requests[i].answer;
		const run_t *run = find_run(requests[i].id);

		if (!run || !run->answered)
			return -1;
		served += answer->status == 200 && answer->complete;
		if (!answer->status || !answer->complete) {
			cut++;
			note("LOST: %s was answered by the backend, and its "
			     "connection closed without a complete answer",
			     run->id);
		} else if (run->body_got < run->body_wanted) {
			lost_bodies++;
			note("data: %s got 200, and the backend %lld of %lld "
			     "bytes of its body",
			     run->id, (long long)run->body_got,
			     (long long)run->body_wanted);
		}
	}
	note("result: %d served, %d closed without a complete answer, %d "
	     "served without the rest of their body",
	     served, cut, lost_bodies);
	if (cut > 3)
		return cut;
	return served == 10 && !lost_bodies ? 0 : -1;
}

/* Ten orders with a Connection field that names fields of the system. Returns how
 * many ran for another tenant or caller than theirs, or -1. */
static int play_fields(void)
{
	request_t requests[10] = { { 0 } };
	int wrong = 0;

	for (int i = 0; i < 10; i++) {
		requests[i] = (request_t){
			.method = i % 2 ? "GET" : "POST",
			.path = i % 2 ? "/lookup/" : "/order/",
			.fields = site.trouble ? "Connection: keep-alive, "
						 "Cassiadale-Tenant, "
						 "Cassiadale-Caller-Service\r\n"
					       : "Connection: keep-alive\r\n",
			.body_len = i % 2 ? 0 : 1200,
			.deadline_ms = 5000,
		};
		snprintf(requests[i].id, sizeof(requests[i].id), "order%d", i);
	}
	if (!play_requests(requests, 10))
		return -1;
	for (int i = 0; i < 10; i++) {
		const run_t *run = find_run(requests[i].id);

		if (!run)
			return -1;
		if (!strcmp(run->tenant, TENANT) &&
		    !strcmp(run->caller_service, CALLER_SERVICE))
			continue;
		wrong++;
		note("UNASKED: %s ran for tenant \"%s\" and caller \"%s\"",
		     run->id, run->tenant, run->caller_service);
	}
	note("result: %d of 10 ran for another tenant or caller", wrong);
	return wrong;
}

/* Takes a key away, with a version that also adds a tenant, and sends ten orders
 * with the key 3 s after the store has it (config-s is 2 s). Returns how many of
 * them ran, or -1. */
static int play_names(void)
{
	request_t requests[20] = { { 0 } };
	int ran = 0;
	int ran_before = 0;

	for (int i = 0; i < 20; i++) {
		requests[i] = (request_t){ .method = "POST",
					   .path = "/order/",
					   .key = SECOND_KEY,
					   .fields = "",
					   .body_len = 1200,
					   .deadline_ms = 5000 };
		snprintf(requests[i].id, sizeof(requests[i].id), "order%d", i);
	}
	if (!play_requests(requests, 10))
		return -1;
	site.version = 8;
	note("operator: version 8 is in the store, which takes a key away and "
	     "adds the tenant \"%s\"",
	     site.trouble ? "Hail Net Orders" : "hail-net-orders");
	pause_s(3);
	if (!play_requests(requests + 10, 10))
		return -1;
	for (int i = 0; i < 20; i++) {
		const run_t *run = find_run(requests[i].id);

		if (run && i < 10)
			ran_before++;
		if (!run || i < 10)
			continue;
		ran++;
		note("CONFIG: %s ran with a key that was taken away", run->id);
	}
	note("result: %d of 10 ran before, %d of 10 after", ran_before, ran);
	return ran_before == 10 ? ran : -1;
}

static bool is_ready(int host)
{
	int fd = connect_to(host, site.ready_port);
	answer_t answer = { 0 };

	if (fd < 0)
		return false;
	if (send_text(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
		answer = read_answer(fd);
	close(fd);
	return answer.status == 200;
}

static bool wait_ready(void)
{
	for (int tries = 0; tries < 150; tries++) {
		if (is_ready(11) && is_ready(12))
			return true;
		pause_s(0.1);
	}
	return false;
}

static int play(int store_port)
{
	bool slow = !strcmp(site.scenario, "slow");
	int broken = -1;

	if (!serve_on(1, store_port, 0, serve_store) ||
	    !serve_on(11, site.app_port, 0, serve_backend) ||
	    !serve_on(12, site.app_port, slow ? BLOCK : 0, serve_backend) ||
	    !wait_ready())
		return 2;
	/* The daemons know each other's upstreams by then. */
	pause_s(3);
	site.start_s = now_s();
	if (slow)
		broken = play_slow();
	else if (!strcmp(site.scenario, "early"))
		broken = play_early();
	else if (!strcmp(site.scenario, "fields"))
		broken = play_fields();
	else if (!strcmp(site.scenario, "names"))
		broken = play_names();
	if (broken < 0)
		return 2;
	return broken > 0;
}

/* Prints ports that are free for TCP and UDP on all addresses of a site. */
static int print_ports(void)
{
	static const int hosts[] = { 1, 11, 12 };
	int port = 20000 + (int)(getpid() % 10000);
	int found = 0;

	for (; found < PORTS && port < 60000; port++) {
		bool is_free = true;

		for (int i = 0; i < 3 && is_free; i++) {
			struct sockaddr_in address = address_of(hosts[i], port);
			int tcp = listen_on(hosts[i], port, 0);
			int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

			is_free = tcp >= 0 && udp >= 0 &&
				  !bind(udp, (struct sockaddr *)&address,
					sizeof(address));
			close(tcp);
			close(udp);
		}
		if (is_free && ++found)
			printf("%d\n", port);
	}
	return found == PORTS ? 0 : 2;
}

int main(int argc, char **argv)
{
	int result;

	signal(SIGPIPE, SIG_IGN);
	if (argc == 3 && !strcmp(argv[1], "ports")) {
		site.net = argv[2];
		return print_ports();
	}
	if (argc != 10 || strcmp(argv[1], "run") != 0)
		return 2;
	site.net = argv[2];
	site.app_port = (int)strtol(argv[4], NULL, 10);
	site.front_port = (int)strtol(argv[5], NULL, 10);
	site.ready_port = (int)strtol(argv[6], NULL, 10);
	site.scenario = argv[7];
	site.trouble = strcmp(argv[8], "0") != 0;
	site.record = fopen(argv[9], "w");
	if (!site.record)
		return 2;
	site.start_s = now_s();
	result = play((int)strtol(argv[3], NULL, 10));
	note("exit %d", result);
	return result;
}
