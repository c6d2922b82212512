/* Formats log lines of key=value pairs and writes them through log4c. */
#include "cassia/log.h"

#include <log4c.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "cassia/error.h"

/* Less than PIPE_BUF (4096): a pipe for which poll reports POLLOUT accepts that
 * many bytes without blocking. Includes the terminator. */
#define LINE_MAX_BYTES 2048
#define VALUE_MAX_BYTES 512

/* A line under construction. The append functions cut it when it is full. */
typedef struct line {
	char text[LINE_MAX_BYTES];
	size_t len; /* bytes */
} line_t;

static cas_log_level_t least_severe_level = CAS_LOG_INFO;
static log4c_category_t *category; /* NULL when logging is stopped */
static int64_t lost_lines; /* discarded and not yet reported */

static int to_log4c_priority(cas_log_level_t level)
{
	switch (level) {
	case CAS_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case CAS_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case CAS_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case CAS_LOG_DEBUG:
		break;
	}
	return LOG4C_PRIORITY_DEBUG;
}

static void append_char(line_t *line, char c)
{
	if (line->len + 1 < sizeof(line->text))
		line->text[line->len++] = c;
}

static void append_cstr(line_t *line, const char *text)
{
	while (*text)
		append_char(line, *text++);
}

static bool needs_quotes(cas_str_t value)
{
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.ptr[i];

		if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127)
			return true;
	}
	return value.len == 0;
}

static void append_escaped(line_t *line, char c)
{
	char hex[8];

	if (c == '"' || c == '\\') {
		append_char(line, '\\');
		append_char(line, c);
	} else if ((unsigned char)c < ' ' || c == 127) {
		snprintf(hex, sizeof(hex), "\\x%02x", (unsigned char)c);
		append_cstr(line, hex);
	} else {
		append_char(line, c);
	}
}

/* Appends a value, quoted and escaped where necessary. */
static void append_value(line_t *line, cas_str_t value)
{
	bool quote = needs_quotes(value);

	if (value.len > VALUE_MAX_BYTES)
		value.len = VALUE_MAX_BYTES;
	if (quote)
		append_char(line, '"');
	for (size_t i = 0; i < value.len; i++) {
		if (quote)
			append_escaped(line, value.ptr[i]);
		else
			append_char(line, value.ptr[i]);
	}
	if (quote)
		append_char(line, '"');
}

static void append_field(line_t *line, const cas_log_field_t *field)
{
	char number[24];

	append_char(line, ' ');
	append_cstr(line, field->key);
	append_char(line, '=');
	if (field->is_number) {
		snprintf(number, sizeof(number), "%lld",
			 (long long)field->number);
		append_cstr(line, number);
	} else {
		append_value(line, field->text);
	}
}

/* Appends the wall-clock time in UTC with milliseconds (ISO 8601). */
static void append_time(line_t *line)
{
	char text[40];
	char date[24];
	struct timeval tv;
	struct tm tm;

	gettimeofday(&tv, NULL);
	gmtime_r(&tv.tv_sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(text, sizeof(text), "time=%s.%03dZ", date,
		 (int)(tv.tv_usec / 1000));
	append_cstr(line, text);
}

/* Layout function: the message is the complete line. */
static const char *format_message(const log4c_layout_t *layout,
				  const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static bool stdout_is_writable(void)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

/* Returns 0, or -1 when not the whole line was written. */
static int write_line(const char *text)
{
	char line[LINE_MAX_BYTES + 1];
	int len = snprintf(line, sizeof(line), "%s\n", text);

	return write(STDOUT_FILENO, line, (size_t)len) == len ? 0 : -1;
}

/* Writes a line to standard output. If that is full because its reader does not
 * read, the line is discarded and counted instead of blocking the daemon. */
static int stdout_append(log4c_appender_t *appender,
			 const log4c_logging_event_t *event)
{
	(void)appender;
	if (stdout_is_writable() && write_line(event->evt_rendered_msg) == 0)
		return 0;
	lost_lines++;
	return -1;
}

static const log4c_layout_type_t message_layout = {
	.name = "cassia",
	.format = format_message,
};

static const log4c_appender_type_t stdout_appender = {
	.name = "cassia",
	.append = stdout_append,
};

int cas_log_init(cas_log_level_t level)
{
	log4c_appender_t *appender;

	least_severe_level = level;
	if (log4c_init())
		return BASE_EINVAL;
	log4c_layout_type_set(&message_layout);
	log4c_appender_type_set(&stdout_appender);
	appender = log4c_appender_get("cassia");
	log4c_appender_set_type(appender, &stdout_appender);
	log4c_appender_set_layout(appender, log4c_layout_get("cassia"));
	log4c_layout_set_type(log4c_layout_get("cassia"), &message_layout);
	category = log4c_category_get("cassia");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, LOG4C_PRIORITY_DEBUG);
	return 0;
}

void cas_log_fini(void)
{
	category = NULL;
	log4c_fini();
}

void cas_log_set_level(cas_log_level_t level)
{
	least_severe_level = level;
}

static void write_event(cas_log_level_t level, const char *event,
			const cas_log_field_t *fields, size_t count)
{
	static const char *const level_names[] = { "error", "warn", "info",
						   "debug" };
	line_t line = { .len = 0 };

	append_time(&line);
	append_cstr(&line, " level=");
	append_cstr(&line, level_names[level]);
	append_cstr(&line, " event=");
	append_cstr(&line, event);
	for (size_t i = 0; i < count; i++)
		append_field(&line, &fields[i]);
	line.text[line.len] = '\0';
	log4c_category_log(category, to_log4c_priority(level), "%s", line.text);
}

/* Writes how many lines were discarded, before the next line. If this line is
 * discarded as well, the number stays as it is. */
static void report_lost_lines(void)
{
	int64_t count = lost_lines;
	const cas_log_field_t field = CAS_LOG_INT("count", count);

	if (!count || !stdout_is_writable())
		return;
	lost_lines = 0;
	write_event(CAS_LOG_WARN, "log_lines_lost", &field, 1);
	if (lost_lines)
		lost_lines = count;
}

void cas_log_write(cas_log_level_t level, const char *event,
		   const cas_log_field_t *fields, size_t count)
{
	if (!category || level > least_severe_level)
		return;
	report_lost_lines();
	write_event(level, event, fields, count);
}
