/* List of faults found in a document, and their text form. */
#include "cassia/fault.h"

#include <stdarg.h>
#include <stdlib.h>

config_faults_t *config_faults_create(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, config_faults_t);
}

/* Returns a copy of text in which only printable ASCII is left: strings of a
 * document can contain any escaped character, and faults are written to logs,
 * terminals and JSON. */
static cas_str_t copy_printable(TALLOC_CTX *ctx, cas_str_t text)
{
	char *copy = talloc_strndup(ctx, text.len ? text.ptr : "", text.len);

	for (char *c = copy; c && *c; c++)
		if (*c < ' ' || *c > '~')
			*c = '?';
	return cas_str_from_cstr(copy);
}

void config_faults_add(config_faults_t *faults, int32_t line, int32_t column,
		       cas_str_t row, cas_str_t key, const char *format, ...)
{
	config_fault_t *items;
	config_fault_t *fault;
	char *reason;
	va_list args;

	if (faults->count >= CONFIG_FAULTS_MAX) {
		faults->omitted++;
		return;
	}
	items = talloc_realloc(faults, faults->items, config_fault_t,
			       faults->count + 1);
	va_start(args, format);
	reason = talloc_vasprintf(faults, format, args);
	va_end(args);
	if (!items || !reason) {
		/* Count the fault, so that the document is still rejected. */
		faults->omitted++;
		faults->items = items ? items : faults->items;
		return;
	}
	faults->items = items;
	fault = &items[faults->count++];
	fault->line = line;
	fault->column = column;
	fault->row = copy_printable(faults, row);
	fault->key = copy_printable(faults, key);
	fault->reason = copy_printable(faults, cas_str_from_cstr(reason));
	talloc_free(reason);
}

static int fault_compare(const void *left, const void *right)
{
	const config_fault_t *a = left;
	const config_fault_t *b = right;

	if (a->line != b->line)
		return a->line < b->line ? -1 : 1;
	if (a->column != b->column)
		return a->column < b->column ? -1 : 1;
	return cas_str_compare(a->reason, b->reason);
}

void config_faults_sort(config_faults_t *faults)
{
	if (faults->count > 1)
		qsort(faults->items, faults->count, sizeof(*faults->items),
		      fault_compare);
}

char *config_fault_print(TALLOC_CTX *ctx, const char *file,
			 const config_fault_t *fault)
{
	char *text = talloc_asprintf(ctx, "%s:%d:%d: ", file, fault->line,
				     fault->column);

	if (fault->row.len)
		text = talloc_asprintf_append_buffer(
			text, "%.*s: ", CAS_STR_ARG(fault->row));
	return talloc_asprintf_append_buffer(text, "%.*s",
					     CAS_STR_ARG(fault->reason));
}
