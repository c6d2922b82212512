/* Reads TOML tables into structures according to field descriptions. */
#include "schema_internal.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <math.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <xxhash.h>

#include "cassia/settings.h"
#include "cassia/table.h"

/* At least the number of fields of every TOML table; not checked. */
#define FIELDS_MAX 24
#define MICRO_PER_UNIT 1000000

/* A value that is being read. */
typedef struct value {
	reader_t *reader;
	const toml_node_t *node; /* the value in the document */
	cas_str_t row_name; /* for fault messages */
	const field_t *field; /* describes the value */
	void *out; /* structure member that the value goes to */
} value_t;

void *reader_alloc_array(reader_t *reader, size_t size, size_t count)
{
	void *items;

	if (!count)
		return NULL;
	items = talloc_zero_size(reader->ctx, size * count);
	if (!items)
		reader->rc = CONFIG_ENOMEM;
	return items;
}

void reader_add_fault(reader_t *reader, const toml_node_t *node,
		      const toml_node_t *row, cas_str_t row_name,
		      const char *format, ...)
{
	const toml_node_t *position = node ? node : row;
	cas_str_t key = node ? node->key : CAS_STR("");
	char reason[512];
	va_list args;

	va_start(args, format);
	vsnprintf(reason, sizeof(reason), format, args);
	va_end(args);
	config_faults_add(reader->faults, position ? position->line : 0,
			  position ? position->column : 0, row_name, key, "%s",
			  reason);
}

const toml_node_t *reader_parse(reader_t *reader, TALLOC_CTX *ctx,
				cas_str_t text)
{
	toml_error_t error = { 0 };
	toml_node_t *root = NULL;
	cas_str_t no_name = CAS_STR("");
	int rc;

	if (text.len > CONFIG_DOCUMENT_MAX) {
		config_faults_add(reader->faults, 0, 0, no_name, no_name,
				  "%zu bytes are more than the limit of %d",
				  text.len, CONFIG_DOCUMENT_MAX);
		return NULL;
	}
	rc = toml_parse(ctx, text, &root, &error);
	if (rc == CONFIG_ENOMEM)
		reader->rc = rc;
	else if (rc)
		config_faults_add(reader->faults, error.line, error.column,
				  no_name, no_name, "%s", error.reason);
	return rc ? NULL : root;
}

/* Reports a value that is not as its field requires: "<key> must be
 * <expected>". */
static void report_invalid_value(const value_t *value, const char *expected)
{
	reader_add_fault(value->reader, value->node, NULL, value->row_name,
			 "%s must be %s", value->field->key, expected);
}

bool config_name_is_valid(cas_str_t text)
{
	if (!text.len || text.len > NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.ptr[i];

		/* strchr also finds the terminating NUL. */
		if (c >= 0x80 || (!isalnum(c) && !strchr("._-", c)) || !c)
			return false;
	}
	return true;
}

static bool text_is_printable(cas_str_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (text.ptr[i] < ' ' || text.ptr[i] > '~')
			return false;
	return true;
}

/* Copies a string to the structure. */
static void copy_text(const value_t *value)
{
	cas_str_t copy = cas_str_dup(value->reader->ctx, value->node->text);

	if (!copy.ptr)
		value->reader->rc = CONFIG_ENOMEM;
	*(cas_str_t *)value->out = copy;
}

static void read_name(const value_t *value)
{
	if (value->node->kind != TOML_KIND_STRING ||
	    !config_name_is_valid(value->node->text))
		report_invalid_value(
			value, "1 to 64 letters, digits, '.', '_' or '-'");
	else
		copy_text(value);
}

static void read_text(const value_t *value)
{
	size_t len = value->node->text.len;
	char expected[80];

	if (value->node->kind != TOML_KIND_STRING ||
	    !text_is_printable(value->node->text) ||
	    len < (size_t)value->field->min ||
	    len > (size_t)value->field->max) {
		snprintf(expected, sizeof(expected),
			 "a text of %lld to %lld printable ASCII characters",
			 (long long)value->field->min,
			 (long long)value->field->max);
		report_invalid_value(value, expected);
		return;
	}
	copy_text(value);
}

static void read_bool(const value_t *value)
{
	if (value->node->kind != TOML_KIND_BOOLEAN)
		report_invalid_value(value, "true or false");
	else
		*(bool *)value->out = value->node->boolean;
}

/* Stores an integer in the type of the field. */
static void store_integer(const value_t *value, int64_t integer)
{
	if (value->field->kind == FIELD_INT32)
		*(int32_t *)value->out = (int32_t)integer;
	else if (value->field->kind == FIELD_PORT)
		*(uint16_t *)value->out = (uint16_t)integer;
	else
		*(int64_t *)value->out = integer;
}

static void read_integer(const value_t *value)
{
	const field_t *field = value->field;
	char expected[80];

	if (value->node->kind != TOML_KIND_INTEGER ||
	    value->node->integer < field->min ||
	    value->node->integer > field->max) {
		snprintf(expected, sizeof(expected),
			 "an integer from %lld to %lld", (long long)field->min,
			 (long long)field->max);
		report_invalid_value(value, expected);
		return;
	}
	store_integer(value, value->node->integer);
}

static void read_micro(const value_t *value)
{
	const toml_node_t *node = value->node;
	double min = (double)value->field->min / MICRO_PER_UNIT;
	double max = (double)value->field->max / MICRO_PER_UNIT;
	double number = node->kind == TOML_KIND_INTEGER ? (double)node->integer
							: node->real;
	char expected[80];

	if ((node->kind != TOML_KIND_INTEGER &&
	     node->kind != TOML_KIND_FLOAT) ||
	    !(number >= min && number <= max)) {
		snprintf(expected, sizeof(expected), "a number from %g to %.0f",
			 min, max);
		report_invalid_value(value, expected);
		return;
	}
	*(int64_t *)value->out = llround(number * MICRO_PER_UNIT);
}

static void read_address(const value_t *value)
{
	/* The length differs if the text contains a NUL. */
	if (value->node->kind != TOML_KIND_STRING ||
	    inet_pton(AF_INET, value->node->text.ptr, value->out) != 1 ||
	    strlen(value->node->text.ptr) != value->node->text.len)
		report_invalid_value(value, "an IPv4 address");
}

/* Reads ADDRESS:PORT from one string, as some platforms write it. */
static void read_endpoint(const value_t *value)
{
	settings_endpoint_t *endpoint = value->out;
	char address[INET_ADDRSTRLEN] = "";
	unsigned int port = 0;
	int consumed = 0;

	if (value->node->kind != TOML_KIND_STRING ||
	    sscanf(value->node->text.ptr, "%15[0-9.]:%5u%n", address, &port,
		   &consumed) != 2 ||
	    (size_t)consumed != value->node->text.len || port > UINT16_MAX ||
	    inet_pton(AF_INET, address, &endpoint->address) != 1) {
		report_invalid_value(value,
				     "an IPv4 address and a port: 10.0.0.1:80");
		return;
	}
	endpoint->port = (uint16_t)port;
}

static void read_hex(const value_t *value)
{
	size_t bytes = (size_t)value->field->max;
	const toml_node_t *node = value->node;
	char expected[48];

	snprintf(expected, sizeof(expected), "%zu hexadecimal digits",
		 2 * bytes);
	if (node->kind != TOML_KIND_STRING || node->text.len != 2 * bytes ||
	    sodium_hex2bin(value->out, bytes, node->text.ptr, node->text.len,
			   NULL, NULL, NULL))
		report_invalid_value(value, expected);
}

static bool names_are_valid(const toml_node_t *list, int64_t max)
{
	if (list->kind != TOML_KIND_ARRAY || (int64_t)list->count > max)
		return false;
	for (size_t i = 0; i < list->count; i++)
		if (list->children[i].kind != TOML_KIND_STRING ||
		    !config_name_is_valid(list->children[i].text))
			return false;
	return true;
}

static void read_names(const value_t *value)
{
	const toml_node_t *node = value->node;
	name_list_t list = { .count = node->count };
	char expected[80];

	if (!names_are_valid(node, value->field->max)) {
		snprintf(expected, sizeof(expected),
			 "a list of up to %lld names",
			 (long long)value->field->max);
		report_invalid_value(value, expected);
		return;
	}
	list.names = reader_alloc_array(value->reader, sizeof(*list.names),
					list.count);
	list.ids = reader_alloc_array(value->reader, sizeof(*list.ids),
				      list.count);
	if (value->reader->rc)
		return;
	for (size_t i = 0; i < list.count; i++) {
		list.names[i] =
			cas_str_dup(value->reader->ctx, node->children[i].text);
		list.ids[i] = cas_id_of(list.names[i]);
		if (!list.names[i].ptr)
			value->reader->rc = CONFIG_ENOMEM;
	}
	*(name_list_t *)value->out = list;
}

static void read_value(const value_t *value)
{
	switch (value->field->kind) {
	case FIELD_NAME:
		read_name(value);
		break;
	case FIELD_TEXT:
		read_text(value);
		break;
	case FIELD_BOOL:
		read_bool(value);
		break;
	case FIELD_INT32:
	case FIELD_INT64:
	case FIELD_PORT:
		read_integer(value);
		break;
	case FIELD_MICRO:
		read_micro(value);
		break;
	case FIELD_ADDRESS:
		read_address(value);
		break;
	case FIELD_ENDPOINT:
		read_endpoint(value);
		break;
	case FIELD_HEX:
		read_hex(value);
		break;
	case FIELD_NAMES:
		read_names(value);
		break;
	case FIELD_NODE:
		*(const toml_node_t **)value->out = value->node;
		break;
	}
}

/* Reports an unknown key, at its own position, with a suggestion. */
static void report_unknown_key(reader_t *reader, const toml_node_t *node,
			       cas_str_t row_name, const field_t *fields,
			       size_t count)
{
	const char *known_keys[FIELDS_MAX];
	char hint[64] = "";
	int nearest;

	for (size_t i = 0; i < count; i++)
		known_keys[i] = fields[i].key;
	nearest = nearest_find(node->key, known_keys, count);
	if (nearest >= 0)
		snprintf(hint, sizeof(hint),
			 "; the nearest known key is \"%s\"",
			 known_keys[nearest]);
	config_faults_add(reader->faults, node->key_line, node->key_column,
			  row_name, node->key, "unknown key \"%.*s\"%s",
			  (int)(node->key.len < 100 ? node->key.len : 100),
			  node->key.ptr, hint);
}

static const field_t *find_field(const field_t *fields, size_t count,
				 cas_str_t key)
{
	for (size_t i = 0; i < count; i++)
		if (cas_str_equal(key, cas_str_from_cstr(fields[i].key)))
			return &fields[i];
	return NULL;
}

void reader_read_fields(reader_t *reader, const toml_node_t *table,
			cas_str_t row_name, const field_t *fields, size_t count,
			void *out)
{
	for (size_t i = 0; i < table->count; i++) {
		const toml_node_t *node = &table->children[i];
		const field_t *field = find_field(fields, count, node->key);
		value_t value = { reader, node, row_name, field, NULL };

		if (!field) {
			report_unknown_key(reader, node, row_name, fields,
					   count);
			continue;
		}
		value.out = (char *)out + field->offset;
		read_value(&value);
	}
	for (size_t i = 0; i < count; i++)
		if (fields[i].required && !toml_get(table, fields[i].key))
			reader_add_fault(reader, NULL, table, row_name,
					 "key \"%s\" is missing",
					 fields[i].key);
}

cas_str_t reader_row_name(reader_t *reader, const char *kind,
			  const toml_node_t *row, size_t index)
{
	const toml_node_t *name = toml_get(row, "name");
	char *text;

	if (name && name->kind == TOML_KIND_STRING && name->text.len &&
	    name->text.len <= NAME_MAX_BYTES && text_is_printable(name->text))
		text = talloc_asprintf(reader->faults, "%s \"%s\"", kind,
				       name->text.ptr);
	else
		text = talloc_asprintf(reader->faults, "%s %zu", kind,
				       index + 1);
	if (!text)
		reader->rc = CONFIG_ENOMEM;
	return cas_str_from_cstr(text);
}

bool reader_check_rows(reader_t *reader, const toml_node_t *node)
{
	bool valid = node->kind == TOML_KIND_ARRAY;

	for (size_t i = 0; valid && i < node->count; i++)
		valid = node->children[i].kind == TOML_KIND_TABLE;
	if (!valid)
		reader_add_fault(reader, node, NULL, CAS_STR(""),
				 "\"%.*s\" must be a list of rows: [[%.*s]]",
				 CAS_STR_ARG(node->key),
				 CAS_STR_ARG(node->key));
	return valid;
}

/* Orders by id, and equal ids by line. */
static int unique_entry_compare(const void *left, const void *right)
{
	const unique_entry_t *a = left;
	const unique_entry_t *b = right;

	if (a->id != b->id)
		return a->id < b->id ? -1 : 1;
	return (a->node->line > b->node->line) -
	       (a->node->line < b->node->line);
}

void reader_check_unique(reader_t *reader, unique_entry_t *entries,
			 size_t count, const char *description)
{
	if (count < 2)
		return;
	qsort(entries, count, sizeof(*entries), unique_entry_compare);
	for (size_t i = 1; i < count; i++)
		if (entries[i].id && entries[i].id == entries[i - 1].id)
			reader_add_fault(reader, entries[i].node, NULL,
					 entries[i].row_name,
					 "%s is already used in line %d",
					 description,
					 entries[i - 1].node->line);
}

uint64_t toml_fingerprint(const toml_node_t *node, uint64_t seed)
{
	uint64_t numbers[4] = { node->kind, (uint64_t)node->integer,
				node->boolean, node->count };
	uint64_t hash = XXH64(numbers, sizeof(numbers), seed);

	hash = XXH64(&node->real, sizeof(node->real), hash);
	hash = XXH64(node->key.ptr, node->key.len, hash);
	hash = XXH64(node->text.ptr, node->text.len, hash);
	for (size_t i = 0; i < node->count; i++)
		hash = toml_fingerprint(&node->children[i], hash);
	return hash;
}
