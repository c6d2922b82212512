/*
 * Stand-ins for the review cases: the platform's store, an application backend,
 * a load of clients, and a single call. They speak what the users' pages state.
 *
 *   standin store ADDRESS PORT LOG
 *   standin backend ADDRESS PORT ID SLOTS WORK_MS SLOW_FACTOR LOG
 *   standin load ADDRESS PORT HOST PATH RATE SECONDS DEADLINE_MS KEY PREFIX LOG
 *   standin call ADDRESS PORT METHOD TARGET [FIELD]...
 *
 * store: GET /-/kv-key, /-/kv-range and /-/kv-watch for the daemons. The
 * operator writes with PUT /op/KEY and removes with DELETE /op/KEY; the answer is
 * the acknowledgement.
 * backend: runs SLOTS requests at a time, queues as many more, and rejects others.
 * SIGUSR1 makes it slow, SIGUSR2 as before, SIGTERM ends it.
 * load: sends RATE requests a second, each on a new connection, without retries, and
 * leaves at the deadline. PATH may be POST:PATH or POST:BODY_BYTES:PATH.
 * call: sends a request with standard input as its body (PUT and POST only), and
 * prints status and body.
 *
 * Logs have one event a line: milliseconds since 1970, event, id and details.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
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
#include <time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 16384
#define KEYS_MAX 256
#define PAGE_ITEMS 500
#define BACKLOG 1024
#define THREAD_STACK_BYTES ((size_t)256 * 1024)
/* What the store keeps of its past, as in the settings of the deployment. */
#define HISTORY_MS 20000

/* A received message: head and body. */
typedef struct message {
	char head[HEAD_MAX_BYTES];
	size_t head_len;
	char *body; /* owned; NULL: empty */
	size_t body_len;
} message_t;

static FILE *log_file;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void log_event(const char *format, ...)
{
	va_list args;

	flockfile(log_file);
	fprintf(log_file, "%lld ", (long long)now_ms());
	va_start(args, format);
	vfprintf(log_file, format, args);
	va_end(args);
	fputc('\n', log_file);
	fflush(log_file);
	funlockfile(log_file);
}

static struct sockaddr_in address_of(const char *address, const char *port)
{
	struct sockaddr_in out = { .sin_family = AF_INET };

	out.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	if (inet_pton(AF_INET, address, &out.sin_addr) != 1) {
		fprintf(stderr, "standin: no address: %s\n", address);
		exit(2);
	}
	return out;
}

/* Writes all bytes. Returns false when the connection is gone. */
static bool write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Copies the value of a header field to out, "" if there is none. */
static void field_value(const message_t *message, const char *name, char *out,
			size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	out[0] = '\0';
	while (line && line[2] != '\r') {
		const char *end = strstr(line + 2, "\r\n");
		const char *value = line + 2 + name_len;

		line += 2;
		if (!end)
			return;
		if (!strncasecmp(line, name, name_len) && *value == ':') {
			value++;
			while (*value == ' ')
				value++;
			snprintf(out, size, "%.*s", (int)(end - value), value);
			return;
		}
		line = end;
	}
}

static void message_clear(message_t *message)
{
	free(message->body);
	message->body = NULL;
	message->body_len = 0;
	message->head_len = 0;
}

/* Reads a message with a body of stated length. Returns false at the end of the
 * connection. Bytes after the message are not expected. */
static bool read_message(int fd, message_t *message)
{
	char length_text[32];
	size_t used = 0;
	size_t length;
	char *end = NULL;

	message_clear(message);
	while (!end) {
		ssize_t got = recv(fd, message->head + used,
				   sizeof(message->head) - 1 - used, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		used += (size_t)got;
		message->head[used] = '\0';
		end = strstr(message->head, "\r\n\r\n");
	}
	message->head_len = (size_t)(end + 4 - message->head);
	field_value(message, "Content-Length", length_text,
		    sizeof(length_text));
	length = strtoul(length_text, NULL, 10);
	message->body = malloc(length + 1);
	if (!message->body)
		return false;
	message->body_len = used - message->head_len;
	if (message->body_len > length)
		message->body_len = length;
	memcpy(message->body, message->head + message->head_len,
	       message->body_len);
	while (message->body_len < length) {
		ssize_t got = recv(fd, message->body + message->body_len,
				   length - message->body_len, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		message->body_len += (size_t)got;
	}
	message->body[length] = '\0';
	return true;
}

static int connect_to(const struct sockaddr_in *address)
{
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/* Starts a detached thread with a small stack. */
static void start_thread(void *(*run)(void *), void *argument)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, argument)) {
		perror("standin: thread");
		exit(2);
	}
	pthread_attr_destroy(&attributes);
}

/* Serves each connection in a thread of its own, which gets the descriptor. */
static void serve(const char *address, const char *port, void *(*run)(void *))
{
	const struct sockaddr_in local = address_of(address, port);
	const int on = 1;
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listen_fd, (const struct sockaddr *)&local, sizeof(local)) ||
	    listen(listen_fd, BACKLOG)) {
		perror("standin: listen");
		exit(2);
	}
	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		start_thread(run, (void *)(intptr_t)fd);
	}
}

/* ---- store ---- */

/* A write or a removal. The newest one of a key is its item. */
typedef struct change {
	char key[KEYS_MAX];
	char *value; /* base64; NULL: removed */
	int64_t revision;
	int64_t created;
	int64_t at_ms;
	bool newest; /* of its key */
} change_t;

static change_t *changes;
static size_t change_count;
static int64_t revision = 1;
static int64_t forgotten; /* the last revision that history lacks */

static char *base64_encode(const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	const unsigned char *in = (const unsigned char *)data;
	char *out = malloc(4 * ((len + 2) / 3) + 1);
	size_t used = 0;

	for (size_t i = 0; out && i < len; i += 3) {
		uint32_t word = (uint32_t)in[i] << 16;

		if (i + 1 < len)
			word |= (uint32_t)in[i + 1] << 8;
		if (i + 2 < len)
			word |= in[i + 2];
		out[used++] = digits[word >> 18];
		out[used++] = digits[word >> 12 & 63];
		out[used++] = i + 1 < len ? digits[word >> 6 & 63] : '=';
		out[used++] = i + 2 < len ? digits[word & 63] : '=';
	}
	if (out)
		out[used] = '\0';
	return out;
}

/* Copies a parameter of the query, decoded, to out; "" if there is none. */
static void query_value(const char *target, const char *name, char *out,
			size_t size)
{
	const char *query = strchr(target, '?');
	size_t name_len = strlen(name);
	size_t used = 0;

	out[0] = '\0';
	while (query) {
		query++;
		if (!strncmp(query, name, name_len) && query[name_len] == '=')
			break;
		query = strchr(query, '&');
	}
	if (!query)
		return;
	query += name_len + 1;
	while (*query && *query != '&' && used + 1 < size) {
		unsigned int code;

		if (*query == '%' && sscanf(query + 1, "%2x", &code) == 1) {
			out[used++] = (char)code;
			query += 3;
		} else {
			out[used++] = *query++;
		}
	}
	out[used] = '\0';
}

/* Appends a change. The caller holds the lock. */
static void add_change(const char *key, char *value)
{
	change_t *all = realloc(changes, (change_count + 1) * sizeof(*all));
	change_t *change;
	int64_t created = revision + 1;

	if (!all)
		exit(2);
	changes = all;
	for (size_t i = 0; i < change_count; i++) {
		if (!changes[i].newest || strcmp(changes[i].key, key) != 0)
			continue;
		changes[i].newest = false;
		if (changes[i].value)
			created = changes[i].created;
	}
	change = &changes[change_count++];
	*change = (change_t){ .value = value,
			      .revision = ++revision,
			      .created = created,
			      .at_ms = now_ms(),
			      .newest = true };
	snprintf(change->key, sizeof(change->key), "%.*s", KEYS_MAX - 1, key);
	pthread_cond_broadcast(&changed);
}

/* Drops changes that are older than the history and not an item. */
static void forget_changes(void)
{
	int64_t limit_ms = now_ms() - HISTORY_MS;
	size_t kept = 0;

	for (size_t i = 0; i < change_count; i++) {
		change_t *change = &changes[i];

		if (change->at_ms < limit_ms &&
		    (!change->newest || !change->value)) {
			if (change->revision > forgotten)
				forgotten = change->revision;
			free(change->value);
			continue;
		}
		changes[kept++] = *change;
	}
	change_count = kept;
}

static void print_change(FILE *out, const change_t *change, bool first)
{
	fprintf(out, "%s{\"key\":\"%s\",\"revision\":%lld,", first ? "" : ",",
		change->key, (long long)change->revision);
	if (change->value)
		fprintf(out, "\"created\":%lld,\"lease\":0,\"value\":\"%s\"}",
			(long long)change->created, change->value);
	else
		fprintf(out, "\"tombstone\":true}");
}

static bool has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static int compare_keys(const void *left, const void *right)
{
	const change_t *const *a = left;
	const change_t *const *b = right;

	return strcmp((*a)->key, (*b)->key);
}

static void print_range(FILE *out, const char *target)
{
	const change_t **items =
		calloc(change_count + 1, sizeof(const change_t *));
	char prefix[KEYS_MAX];
	char after[KEYS_MAX];
	size_t count = 0;

	if (!items)
		exit(2);
	query_value(target, "prefix", prefix, sizeof(prefix));
	query_value(target, "after", after, sizeof(after));
	for (size_t i = 0; i < change_count; i++)
		if (changes[i].newest && changes[i].value &&
		    has_prefix(changes[i].key, prefix) &&
		    strcmp(changes[i].key, after) > 0)
			items[count++] = &changes[i];
	if (count)
		qsort(items, count, sizeof(const change_t *), compare_keys);
	fprintf(out, "{\"items\":[");
	for (size_t i = 0; i < count && i < PAGE_ITEMS; i++)
		print_change(out, items[i], i == 0);
	fprintf(out, "],\"more-pages\":%s,\"as-of\":%lld}",
		count > PAGE_ITEMS ? "true" : "false", (long long)revision);
	free(items);
}

/* Returns whether there are changes after a revision. */
static bool has_changes(const char *prefix, int64_t after)
{
	for (size_t i = 0; i < change_count; i++)
		if (changes[i].revision > after &&
		    has_prefix(changes[i].key, prefix))
			return true;
	return false;
}

/* Waits for changes and prints them. Returns the status. */
static int print_watch(FILE *out, const char *target)
{
	char prefix[KEYS_MAX];
	char text[32];
	struct timespec until;
	int64_t after;
	int64_t wait_ms;
	bool first = true;

	query_value(target, "prefix", prefix, sizeof(prefix));
	query_value(target, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	query_value(target, "wait-ms", text, sizeof(text));
	wait_ms = strtoll(text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	forget_changes();
	if (after < forgotten)
		return 410;
	while (!has_changes(prefix, after))
		if (pthread_cond_timedwait(&changed, &lock, &until))
			break;
	fprintf(out, "{\"events\":[");
	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].revision <= after ||
		    !has_prefix(changes[i].key, prefix))
			continue;
		print_change(out, &changes[i], first);
		first = false;
	}
	fprintf(out, "],\"as-of\":%lld}", (long long)revision);
	return 200;
}

static int print_key(FILE *out, const char *target)
{
	char key[KEYS_MAX];

	query_value(target, "key", key, sizeof(key));
	for (size_t i = 0; i < change_count; i++)
		if (changes[i].newest && changes[i].value &&
		    !strcmp(changes[i].key, key)) {
			print_change(out, &changes[i], true);
			return 200;
		}
	fprintf(out, "{}");
	return 404;
}

static int write_by_operator(FILE *out, const char *method, const char *key,
			     const message_t *message)
{
	char *value = NULL;

	if (!strcmp(method, "PUT"))
		value = base64_encode(message->body, message->body_len);
	add_change(key, value);
	log_event("ack %s revision=%lld %s bytes=%zu", key, (long long)revision,
		  method, message->body_len);
	fprintf(out, "{\"revision\":%lld}", (long long)revision);
	return 200;
}

/* Answers one request of the store. Returns the status. */
static int answer_store(FILE *out, const message_t *message)
{
	char method[16] = "";
	char target[1024] = "";

	if (sscanf(message->head, "%15s %1023s", method, target) != 2)
		return 400;
	if (!strncmp(target, "/op/", 4))
		return write_by_operator(out, method, target + 4, message);
	if (!strncmp(target, "/-/kv-range", 11)) {
		print_range(out, target);
		return 200;
	}
	if (!strncmp(target, "/-/kv-watch", 11))
		return print_watch(out, target);
	if (!strncmp(target, "/-/kv-key", 9))
		return print_key(out, target);
	return 404;
}

static void *store_connection(void *argument)
{
	int fd = (int)(intptr_t)argument;
	message_t *message = calloc(1, sizeof(*message));

	while (message && read_message(fd, message)) {
		char *body = NULL;
		size_t body_len = 0;
		FILE *out = open_memstream(&body, &body_len);
		char head[160];
		int status;
		bool sent;

		if (!out)
			exit(2);
		pthread_mutex_lock(&lock);
		status = answer_store(out, message);
		pthread_mutex_unlock(&lock);
		fclose(out);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, body_len);
		sent = write_all(fd, head, strlen(head)) &&
		       write_all(fd, body, body_len);
		free(body);
		if (!sent)
			break;
	}
	if (message)
		message_clear(message);
	free(message);
	close(fd);
	return NULL;
}

/* ---- backend ---- */

static struct backend {
	const char *id;
	int slots;
	int work_ms;
	int slow_factor;
	int running;
	int queued;
} backend;

static volatile sig_atomic_t is_slow;

static void on_speed_signal(int number)
{
	is_slow = number == SIGUSR1;
}

static void on_end_signal(int number)
{
	(void)number;
	_exit(0);
}

static bool send_reply(int fd, const char *id, int status, const char *field,
		       const char *body)
{
	char text[1024];

	snprintf(
		text, sizeof(text),
		"HTTP/1.1 %d -\r\nCassiadale-Request-Id: %s\r\n"
		"Cassiadale-Instance-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
		status, id, backend.id, field, strlen(body), body);
	return write_all(fd, text, strlen(text));
}

/* Takes a slot, after a wait if there is room in the queue. */
static bool take_slot(int64_t deadline_ms)
{
	bool taken = false;

	pthread_mutex_lock(&lock);
	if (backend.running < backend.slots || backend.queued < backend.slots) {
		backend.queued++;
		while (backend.running >= backend.slots &&
		       now_ms() < deadline_ms) {
			struct timespec until;

			clock_gettime(CLOCK_REALTIME, &until);
			until.tv_sec += 1;
			pthread_cond_timedwait(&changed, &lock, &until);
		}
		backend.queued--;
		taken = backend.running < backend.slots;
		backend.running += taken;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static void release_slot(void)
{
	pthread_mutex_lock(&lock);
	backend.running--;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* Works on a request until it is done, its deadline has come or its caller has
 * gone. Returns the status, or 0 if the caller has gone. */
static int work(int fd, int64_t deadline_ms)
{
	int64_t end_ms = now_ms() +
			 backend.work_ms * (is_slow ? backend.slow_factor : 1);
	int status = 200;

	if (end_ms > deadline_ms) {
		end_ms = deadline_ms;
		status = 504;
	}
	for (;;) {
		struct pollfd watched = { .fd = fd, .events = POLLRDHUP };
		int64_t left_ms = end_ms - now_ms();

		if (left_ms <= 0)
			return status;
		if (poll(&watched, 1, (int)left_ms) > 0)
			return 0;
	}
}

/* Runs one request. Returns false when the connection is to be closed. */
static bool run_request(int fd, const message_t *message)
{
	static const char seal[] = "Cassiadale-Response-Seal: %s.%s\r\n";
	char id[256];
	char instance[256];
	char text[64];
	char field[600];
	int64_t deadline_ms;
	int status;

	if (!strncmp(message->head, "GET /healthz ", 13))
		return send_reply(fd, "-", 200, "", "ok");
	field_value(message, "Cassiadale-Request-Id", id, sizeof(id));
	field_value(message, "Cassiadale-Target-Instance", instance,
		    sizeof(instance));
	field_value(message, "Cassiadale-Deadline-Ms", text, sizeof(text));
	deadline_ms = now_ms() + (text[0] ? strtoll(text, NULL, 10) : 60000);
	if (instance[0] && strcmp(instance, backend.id) != 0) {
		log_event("other-instance %s %s", id, instance);
		return send_reply(fd, id, 421, "", "");
	}
	log_event("arrives %s deadline=%s", id, text);
	if (!take_slot(deadline_ms)) {
		log_event("rejects %s", id);
		return send_reply(fd, id, 503, "Cassiadale-Not-Executed: 1\r\n",
				  "");
	}
	log_event("runs %s", id);
	status = work(fd, deadline_ms);
	release_slot();
	log_event("ends %s %d", id, status);
	if (!status)
		return false;
	snprintf(field, sizeof(field), seal, backend.id, id);
	return send_reply(fd, id, status, field, id);
}

static void *backend_connection(void *argument)
{
	int fd = (int)(intptr_t)argument;
	message_t *message = calloc(1, sizeof(*message));

	while (message && read_message(fd, message) && run_request(fd, message))
		continue;
	if (message)
		message_clear(message);
	free(message);
	close(fd);
	return NULL;
}

/* ---- clients ---- */

static struct load {
	struct sockaddr_in address;
	const char *host;
	const char *path;
	const char *deadline_ms;
	const char *key;
	const char *prefix;
	const char *method;
	char *body;
	size_t body_len;
} load;

/* Reads an answer with a body of stated length. Returns its status, 0: none. */
static int read_answer(int fd, message_t *message)
{
	int status = 0;

	if (!read_message(fd, message) ||
	    sscanf(message->head, "HTTP/1.1 %d", &status) != 1)
		return 0;
	return status;
}

/* Limits each wait for the daemon to the deadline of the request. */
static void leave_at_deadline(int fd)
{
	long deadline_ms = strtol(load.deadline_ms, NULL, 10);
	const struct timeval limit = { .tv_sec = deadline_ms / 1000,
				       .tv_usec = deadline_ms % 1000 * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

static void *send_one(void *argument)
{
	message_t *message = calloc(1, sizeof(*message));
	char id[64];
	char text[1024];
	char seal[300];
	int status = 0;
	int fd = connect_to(&load.address);

	snprintf(id, sizeof(id), "%s%08lx", load.prefix,
		 (unsigned long)(uintptr_t)argument);
	if (fd < 0 || !message) {
		log_event("unsent %s", id);
	} else {
		snprintf(text, sizeof(text),
			 "%s %s HTTP/1.1\r\nHost: %s\r\n"
			 "Cassiadale-Request-Id: %s\r\n"
			 "Cassiadale-Deadline-Ms: %s\r\n"
			 "Authorization: Token %s\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 load.method, load.path, load.host, id,
			 load.deadline_ms, load.key, load.body_len);
		leave_at_deadline(fd);
		log_event("sent %s", id);
		if (write_all(fd, text, strlen(text)) &&
		    write_all(fd, load.body, load.body_len))
			status = read_answer(fd, message);
		seal[0] = '\0';
		if (status)
			field_value(message, "Cassiadale-Response-Seal", seal,
				    sizeof(seal));
		log_event("answer %s %d seal=%s", id, status, seal);
	}
	if (fd >= 0)
		close(fd);
	if (message)
		message_clear(message);
	free(message);
	return NULL;
}

static int run_load(char **arguments)
{
	double rate = strtod(arguments[4], NULL);
	double seconds = strtod(arguments[5], NULL);
	long count = (long)(rate * seconds);
	int64_t start_ms = now_ms();

	load = (struct load){
		.address = address_of(arguments[0], arguments[1]),
		.host = arguments[2],
		.path = arguments[3],
		.deadline_ms = arguments[6],
		.key = arguments[7],
		.prefix = arguments[8],
		.method = "GET",
	};
	if (!strncmp(load.path, "POST:", 5)) {
		load.method = "POST";
		load.path += 5;
		load.body_len = strtoul(load.path, NULL, 10);
		load.path += strcspn(load.path, "/");
	}
	load.body = calloc(1, load.body_len + 1);
	if (!load.body)
		exit(2);
	memset(load.body, 'x', load.body_len);
	for (long i = 0; i < count; i++) {
		int64_t due_ms = start_ms + (int64_t)((double)i * 1000 / rate);

		while (now_ms() < due_ms)
			usleep(500);
		start_thread(send_one, (void *)(intptr_t)(i + 1));
	}
	/* The last answers come by the deadline. */
	usleep((useconds_t)strtoul(load.deadline_ms, NULL, 10) * 1000 + 500000);
	return 0;
}

static char *read_input(size_t *len)
{
	char *data = NULL;
	size_t size = 0;

	*len = 0;
	for (;;) {
		char *grown = realloc(data, size + 65536);
		size_t got;

		if (!grown)
			exit(2);
		data = grown;
		size += 65536;
		got = fread(data + *len, 1, size - *len, stdin);
		*len += got;
		if (*len < size)
			return data;
	}
}

static int run_call(int count, char **arguments)
{
	const struct sockaddr_in address =
		address_of(arguments[0], arguments[1]);
	bool has_body = arguments[2][0] == 'P';
	message_t *message = calloc(1, sizeof(*message));
	size_t body_len = 0;
	char *body = has_body ? read_input(&body_len) : NULL;
	char text[4096];
	size_t used;
	int fd = connect_to(&address);
	int status = 0;

	if (fd < 0 || !message) {
		printf("0\n");
		free(message);
		free(body);
		return 1;
	}
	used = (size_t)snprintf(text, sizeof(text), "%s %s HTTP/1.1\r\n",
				arguments[2], arguments[3]);
	for (int i = 4; i < count && used < sizeof(text); i++)
		used += (size_t)snprintf(text + used, sizeof(text) - used,
					 "%s\r\n", arguments[i]);
	if (has_body && used < sizeof(text))
		used += (size_t)snprintf(text + used, sizeof(text) - used,
					 "Content-Length: %zu\r\n", body_len);
	if (used < sizeof(text))
		snprintf(text + used, sizeof(text) - used, "\r\n");
	if (write_all(fd, text, strlen(text)) &&
	    write_all(fd, body ? body : "", body_len))
		status = read_answer(fd, message);
	printf("%d\n%s\n", status, message->body ? message->body : "");
	close(fd);
	message_clear(message);
	free(message);
	free(body);
	return status ? 0 : 1;
}

/* Opens the log, whose path is the last argument. */
static void open_log(const char *path)
{
	log_file = fopen(path, "ae");
	if (!log_file) {
		perror(path);
		exit(2);
	}
}

static int run_backend(char **arguments)
{
	backend = (struct backend){
		.id = arguments[2],
		.slots = (int)strtol(arguments[3], NULL, 10),
		.work_ms = (int)strtol(arguments[4], NULL, 10),
		.slow_factor = (int)strtol(arguments[5], NULL, 10),
	};
	signal(SIGUSR1, on_speed_signal);
	signal(SIGUSR2, on_speed_signal);
	signal(SIGTERM, on_end_signal);
	serve(arguments[0], arguments[1], backend_connection);
	return 0;
}

int main(int argc, char **argv)
{
	const char *role = argc > 1 ? argv[1] : "";

	signal(SIGPIPE, SIG_IGN);
	if (!strcmp(role, "store") && argc == 5) {
		open_log(argv[4]);
		serve(argv[2], argv[3], store_connection);
	} else if (!strcmp(role, "backend") && argc == 9) {
		open_log(argv[8]);
		return run_backend(argv + 2);
	} else if (!strcmp(role, "load") && argc == 12) {
		open_log(argv[11]);
		return run_load(argv + 2);
	} else if (!strcmp(role, "call") && argc >= 6) {
		return run_call(argc - 2, argv + 2);
	}
	fprintf(stderr, "standin: see the head of its source\n");
	return 2;
}
