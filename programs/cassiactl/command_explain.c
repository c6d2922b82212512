/* cassiactl explain with logs: collects the lines about one request from the
 * logs of several daemons. */
#include <stdlib.h>
#include <string.h>

#include "ctl_internal.h"

/* Enough for one day of one daemon at the default limit of log lines. */
#define LOG_MAX_BYTES ((gsize)1 << 30)

typedef struct log_line {
	const char *file; /* path of the log */
	const char *text; /* from "time=" to the end of the line */
	cas_str_t time; /* ISO 8601, so that its order is that of text */
	size_t order; /* of reading, decides among equal times */
} log_line_t;

/* The log lines about one request. */
typedef struct request_log {
	const char *id; /* of the request */
	log_line_t *lines;
	size_t count;
} request_log_t;

/* One key=value pair of a line. A value that contains blanks is quoted. */
typedef struct log_field {
	cas_str_t key;
	cas_str_t value; /* without its quotes */
	const char *end; /* first character after the pair */
} log_field_t;

/* Parses the first pair of the text, after blanks. Returns false at the end of
 * the line. A word without '=' gives an empty key. */
static bool parse_field(const char *text, log_field_t *field)
{
	const char *start = text + strspn(text, " ");
	size_t word_len = strcspn(start, " ");
	const char *equals = memchr(start, '=', word_len);
	const char *value = equals ? equals + 1 : start;
	const char *end = start + word_len;

	if (!*start)
		return false;
	field->key =
		(cas_str_t){ start, equals ? (size_t)(equals - start) : 0 };
	if (equals && *value == '"') {
		for (end = ++value; *end && *end != '"'; end++)
			if (*end == '\\' && end[1])
				end++;
	}
	field->value = (cas_str_t){ value, (size_t)(end - value) };
	field->end = *end == '"' ? end + 1 : end;
	return true;
}

/* Finds the first pair with a key. Returns false when there is none. */
static bool find_field(const char *line, cas_str_t key, log_field_t *field)
{
	while (parse_field(line, field)) {
		if (cas_str_equal(field->key, key))
			return true;
		line = field->end;
	}
	return false;
}

/* Returns whether a line has the id of the request, or that of a child call,
 * which may be the request's id continued after a dot. */
static bool is_about_request(const char *line, const char *id)
{
	cas_str_t wanted = cas_str_from_cstr(id);
	log_field_t field;

	return find_field(line, CAS_STR("id"), &field) &&
	       cas_str_starts_with(field.value, wanted) &&
	       (field.value.len == wanted.len ||
		field.value.ptr[wanted.len] == '.');
}

static void add_line(ctl_t *ctl, request_log_t *log, const char *file,
		     const char *text)
{
	log_line_t line = { .file = file };
	log_field_t field;

	/* Some log collectors put their own text before the line. */
	if (!find_field(text, CAS_STR("time"), &field))
		return;
	line.text = field.key.ptr;
	line.time = field.value;
	line.order = log->count;
	log->lines = talloc_realloc(ctl->ctx, log->lines, log_line_t,
				    log->count + 1);
	if (log->lines)
		log->lines[log->count++] = line;
}

static int read_log_file(ctl_t *ctl, request_log_t *log, const char *path)
{
	GError *error = NULL;
	gchar *text = NULL;
	gsize len = 0;
	char *save = NULL;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		ctl_fail(ctl, "%s", error->message);
		g_error_free(error);
		return CTL_FAILED;
	}
	if (len > LOG_MAX_BYTES) {
		g_free(text);
		return ctl_fail(ctl, "%s: larger than 1 GB", path);
	}
	for (char *line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save))
		if (is_about_request(line, log->id))
			add_line(ctl, log, path, talloc_strdup(ctl->ctx, line));
	g_free(text);
	return CTL_OK;
}

static int compare_lines(const void *left, const void *right)
{
	const log_line_t *a = left;
	const log_line_t *b = right;
	size_t len = a->time.len < b->time.len ? a->time.len : b->time.len;
	int order = memcmp(a->time.ptr, b->time.ptr, len);

	if (order)
		return order;
	return (a->order > b->order) - (a->order < b->order);
}

static json_t *make_line_json(const log_line_t *line)
{
	json_t *object = json_object();
	const char *rest = line->text;
	log_field_t field;

	json_object_set_new(object, "log",
			    ctl_json_string(cas_str_from_cstr(line->file)));
	while (parse_field(rest, &field)) {
		rest = field.end;
		if (!field.key.len)
			continue;
		json_object_setn_new(object, field.key.ptr, field.key.len,
				     ctl_json_string(field.value));
	}
	return object;
}

static void print_lines_json(ctl_t *ctl, const request_log_t *log)
{
	json_t *list = json_array();

	for (size_t i = 0; i < log->count; i++)
		json_array_append_new(list, make_line_json(&log->lines[i]));
	ctl_print_json(ctl->out, list);
}

static void print_lines(ctl_t *ctl, const request_log_t *log)
{
	for (size_t i = 0; i < log->count; i++)
		fprintf(ctl->out, "%s: %s\n", log->lines[i].file,
			log->lines[i].text);
}

int ctl_explain_logs(ctl_t *ctl, const char *id, int count, char **paths)
{
	request_log_t log = { .id = id };

	for (int i = 0; i < count; i++)
		if (read_log_file(ctl, &log, paths[i]))
			return CTL_FAILED;
	if (!log.count) {
		fprintf(ctl->err, "no log line about request %s\n", id);
		return CTL_REFUSED;
	}
	qsort(log.lines, log.count, sizeof(*log.lines), compare_lines);
	if (ctl->json)
		print_lines_json(ctl, &log);
	else
		print_lines(ctl, &log);
	return CTL_OK;
}
