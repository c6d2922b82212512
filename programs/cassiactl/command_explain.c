/* Joins the logs of several daemons into the story of one request. */
#include <stdlib.h>
#include <string.h>

#include "ctl_internal.h"

/* A log of a day of one daemon under its default bound of lines. */
#define LOG_MAX_BYTES ((gsize)1 << 30)

typedef struct log_line {
	const char *file;
	const char *text; /* from the time to the end of the line */
	cas_str_t time;
	size_t order; /* of reading, among equal times */
} log_line_t;

typedef struct story {
	const char *id;
	log_line_t *lines;
	size_t count;
} story_t;

/* One key=value pair of a line. A value with blanks is quoted. */
typedef struct log_field {
	cas_str_t key;
	cas_str_t value; /* without its quotes */
	const char *end; /* behind the pair */
} log_field_t;

/* Reads the pair at the start of the text, behind blanks. Returns false at the
 * end of the line; words without '=' have an empty key. */
static bool next_field(const char *text, log_field_t *field)
{
	const char *start = text + strspn(text, " ");
	size_t word = strcspn(start, " ");
	const char *equals = memchr(start, '=', word);
	const char *value = equals ? equals + 1 : start;
	const char *end = start + word;

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

static bool find_field(const char *line, cas_str_t key, log_field_t *field)
{
	while (next_field(line, field)) {
		if (cas_str_equal(field->key, key))
			return true;
		line = field->end;
	}
	return false;
}

/* Calls that an upstream makes for a request may continue its id behind a dot. */
static bool belongs(const char *line, const char *id)
{
	cas_str_t wanted = cas_str_from(id);
	log_field_t field;

	return find_field(line, CAS_STR("id"), &field) &&
	       cas_str_starts_with(field.value, wanted) &&
	       (field.value.len == wanted.len ||
		field.value.ptr[wanted.len] == '.');
}

static void story_add(ctl_t *ctl, story_t *story, const char *file,
		      const char *text)
{
	log_line_t line = { .file = file };
	log_field_t field;

	/* Some collectors put a time of their own in front. */
	if (!find_field(text, CAS_STR("time"), &field))
		return;
	line.text = field.key.ptr;
	line.time = field.value;
	line.order = story->count;
	story->lines = talloc_realloc(ctl->ctx, story->lines, log_line_t,
				      story->count + 1);
	if (story->lines)
		story->lines[story->count++] = line;
}

static int read_log(ctl_t *ctl, story_t *story, const char *path)
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
		if (belongs(line, story->id))
			story_add(ctl, story, path,
				  talloc_strdup(ctl->ctx, line));
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

static json_t *line_json(const log_line_t *line)
{
	json_t *object = json_object();
	const char *rest = line->text;
	log_field_t field;

	json_object_set_new(object, "log",
			    ctl_json_text(cas_str_from(line->file)));
	while (next_field(rest, &field)) {
		rest = field.end;
		if (!field.key.len)
			continue;
		json_object_setn_new(object, field.key.ptr, field.key.len,
				     ctl_json_text(field.value));
	}
	return object;
}

static void print_json(ctl_t *ctl, const story_t *story)
{
	json_t *list = json_array();

	for (size_t i = 0; i < story->count; i++)
		json_array_append_new(list, line_json(&story->lines[i]));
	ctl_print_json(ctl->out, list);
}

static void print_text(ctl_t *ctl, const story_t *story)
{
	for (size_t i = 0; i < story->count; i++)
		fprintf(ctl->out, "%s: %s\n", story->lines[i].file,
			story->lines[i].text);
}

int ctl_explain_logs(ctl_t *ctl, const char *id, int count, char **paths)
{
	story_t story = { .id = id };

	for (int i = 0; i < count; i++)
		if (read_log(ctl, &story, paths[i]))
			return CTL_FAILED;
	if (!story.count) {
		fprintf(ctl->err, "no line about request %s\n", id);
		return CTL_REFUSED;
	}
	qsort(story.lines, story.count, sizeof(*story.lines), compare_lines);
	if (ctl->json)
		print_json(ctl, &story);
	else
		print_text(ctl, &story);
	return CTL_OK;
}
