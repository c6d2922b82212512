/* Prints JSON objects in readable form, whatever members they have. */
#include <stdlib.h>

#include "ctl_internal.h"

#define COLUMNS_MAX 32 /* further columns are not printed */
#define KEY_WIDTH 16 /* characters; longer keys are not cut */

json_t *ctl_json_string(cas_str_t text)
{
	json_t *json = json_stringn(text.ptr, text.len);
	char *copy;

	if (json)
		return json;
	copy = g_strndup(text.ptr ? text.ptr : "", text.len);
	for (char *c = copy; *c; c++)
		if ((unsigned char)*c >= 0x80)
			*c = '?';
	json = json_string(copy);
	g_free(copy);
	return json;
}

void ctl_print_json(FILE *out, json_t *json)
{
	json_dumpf(json, out, JSON_COMPACT);
	fputc('\n', out);
	json_decref(json);
}

/* Text from a daemon must not contain escape sequences for the operator's
 * terminal. */
static void replace_control_characters(char *text)
{
	for (char *c = text; *c; c++)
		if ((unsigned char)*c < ' ' || *c == 127)
			*c = '?';
}

/* Returns the readable text of any value (new, freed with g_free). */
static char *format_value(const json_t *value)
{
	char *text;
	char *dumped;

	if (json_is_string(value)) {
		text = g_strdup(json_string_value(value));
	} else {
		dumped = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
						   JSON_REAL_PRECISION(6));
		text = g_strdup(dumped ? dumped : "");
		free(dumped);
	}
	replace_control_characters(text);
	return text;
}

static bool is_object_list(const json_t *value)
{
	return json_is_array(value) && json_array_size(value) &&
	       json_is_object(json_array_get(value, 0));
}

/* The columns of a list of objects: one for each key of any object. */
typedef struct columns {
	const char *keys[COLUMNS_MAX]; /* borrowed from the rows */
	int widths[COLUMNS_MAX]; /* characters */
	size_t count;
} columns_t;

/* Returns the index of a key's column, or the count if it has none. */
static size_t find_column(const columns_t *columns, const char *key)
{
	size_t column = 0;

	while (column < columns->count &&
	       strcmp(columns->keys[column], key) != 0)
		column++;
	return column;
}

/* Adds the column of a key if needed, and widens it for the value. */
static void update_column(columns_t *columns, const char *key,
			  const json_t *value)
{
	size_t column = find_column(columns, key);
	char *text = format_value(value);

	if (column == columns->count && column < COLUMNS_MAX) {
		columns->keys[column] = key;
		columns->widths[column] = (int)strlen(key);
		columns->count++;
	}
	if (column < COLUMNS_MAX && (int)strlen(text) > columns->widths[column])
		columns->widths[column] = (int)strlen(text);
	g_free(text);
}

static void measure_columns(columns_t *columns, json_t *rows)
{
	const char *key;
	json_t *value;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) json_object_foreach(row, key, value)
		update_column(columns, key, value);
}

/* Numbers are aligned to the right. Text is padded on the right, except in the
 * last column. */
static void print_cell(FILE *out, const columns_t *columns, size_t column,
		       const char *text, bool number)
{
	int width = columns->widths[column];

	if (column)
		fputs("  ", out);
	if (!number)
		width = column + 1 < columns->count ? -width : 0;
	fprintf(out, "%*s", width, text);
}

static bool is_number_column(json_t *rows, const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		json_t *value = json_object_get(row, key);

		if (value && !json_is_number(value))
			return false;
	}
	return true;
}

static void print_row(FILE *out, const columns_t *columns, json_t *rows,
		      const json_t *row)
{
	for (size_t c = 0; c < columns->count; c++) {
		json_t *value = json_object_get(row, columns->keys[c]);
		char *text = value ? format_value(value) : g_strdup("-");

		print_cell(out, columns, c, text,
			   is_number_column(rows, columns->keys[c]));
		g_free(text);
	}
	fputc('\n', out);
}

static void print_rows(FILE *out, const char *name, json_t *rows)
{
	columns_t columns = { .count = 0 };
	json_t *row;
	size_t i;

	measure_columns(&columns, rows);
	fprintf(out, "%s:\n", name);
	for (size_t c = 0; c < columns.count; c++) {
		char *key = g_strdup(columns.keys[c]);

		replace_control_characters(key);
		print_cell(out, &columns, c, key,
			   is_number_column(rows, columns.keys[c]));
		g_free(key);
	}
	fputc('\n', out);
	json_array_foreach(rows, i, row) print_row(out, &columns, rows, row);
}

static void print_list(FILE *out, const char *name, json_t *list)
{
	json_t *item;
	size_t i;

	fprintf(out, "%s:%s\n", name, json_array_size(list) ? "" : " none");
	json_array_foreach(list, i, item)
	{
		char *text = format_value(item);

		fprintf(out, "  %s\n", text);
		g_free(text);
	}
}

void ctl_print_object(FILE *out, json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		char *name = g_strdup(key);

		replace_control_characters(name);
		if (is_object_list(value)) {
			print_rows(out, name, value);
		} else if (json_is_array(value)) {
			print_list(out, name, value);
		} else {
			char *text = format_value(value);

			fprintf(out, "%-*s  %s\n", KEY_WIDTH, name, text);
			g_free(text);
		}
		g_free(name);
	}
}
