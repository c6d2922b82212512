/* Prints JSON objects for people, whatever fields they have. */
#include <stdlib.h>

#include "ctl_internal.h"

#define COLUMNS_MAX 32
#define KEY_WIDTH 16

json_t *ctl_json_text(cas_str_t text)
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

/* Text from a daemon must not control the operator's terminal. */
static void replace_controls(char *text)
{
	for (char *c = text; *c; c++)
		if ((unsigned char)*c < ' ' || *c == 127)
			*c = '?';
}

/* Returns the text form of any value, for g_free. */
static char *print_value(const json_t *value)
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
	replace_controls(text);
	return text;
}

static bool is_rows(const json_t *value)
{
	return json_is_array(value) && json_array_size(value) &&
	       json_is_object(json_array_get(value, 0));
}

typedef struct columns {
	const char *keys[COLUMNS_MAX];
	int widths[COLUMNS_MAX];
	size_t count;
} columns_t;

static size_t find_column(const columns_t *columns, const char *key)
{
	size_t at = 0;

	while (at < columns->count && strcmp(columns->keys[at], key) != 0)
		at++;
	return at;
}

static void widen(columns_t *columns, const char *key, const json_t *value)
{
	size_t at = find_column(columns, key);
	char *text = print_value(value);

	if (at == columns->count && at < COLUMNS_MAX) {
		columns->keys[at] = key;
		columns->widths[at] = (int)strlen(key);
		columns->count++;
	}
	if (at < COLUMNS_MAX && (int)strlen(text) > columns->widths[at])
		columns->widths[at] = (int)strlen(text);
	g_free(text);
}

static void measure(columns_t *columns, json_t *rows)
{
	const char *key;
	json_t *value;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) json_object_foreach(row, key, value)
		widen(columns, key, value);
}

static void print_cell(FILE *out, const columns_t *columns, size_t at,
		       const char *text, bool number)
{
	/* Numbers are set to the right, and nothing pads the last column. */
	int width = columns->widths[at];

	if (at)
		fputs("  ", out);
	if (!number)
		width = at + 1 < columns->count ? -width : 0;
	fprintf(out, "%*s", width, text);
}

static bool column_is_number(json_t *rows, const char *key)
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
		char *text = value ? print_value(value) : g_strdup("-");

		print_cell(out, columns, c, text,
			   column_is_number(rows, columns->keys[c]));
		g_free(text);
	}
	fputc('\n', out);
}

static void print_rows(FILE *out, const char *name, json_t *rows)
{
	columns_t columns = { .count = 0 };
	json_t *row;
	size_t i;

	measure(&columns, rows);
	fprintf(out, "%s:\n", name);
	for (size_t c = 0; c < columns.count; c++) {
		char *key = g_strdup(columns.keys[c]);

		replace_controls(key);
		print_cell(out, &columns, c, key,
			   column_is_number(rows, columns.keys[c]));
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
		char *text = print_value(item);

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

		replace_controls(name);
		if (is_rows(value)) {
			print_rows(out, name, value);
		} else if (json_is_array(value)) {
			print_list(out, name, value);
		} else {
			char *text = print_value(value);

			fprintf(out, "%-*s  %s\n", KEY_WIDTH, name, text);
			g_free(text);
		}
		g_free(name);
	}
}
