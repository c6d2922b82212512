/*
 * Configuration service for tests, in place of the platform's: serves a table
 * and a host list from files with long polls, counts reads, and injects faults.
 *
 *   platform TABLE HOSTS [SECONDS]
 *
 * prints its port and exits after SECONDS (default 600) or on SIGTERM.
 *
 *   GET  /table?after=R&wait=S, /hosts?after=R&wait=S
 *        waits up to S seconds for a revision above R, else responds with 304
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
	MODE_STALE, /* ignores changes of the files */
	MODE_OLDER, /* responds with the revision before the newest */
	MODE_HALF, /* a complete response with the first half of the document */
	MODE_CUT, /* closes the connection in the middle of the document */
	MODE_FAIL, /* status 500 */
	MODE_SILENT, /* no response until the mode changes */
	MODE_COUNT,
} platform_mode_t;

static const char *const mode_names[MODE_COUNT] = {
	"ok", "stale", "older", "half", "cut", "fail", "silent",
};

typedef struct contents {
	char *bytes;
	size_t len;
	long long revision;
} contents_t;

typedef struct document {
	const char *name;
	const char *path;
	contents_t newest;
	contents_t previous;
	long long reads; /* requests received */
	long long unchanged; /* responses with 304 */
} document_t;

typedef struct request {
	struct MHD_Connection *connection;
	document_t *document;
	long long known_revision; /* newest that the client has */
	int64_t deadline_us; /* end of the long poll */
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

static volatile sig_atomic_t stop_requested;

static void on_signal(int signal_number)
{
	(void)signal_number;
	stop_requested = 1;
}

/* Returns N of the first line "key = N" above the first table header, or 0. */
static long long find_number(const char *text, const char *key)
{
	size_t len = strlen(key);

	for (const char *line = text; line && *line && *line != '[';) {
		const char *value_text = line + len;

		if (!strncmp(line, key, len)) {
			while (*value_text == ' ')
				value_text++;
			if (*value_text == '=')
				return strtoll(value_text + 1, NULL, 10);
		}
		line = strchr(line, '\n');
		line = line ? line + 1 : NULL;
	}
	return 0;
}

/* A file may hold both documents; the key of the revision of the host list is
 * then hosts_revision. */
static long long find_revision(const document_t *document, const char *text)
{
	long long revision = 0;

	if (!strcmp(document->name, "hosts"))
		revision = find_number(text, "hosts_revision");
	return revision ? revision : find_number(text, "revision");
}

/* Reads the file of a document again; a change becomes the newest revision. */
static void load_file(platform_t *platform, document_t *document)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	contents_t *newest = &document->newest;
	cas_str_t file_text;

	if (platform->mode == MODE_STALE ||
	    config_read_file(ctx, document->path, &file_text) ||
	    (file_text.len == newest->len &&
	     !memcmp(file_text.ptr, newest->bytes, file_text.len))) {
		talloc_free(ctx);
		return;
	}
	talloc_free(document->previous.bytes);
	document->previous = *newest;
	newest->bytes = talloc_strndup(platform, file_text.ptr, file_text.len);
	newest->len = file_text.len;
	newest->revision = find_revision(document, newest->bytes);
	talloc_free(ctx);
}

typedef struct truncated_body {
	char *bytes;
	size_t len;
} truncated_body_t;

static ssize_t read_truncated(void *private, uint64_t position, char *buffer,
			      size_t buffer_size)
{
	truncated_body_t *body = private;
	size_t remaining = body->len - position;

	if (!remaining)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (remaining > buffer_size)
		remaining = buffer_size;
	memcpy(buffer, body->bytes + position, remaining);
	return (ssize_t)remaining;
}

static void free_truncated(void *private)
{
	talloc_free(private);
}

/* Returns a response that announces the whole length and closes the connection
 * after half of it. */
static struct MHD_Response *
create_truncated_response(const contents_t *contents)
{
	truncated_body_t *body = talloc_zero(NULL, truncated_body_t);

	body->len = contents->len / 2;
	body->bytes = talloc_memdup(body, contents->bytes, body->len);
	return MHD_create_response_from_callback(
		contents->len, 4096, read_truncated, body, free_truncated);
}

static enum MHD_Result queue_reply(struct MHD_Connection *connection,
				   unsigned int status,
				   struct MHD_Response *response)
{
	enum MHD_Result result =
		MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result queue_text(struct MHD_Connection *connection,
				  unsigned int status, const char *text)
{
	return queue_reply(
		connection, status,
		MHD_create_response_from_buffer(strlen(text), (void *)text,
						MHD_RESPMEM_MUST_COPY));
}

static enum MHD_Result queue_document(struct MHD_Connection *connection,
				      platform_mode_t mode,
				      const contents_t *contents)
{
	size_t len = mode == MODE_HALF ? contents->len / 2 : contents->len;
	struct MHD_Response *response;
	char revision[24];

	if (mode == MODE_CUT)
		response = create_truncated_response(contents);
	else
		response = MHD_create_response_from_buffer(
			len, contents->bytes, MHD_RESPMEM_MUST_COPY);
	snprintf(revision, sizeof(revision), "%lld", contents->revision);
	MHD_add_response_header(response, "Cassia-Revision", revision);
	return queue_reply(connection, MHD_HTTP_OK, response);
}

/* Returns true when the response has to wait. */
static bool must_wait(const platform_t *platform, const request_t *request)
{
	if (platform->mode == MODE_SILENT)
		return true;
	if (platform->mode != MODE_OK && platform->mode != MODE_STALE)
		return false;
	return request->document->newest.revision <= request->known_revision &&
	       cas_clock_now(platform->clock) < request->deadline_us;
}

static enum MHD_Result answer_document(platform_t *platform, request_t *request)
{
	document_t *document = request->document;
	const contents_t *contents = &document->newest;

	if (must_wait(platform, request)) {
		request->suspended = true;
		MHD_suspend_connection(request->connection);
		return MHD_YES;
	}
	if (platform->mode == MODE_FAIL || !contents->bytes)
		return queue_text(request->connection,
				  MHD_HTTP_INTERNAL_SERVER_ERROR, "");
	if (platform->mode == MODE_OLDER && document->previous.bytes)
		contents = &document->previous;
	else if (contents->revision <= request->known_revision) {
		document->unchanged++;
		return queue_text(request->connection, MHD_HTTP_NOT_MODIFIED,
				  "");
	}
	return queue_document(request->connection, platform->mode, contents);
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
	request->known_revision = query_number(connection, "after");
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

	for (request_t *request = platform->requests; request;
	     request = request->next)
		waiting += request->suspended;
	snprintf(text, sizeof(text),
		 "{\"reads\":%lld,\"table_reads\":%lld,\"hosts_reads\":%lld,"
		 "\"unchanged\":%lld,\"waiting\":%lld,\"mode\":\"%s\"}\n",
		 table->reads + hosts->reads, table->reads, hosts->reads,
		 table->unchanged + hosts->unchanged, waiting,
		 mode_names[platform->mode]);
	return queue_text(connection, MHD_HTTP_OK, text);
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
		return queue_text(connection, MHD_HTTP_OK, "");
	}
	return queue_text(connection, MHD_HTTP_BAD_REQUEST,
			  "mode: ok stale older half cut fail silent\n");
}

static enum MHD_Result dispatch(platform_t *platform, request_t *request,
				const char *url, const char *method)
{
	bool is_get = !strcmp(method, "GET");

	if (request->document && is_get)
		return answer_document(platform, request);
	if (is_get && !strcmp(url, "/stats"))
		return answer_stats(platform, request->connection);
	if (!is_get && !strcmp(url, "/fault"))
		return set_mode(platform, request->connection);
	return queue_text(request->connection, MHD_HTTP_NOT_FOUND, "");
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
	request_t **link = &platform->requests;

	(void)connection;
	(void)code;
	pthread_mutex_lock(&platform->lock);
	while (*link && *link != *context)
		link = &(*link)->next;
	if (*link)
		*link = (*link)->next;
	talloc_free(*context);
	pthread_mutex_unlock(&platform->lock);
}

static void resume_requests(platform_t *platform, bool all)
{
	for (request_t *request = platform->requests; request;
	     request = request->next) {
		if (!request->suspended ||
		    (!all && must_wait(platform, request)))
			continue;
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
}

static void run_until_stopped(platform_t *platform, int64_t lifetime_s)
{
	int64_t end_us =
		cas_clock_now(platform->clock) + lifetime_s * CAS_USEC_PER_SEC;

	while (!stop_requested && cas_clock_now(platform->clock) < end_us) {
		usleep(POLL_US);
		pthread_mutex_lock(&platform->lock);
		load_file(platform, &platform->documents[0]);
		load_file(platform, &platform->documents[1]);
		resume_requests(platform, false);
		pthread_mutex_unlock(&platform->lock);
	}
	/* MHD_stop_daemon requires that no connection is suspended. */
	pthread_mutex_lock(&platform->lock);
	platform->mode = MODE_FAIL;
	resume_requests(platform, true);
	pthread_mutex_unlock(&platform->lock);
}

static struct MHD_Daemon *start_server(platform_t *platform)
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
	load_file(platform, &platform->documents[0]);
	load_file(platform, &platform->documents[1]);
	daemon = start_server(platform);
	if (!daemon) {
		fprintf(stderr, "platform: cannot listen on 127.0.0.1\n");
		return 1;
	}
	printf("%d\n",
	       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	run_until_stopped(platform, lifetime_s);
	MHD_stop_daemon(daemon);
	talloc_free(platform);
	return 0;
}
