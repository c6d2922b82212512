/* Compares rows of any kind field by field, according to their schema. */
#include "diff_internal.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <stdarg.h>

#define MICRO_PER_UNIT 1000000

/* Common first members of the structures of all kinds of rows. */
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
	change->key = cas_str_dup(diff, cas_str_from_cstr(key));
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
		diff->warnings[diff->warning_count++] = cas_str_from_cstr(text);
}

/* Returns a number of millionths as a decimal number without trailing zeros. */
static char *format_micro(TALLOC_CTX *ctx, int64_t micro)
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

static char *format_address(TALLOC_CTX *ctx, const void *address)
{
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, address, text, sizeof(text));
	return talloc_strdup(ctx, text);
}

static char *format_hex(TALLOC_CTX *ctx, const void *bytes, size_t count)
{
	char *text = talloc_array(ctx, char, 2 * count + 1);

	return text ? sodium_bin2hex(text, 2 * count + 1, bytes, count) : NULL;
}

static char *format_integer(TALLOC_CTX *ctx, field_kind_t kind,
			    const void *value)
{
	int64_t integer = kind == FIELD_INT32  ? *(const int32_t *)value
			  : kind == FIELD_PORT ? *(const uint16_t *)value
					       : *(const int64_t *)value;

	return talloc_asprintf(ctx, "%lld", (long long)integer);
}

static char *format_names(TALLOC_CTX *ctx, const name_list_t *list)
{
	char *text = talloc_strdup(ctx, "");

	for (size_t i = 0; i < list->count; i++)
		text = talloc_asprintf_append_buffer(
			text, "%s%.*s", i ? ", " : "",
			CAS_STR_ARG(list->names[i]));
	return text;
}

cas_str_t diff_format_value(TALLOC_CTX *ctx, const field_t *field,
			    const void *row)
{
	const void *value = (const char *)row + field->offset;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_TEXT:
		return *(const cas_str_t *)value;
	case FIELD_BOOL:
		return cas_str_from_cstr(*(const bool *)value ? "true"
							      : "false");
	case FIELD_INT32:
	case FIELD_INT64:
	case FIELD_PORT:
		return cas_str_from_cstr(
			format_integer(ctx, field->kind, value));
	case FIELD_MICRO:
		return cas_str_from_cstr(
			format_micro(ctx, *(const int64_t *)value));
	case FIELD_ADDRESS:
		return cas_str_from_cstr(format_address(ctx, value));
	case FIELD_HEX:
		return cas_str_from_cstr(
			format_hex(ctx, value, (size_t)field->max));
	case FIELD_NAMES:
		return cas_str_from_cstr(format_names(ctx, value));
	case FIELD_ENDPOINT:
	case FIELD_NODE:
		break;
	}
	return CAS_STR("");
}

/* Returns the name of a row for display, such as: customer "a". */
static cas_str_t row_name(TALLOC_CTX *ctx, const row_schema_t *schema,
			  const row_head_t *row)
{
	return cas_str_from_cstr(talloc_asprintf(
		ctx, "%s \"%.*s\"", schema->key, CAS_STR_ARG(row->name)));
}

static const row_head_t *row_at(const diff_rows_t *rows, size_t index)
{
	return (const void *)((const char *)rows->rows +
			      index * rows->schema->size);
}

static const row_head_t *find_row(const diff_rows_t *rows, cas_id_t id)
{
	for (size_t i = 0; i < rows->count; i++)
		if (row_at(rows, i)->id == id)
			return row_at(rows, i);
	return NULL;
}

/* Adds the fields that differ between two revisions of a row. */
static void compare_row(config_diff_t *diff, const row_schema_t *schema,
			const row_head_t *before, const row_head_t *after)
{
	TALLOC_CTX *ctx = talloc_new(diff);
	cas_str_t name = row_name(ctx, schema, after);

	for (size_t i = 0; i < schema->field_count; i++) {
		const field_t *field = &schema->fields[i];
		cas_str_t old_text;
		cas_str_t new_text;

		/* Fields that are not kept in the row structure, and nested
		 * nodes, cannot be compared here. */
		if (field->offset >= schema->size || field->kind == FIELD_NODE)
			continue;
		old_text = diff_format_value(ctx, field, before);
		new_text = diff_format_value(ctx, field, after);
		if (!cas_str_equal(old_text, new_text))
			diff_add(diff, name, field->key, old_text, new_text);
	}
	talloc_free(ctx);
}

void diff_add_rows(config_diff_t *diff, const diff_rows_t *from,
		   const diff_rows_t *to)
{
	cas_str_t none = CAS_STR("");

	for (size_t i = 0; i < from->count; i++) {
		const row_head_t *row = row_at(from, i);
		cas_str_t name = row_name(diff, from->schema, row);

		if (!find_row(to, row->id))
			diff_add(diff, name, "", CAS_STR("row"), none);
	}
	for (size_t i = 0; i < to->count; i++) {
		const row_head_t *row = row_at(to, i);
		const row_head_t *previous = find_row(from, row->id);

		if (previous)
			compare_row(diff, to->schema, previous, row);
		else
			diff_add(diff, row_name(diff, to->schema, row), "",
				 none, CAS_STR("row"));
	}
}
