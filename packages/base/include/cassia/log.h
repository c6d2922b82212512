/*
 * Structured log: one line of key=value pairs an event, written by log4c to
 * standard output. Writing never blocks: lines for which a pipe has no room are
 * left out, and log_lines_lost tells their number later.
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

typedef struct cas_log_field {
	const char *key;
	cas_str_t text;
	int64_t number;
	int is_number;
} cas_log_field_t;

#define CAS_LOG_STR(k, s) ((cas_log_field_t){ .key = (k), .text = (s) })
#define CAS_LOG_Z(k, z)                                                        \
	((cas_log_field_t){ .key = (k), .text = cas_str_from(z) })
#define CAS_LOG_INT(k, n)                                                      \
	((cas_log_field_t){ .key = (k), .number = (n), .is_number = 1 })

/* Starts logging with the given least severe level to write. Returns 0 or
 * BASE_EINVAL when log4c does not start. */
int cas_log_init(cas_log_level_t level);
void cas_log_fini(void);
void cas_log_set_level(cas_log_level_t level);

/* Writes the event with count fields. Values with blanks, quotes or control
 * characters are quoted and escaped; long ones are cut. */
void cas_log_write(cas_log_level_t level, const char *event,
		   const cas_log_field_t *fields, size_t count);

/* cas_log(CAS_LOG_INFO, "event", CAS_LOG_INT("port", 80), ...); */
#define cas_log(level, event, ...)                                             \
	cas_log_write((level), (event),                                        \
		      (const cas_log_field_t[]){ __VA_ARGS__ },                \
		      sizeof((const cas_log_field_t[]){ __VA_ARGS__ }) /       \
			      sizeof(cas_log_field_t))

#endif
