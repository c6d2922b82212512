/*
 * Error numbers of the config package, and the list of faults (mistakes with
 * their position) found in a settings, table or host list document.
 */
#ifndef CASSIA_FAULT_H
#define CASSIA_FAULT_H

#include <stdint.h>
#include <talloc.h>

#include "cassia/str.h"

enum config_error {
	CONFIG_OK = 0,
	CONFIG_ENOMEM = -1101,
	CONFIG_EFAULTS = -1102, /* the document has faults */
	CONFIG_ESTALE = -1103, /* not newer than the stored document */
	CONFIG_ECONFLICT = -1104, /* stored revision, different content */
	CONFIG_EREAD = -1105, /* the document could not be read */
	CONFIG_EINVAL = -1106, /* libcurl did not accept a transfer */
};

/* Largest number of faults kept for one document; further ones are only
 * counted. */
#define CONFIG_FAULTS_MAX 100

typedef struct config_fault {
	int32_t line; /* from 1; 0 when the fault has no position */
	int32_t column; /* from 1, in characters */
	cas_str_t row; /* such as: customer "a"; empty outside of rows */
	cas_str_t key; /* empty when no single key is at fault */
	cas_str_t reason; /* message for the operator */
} config_fault_t;

/* The strings of the items are owned by the list. */
typedef struct config_faults {
	config_fault_t *items;
	size_t count;
	/* Faults that are not in items: those beyond CONFIG_FAULTS_MAX, and
	 * those for which there was no memory. */
	size_t omitted;
} config_faults_t;

/* Returns a new empty list (owned by ctx), or NULL when out of memory. */
config_faults_t *config_faults_create(TALLOC_CTX *ctx);

/* Adds a fault. row and key are copied; format and the arguments after it form
 * the reason as in printf. Bytes that are not printable ASCII are replaced by
 * question marks. */
void config_faults_add(config_faults_t *faults, int32_t line, int32_t column,
		       cas_str_t row, cas_str_t key, const char *format, ...)
	__attribute__((format(printf, 6, 7)));

/* Sorts the faults by line, column and reason. */
void config_faults_sort(config_faults_t *faults);

/* Returns "file:line:column: row: reason" (owned by ctx), without "row: " if
 * the row is empty, or NULL when out of memory. */
char *config_fault_print(TALLOC_CTX *ctx, const char *file,
			 const config_fault_t *fault);

#endif
