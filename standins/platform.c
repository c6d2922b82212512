/*
 * Stand-in for the platform's configuration service: serves a table and a
 * host list from files with long polls, counts reads, and misbehaves on
 * request.
 *
 *   platform TABLE HOSTS [SECONDS]
 *
 * prints its port and ends after SECONDS (default 600) or on SIGTERM.
 *
 *   GET  /table?after=R&wait=S, /hosts?after=R&wait=S
 *   GET  /stats
 *   POST /fault?mode=ok|stale|older|half|cut|fail|silent
 */
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cassia/clock.h"
#include "cassia/settings.h"

#define POLL_US (10 * CAS_USEC_PER_MSEC)
#define LIFETIME_DEFAULT_S 600
#define WAIT_MAX_S 60

typedef enum mode {
	MODE_OK,
	MODE_STALE, /* ignores edits */
	MODE_OLDER, /* answers the revision before the newest */
	MODE_HALF, /* a complete reply with the first half of the text */
	MODE_CUT, /* closes the connection in the middle of the text */
	MODE_FAIL, /* status 500 */
	MODE_SILENT, /* no reply until the mode changes */
	MODE_COUNT,
} platform_mode_t;

static const char *const mode_names[MODE_COUNT] = {
	"ok", "stale", "older", "half", "cut", "fail", "silent",
};

typedef struct text {
	char *bytes;
	size_t len;
	long long revision;
} text_t;

typedef struct document {
	const char *name;
	const char *path;
	text_t newest;
	text_t former;
	long long reads;
	long long unchanged;
} document_t;

typedef struct request {
	struct MHD_Connection *connection;
	document_t *document;
	long long after;
	int64_t deadline_us;
	bool suspended;
	struct request *next;
} request_t;

typedef struct platform {
	pthread_mutex_t lock;
	cas_clock_t *clock;
	document_t documents[2];
	platform_mode_t mode;
	request_t *requests;
} platform_t;

static volatile sig_atomic_t stopping;

static void on_signal(int number)
{
	(void)number;
	stopping = 1;
}

/* Returns the number of "key = N" at the start of a line, or 0. */
static long long find_number(const char *text, const char *key)
{
	size_t len = strlen(key);

	for (const char *line = text; line && *line && *line != '[';) {
		const char *at = line + len;

		if (!strncmp(line, key, len)) {
			while (*at == ' ')
				at++;
			if (*at == '=')
				return strtoll(at + 1, NULL, 10);
		}
		line = strchr(line, '\n');
		line = line ? line + 1 : NULL;
	}
	return 0;
}

/* A file may hold both documents; the host list then has its own key. */
static long long find_revision(const document_t *document, const char *text)
{
	long long revision = 0;

	if (!strcmp(document->name, "hosts"))
		revision = find_number(text, "hosts_revision");
	return revision ? revision : find_number(text, "revision");
}

static void load(platform_t *platform, document_t *document)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	text_t *newest = &document->newest;
	cas_str_t text;

	if (platform->mode == MODE_STALE ||
	    config_read_file(ctx, document->path, &text) ||
	    (text.len == newest->len &&
	     !memcmp(text.ptr, newest->bytes, text.len))) {
		talloc_free(ctx);
		return;
	}
	talloc_free(document->former.bytes);
	document->former = *newest;
	newest->bytes = talloc_strndup(platform, text.ptr, text.len);
	newest->len = text.len;
	newest->revision = find_revision(document, newest->bytes);
	talloc_free(ctx);
}

typedef struct cut_body {
	char *bytes;
	size_t len;
} cut_body_t;

static ssize_t read_cut(void *private, uint64_t position, char *buffer,
			size_t max)
{
	cut_body_t *body = private;
	size_t left = body->len - position;

	if (!left)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (left > max)
		left = max;
	memcpy(buffer, body->bytes + position, left);
	return (ssize_t)left;
}

static void free_cut(void *private)
{
	talloc_free(private);
}

/* Announces the whole length and fails after half of it. */
static struct MHD_Response *make_cut(const text_t *text)
{
	cut_body_t *body = talloc_zero(NULL, cut_body_t);

	body->len = text->len / 2;
	body->bytes = talloc_memdup(body, text->bytes, body->len);
	return MHD_create_response_from_callback(text->len, 4096, read_cut,
						 body, free_cut);
}

static enum MHD_Result reply(struct MHD_Connection *connection,
			     unsigned int status, struct MHD_Response *response)
{
	enum MHD_Result result =
		MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_text(struct MHD_Connection *connection,
				  unsigned int status, const char *text)
{
	return reply(connection, status,
		     MHD_create_response_from_buffer(strlen(text), (void *)text,
						     MHD_RESPMEM_MUST_COPY));
}

static enum MHD_Result reply_document(struct MHD_Connection *connection,
				      platform_mode_t mode, const text_t *text)
{
	size_t len = mode == MODE_HALF ? text->len / 2 : text->len;
	struct MHD_Response *response;
	char revision[24];

	if (mode == MODE_CUT)
		response = make_cut(text);
	else
		response = MHD_create_response_from_buffer(
			len, text->bytes, MHD_RESPMEM_MUST_COPY);
	snprintf(revision, sizeof(revision), "%lld", text->revision);
	MHD_add_response_header(response, "Cassia-Revision", revision);
	return reply(connection, MHD_HTTP_OK, response);
}

/* Returns true when the reply has to wait. */
static bool must_wait(const platform_t *platform, const request_t *request)
{
	if (platform->mode == MODE_SILENT)
		return true;
	if (platform->mode != MODE_OK && platform->mode != MODE_STALE)
		return false;
	return request->document->newest.revision <= request->after &&
	       cas_clock_now(platform->clock) < request->deadline_us;
}

static enum MHD_Result answer_read(platform_t *platform, request_t *request)
{
	document_t *document = request->document;
	const text_t *text = &document->newest;

	if (must_wait(platform, request)) {
		request->suspended = true;
		MHD_suspend_connection(request->connection);
		return MHD_YES;
	}
	if (platform->mode == MODE_FAIL || !text->bytes)
		return reply_text(request->connection,
				  MHD_HTTP_INTERNAL_SERVER_ERROR, "");
	if (platform->mode == MODE_OLDER && document->former.bytes)
		text = &document->former;
	else if (text->revision <= request->after) {
		document->unchanged++;
		return reply_text(request->connection, MHD_HTTP_NOT_MODIFIED,
				  "");
	}
	return reply_document(request->connection, platform->mode, text);
}

static long long query_number(struct MHD_Connection *connection,
			      const char *key)
{
	const char *value = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, key);

	return value ? strtoll(value, NULL, 10) : 0;
}

static document_t *find_document(platform_t *platform, const char *url)
{
	for (size_t i = 0; i < 2; i++)
		if (!strcmp(url + 1, platform->documents[i].name))
			return &platform->documents[i];
	return NULL;
}

static request_t *start_request(platform_t *platform,
				struct MHD_Connection *connection,
				const char *url)
{
	request_t *request = talloc_zero(platform, request_t);
	long long wait = query_number(connection, "wait");

	request->connection = connection;
	request->document = find_document(platform, url);
	request->after = query_number(connection, "after");
	if (wait > WAIT_MAX_S)
		wait = WAIT_MAX_S;
	request->deadline_us =
		cas_clock_now(platform->clock) + wait * CAS_USEC_PER_SEC;
	request->next = platform->requests;
	platform->requests = request;
	if (request->document)
		request->document->reads++;
	return request;
}

static enum MHD_Result answer_stats(platform_t *platform,
				    struct MHD_Connection *connection)
{
	const document_t *table = &platform->documents[0];
	const document_t *hosts = &platform->documents[1];
	long long waiting = 0;
	char text[256];

	for (request_t *it = platform->requests; it; it = it->next)
		waiting += it->suspended;
	snprintf(text, sizeof(text),
		 "{\"reads\":%lld,\"table_reads\":%lld,\"hosts_reads\":%lld,"
		 "\"unchanged\":%lld,\"waiting\":%lld,\"mode\":\"%s\"}\n",
		 table->reads + hosts->reads, table->reads, hosts->reads,
		 table->unchanged + hosts->unchanged, waiting,
		 mode_names[platform->mode]);
	return reply_text(connection, MHD_HTTP_OK, text);
}

static enum MHD_Result set_mode(platform_t *platform,
				struct MHD_Connection *connection)
{
	const char *name = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "mode");

	for (int i = 0; name && i < MODE_COUNT; i++) {
		if (strcmp(name, mode_names[i]) != 0)
			continue;
		platform->mode = (platform_mode_t)i;
		return reply_text(connection, MHD_HTTP_OK, "");
	}
	return reply_text(connection, MHD_HTTP_BAD_REQUEST,
			  "mode: ok stale older half cut fail silent\n");
}

static enum MHD_Result dispatch(platform_t *platform, request_t *request,
				const char *url, const char *method)
{
	bool get = !strcmp(method, "GET");

	if (request->document && get)
		return answer_read(platform, request);
	if (get && !strcmp(url, "/stats"))
		return answer_stats(platform, request->connection);
	if (!get && !strcmp(url, "/fault"))
		return set_mode(platform, request->connection);
	return reply_text(request->connection, MHD_HTTP_NOT_FOUND, "");
}

static enum MHD_Result on_request(void *private,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_len, void **context)
{
	platform_t *platform = private;
	enum MHD_Result result = MHD_YES;

	(void)version;
	(void)data;
	pthread_mutex_lock(&platform->lock);
	if (!*context)
		*context = start_request(platform, connection, url);
	else if (*data_len)
		*data_len = 0;
	else
		result = dispatch(platform, *context, url, method);
	pthread_mutex_unlock(&platform->lock);
	return result;
}

static void on_completed(void *private, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	platform_t *platform = private;
	request_t **at = &platform->requests;

	(void)connection;
	(void)code;
	pthread_mutex_lock(&platform->lock);
	while (*at && *at != *context)
		at = &(*at)->next;
	if (*at)
		*at = (*at)->next;
	talloc_free(*context);
	pthread_mutex_unlock(&platform->lock);
}

static void resume(platform_t *platform, bool all)
{
	for (request_t *it = platform->requests; it; it = it->next) {
		if (!it->suspended || (!all && must_wait(platform, it)))
			continue;
		it->suspended = false;
		MHD_resume_connection(it->connection);
	}
}

static void run(platform_t *platform, int64_t lifetime_s)
{
	int64_t end =
		cas_clock_now(platform->clock) + lifetime_s * CAS_USEC_PER_SEC;

	while (!stopping && cas_clock_now(platform->clock) < end) {
		usleep(POLL_US);
		pthread_mutex_lock(&platform->lock);
		load(platform, &platform->documents[0]);
		load(platform, &platform->documents[1]);
		resume(platform, false);
		pthread_mutex_unlock(&platform->lock);
	}
	/* A stopped daemon must not have suspended connections. */
	pthread_mutex_lock(&platform->lock);
	platform->mode = MODE_FAIL;
	resume(platform, true);
	pthread_mutex_unlock(&platform->lock);
}

static struct MHD_Daemon *start(platform_t *platform)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0,
		NULL, NULL, on_request, platform, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, platform,
		MHD_OPTION_END);
}

int main(int argc, char **argv)
{
	platform_t *platform = talloc_zero(NULL, platform_t);
	struct MHD_Daemon *daemon;
	int64_t lifetime_s = LIFETIME_DEFAULT_S;

	if (argc < 3) {
		fprintf(stderr, "usage: platform TABLE HOSTS [SECONDS]\n");
		return 2;
	}
	if (argc > 3)
		lifetime_s = strtoll(argv[3], NULL, 10);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	pthread_mutex_init(&platform->lock, NULL);
	platform->clock = cas_clock_create_real(platform);
	platform->documents[0].name = "table";
	platform->documents[0].path = argv[1];
	platform->documents[1].name = "hosts";
	platform->documents[1].path = argv[2];
	load(platform, &platform->documents[0]);
	load(platform, &platform->documents[1]);
	daemon = start(platform);
	if (!daemon) {
		fprintf(stderr, "platform: cannot listen\n");
		return 1;
	}
	printf("%d\n",
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	run(platform, lifetime_s);
	MHD_stop_daemon(daemon);
	talloc_free(platform);
	return 0;
}
