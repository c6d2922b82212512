/* Compares rows of any kind by the description of their keys. */
#include "diff_internal.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdarg.h>

#define MICRO_PER_UNIT 1000000

/* Every row type begins like this. */
typedef struct row_head {
	cas_id_t id;
	cas_str_t name;
} row_head_t;

_Static_assert(
	offsetof(table_data_centre_t, name) == offsetof(row_head_t, name) &&
		offsetof(table_service_t, name) == offsetof(row_head_t, name) &&
		offsetof(table_route_t, name) == offsetof(row_head_t, name) &&
		offsetof(table_customer_t, name) ==
			offsetof(row_head_t, name) &&
		offsetof(roster_host_t, name) == offsetof(row_head_t, name),
	"rows begin with id and name");

void diff_add(config_diff_t *diff, cas_str_t row, const char *key,
	      cas_str_t before, cas_str_t after)
{
	config_change_t *change;

	diff->changes = talloc_realloc(diff, diff->changes, config_change_t,
				       diff->change_count + 1);
	if (!diff->changes) {
		diff->change_count = 0;
		return;
	}
	change = &diff->changes[diff->change_count++];
	change->row = cas_str_dup(diff, row);
	change->key = cas_str_dup(diff, cas_str_from(key));
	change->before = cas_str_dup(diff, before);
	change->after = cas_str_dup(diff, after);
}

void diff_warn(config_diff_t *diff, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = talloc_vasprintf(diff, format, args);
	va_end(args);
	diff->warnings = talloc_realloc(diff, diff->warnings, cas_str_t,
					diff->warning_count + 1);
	if (diff->warnings)
		diff->warnings[diff->warning_count++] = cas_str_from(text);
}

static char *print_micro(TALLOC_CTX *ctx, int64_t micro)
{
	char *text = talloc_asprintf(ctx, "%lld.%06lld",
				     (long long)(micro / MICRO_PER_UNIT),
				     (long long)(micro % MICRO_PER_UNIT));
	size_t len = text ? strlen(text) : 0;

	while (len && text[len - 1] == '0')
		text[--len] = '\0';
	if (len && text[len - 1] == '.')
		text[len - 1] = '\0';
	return text;
}

static char *print_address(TALLOC_CTX *ctx, const void *address)
{
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, address, text, sizeof(text));
	return talloc_strdup(ctx, text);
}

static char *print_hex(TALLOC_CTX *ctx, const void *bytes, size_t count)
{
	char *text = talloc_array(ctx, char, 2 * count + 1);

	return text ? sodium_bin2hex(text, 2 * count + 1, bytes, count) : NULL;
}

static char *print_integer(TALLOC_CTX *ctx, field_kind_t kind,
			   const void *value)
{
	int64_t integer = kind == FIELD_INT32  ? *(const int32_t *)value
			  : kind == FIELD_PORT ? *(const uint16_t *)value
					       : *(const int64_t *)value;

	return talloc_asprintf(ctx, "%lld", (long long)integer);
}

cas_str_t diff_print_value(TALLOC_CTX *ctx, const field_t *field,
			   const void *row)
{
	const void *value = (const char *)row + field->offset;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_TEXT:
		return *(const cas_str_t *)value;
	case FIELD_BOOL:
		return cas_str_from(*(const bool *)value ? "true" : "false");
	case FIELD_INT32:
	case FIELD_INT64:
	case FIELD_PORT:
		return cas_str_from(print_integer(ctx, field->kind, value));
	case FIELD_MICRO:
		return cas_str_from(print_micro(ctx, *(const int64_t *)value));
	case FIELD_ADDRESS:
		return cas_str_from(print_address(ctx, value));
	case FIELD_HEX:
		return cas_str_from(print_hex(ctx, value, (size_t)field->max));
	case FIELD_ENDPOINT:
	case FIELD_NODE:
		break;
	}
	return CAS_STR("");
}

static cas_str_t row_name(TALLOC_CTX *ctx, const row_kind_t *kind,
			  const row_head_t *row)
{
	return cas_str_from(talloc_asprintf(ctx, "%s \"%.*s\"", kind->kind,
					    CAS_STR_ARG(row->name)));
}

static const row_head_t *row_at(const diff_rows_t *rows, size_t index)
{
	return (const void *)((const char *)rows->rows +
			      index * rows->kind->size);
}

static const row_head_t *row_find(const diff_rows_t *rows, cas_id_t id)
{
	for (size_t i = 0; i < rows->count; i++)
		if (row_at(rows, i)->id == id)
			return row_at(rows, i);
	return NULL;
}

static void compare_row(config_diff_t *diff, const row_kind_t *kind,
			const row_head_t *before, const row_head_t *after)
{
	TALLOC_CTX *ctx = talloc_new(diff);
	cas_str_t name = row_name(ctx, kind, after);

	for (size_t i = 0; i < kind->field_count; i++) {
		const field_t *field = &kind->fields[i];
		cas_str_t a;
		cas_str_t b;

		/* Values behind the row structure are compared by the caller. */
		if (field->offset >= kind->size || field->kind == FIELD_NODE)
			continue;
		a = diff_print_value(ctx, field, before);
		b = diff_print_value(ctx, field, after);
		if (!cas_str_equal(a, b))
			diff_add(diff, name, field->key, a, b);
	}
	talloc_free(ctx);
}

void diff_add_rows(config_diff_t *diff, const diff_rows_t *from,
		   const diff_rows_t *to)
{
	cas_str_t none = CAS_STR("");

	for (size_t i = 0; i < from->count; i++) {
		const row_head_t *row = row_at(from, i);
		cas_str_t name = row_name(diff, from->kind, row);

		if (!row_find(to, row->id))
			diff_add(diff, name, "", CAS_STR("row"), none);
	}
	for (size_t i = 0; i < to->count; i++) {
		const row_head_t *row = row_at(to, i);
		const row_head_t *former = row_find(from, row->id);

		if (former)
			compare_row(diff, to->kind, former, row);
		else
			diff_add(diff, row_name(diff, to->kind, row), "", none,
				 CAS_STR("row"));
	}
}
