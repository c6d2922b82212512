/*
 * Structured log: one line of key=value pairs per event, written through log4c
 * to standard output. Writing does not block: if standard output is a pipe that
 * is full, the line is discarded, and a later log_lines_lost event gives the
 * number of discarded lines.
 */
#ifndef CASSIA_LOG_H
#define CASSIA_LOG_H

#include <stdint.h>

#include "cassia/str.h"

typedef enum cas_log_level {
	CAS_LOG_ERROR,
	CAS_LOG_WARN,
	CAS_LOG_INFO,
	CAS_LOG_DEBUG,
} cas_log_level_t;

/* A key and its value: number if is_number is set, otherwise text. */
typedef struct cas_log_field {
	const char *key;
	cas_str_t text;
	int64_t number;
	int is_number;
} cas_log_field_t;

/* Fields with a cas_str_t, a C string or an integer as value. */
#define CAS_LOG_STR(k, s) ((cas_log_field_t){ .key = (k), .text = (s) })
#define CAS_LOG_CSTR(k, z)                                                     \
	((cas_log_field_t){ .key = (k), .text = cas_str_from_cstr(z) })
#define CAS_LOG_INT(k, n)                                                      \
	((cas_log_field_t){ .key = (k), .number = (n), .is_number = 1 })

/* Starts logging; events that are less severe than level are not written.
 * Returns 0, or BASE_EINVAL when log4c does not start. */
int cas_log_init(cas_log_level_t level);

/* Stops logging; later events are not written. */
void cas_log_fini(void);

/* Replaces the level of cas_log_init. */
void cas_log_set_level(cas_log_level_t level);

/* Writes an event with count fields. A value that is empty or contains spaces,
 * '"', '=', '\\' or control characters is quoted and escaped. Values are cut
 * after 512 bytes (before escaping), lines after 2047. */
void cas_log_write(cas_log_level_t level, const char *event,
		   const cas_log_field_t *fields, size_t count);

/* Writes an event with one or more fields:
 * cas_log(CAS_LOG_INFO, "event", CAS_LOG_INT("port", 80), ...); */
#define cas_log(level, event, ...)                                             \
	cas_log_write((level), (event),                                        \
		      (const cas_log_field_t[]){ __VA_ARGS__ },                \
		      sizeof((const cas_log_field_t[]){ __VA_ARGS__ }) /       \
			      sizeof(cas_log_field_t))

#endif
