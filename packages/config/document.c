/* Functions for both tables and host lists: rows and the [end] section. */
#include "document_internal.h"

/* The [end] section. */
typedef struct end_section {
	int64_t rows; /* number of rows of all kinds */
} end_section_t;

static const field_t end_fields[] = {
	{ "rows", FIELD_INT64, false, offsetof(end_section_t, rows), 0,
	  CONFIG_DOCUMENT_MAX },
};

/* Returns whether node is an array of tables with at least one row. */
static bool is_row_list(const toml_node_t *node)
{
	return node->kind == TOML_KIND_ARRAY && node->count &&
	       node->children[0].kind == TOML_KIND_TABLE;
}

/* Compares the number of rows that [end] states with the actual number. */
static void check_row_count(reader_t *reader, const toml_node_t *root,
			    const toml_node_t *end, int64_t stated_rows)
{
	int64_t rows = 0;

	for (size_t i = 0; i < root->count; i++)
		if (is_row_list(&root->children[i]))
			rows += (int64_t)root->children[i].count;
	if (rows != stated_rows)
		reader_add_fault(reader, toml_get(end, "rows"), end,
				 CAS_STR("end"),
				 "%lld rows are stated but there are %lld",
				 (long long)stated_rows, (long long)rows);
}

/* Returns the highest line in which a key or value at or below node starts. */
static int32_t last_line(const toml_node_t *node)
{
	int32_t line =
		node->line > node->key_line ? node->line : node->key_line;

	for (size_t i = 0; i < node->count; i++) {
		int32_t child = last_line(&node->children[i]);

		line = child > line ? child : line;
	}
	return line;
}

static void check_end_is_last(reader_t *reader, const toml_node_t *root,
			      const toml_node_t *end)
{
	for (size_t i = 0; i < root->count; i++) {
		const toml_node_t *node = &root->children[i];

		if (node == end || last_line(node) < end->line)
			continue;
		reader_add_fault(reader, NULL, end, CAS_STR("end"),
				 "[end] must come after everything else, but "
				 "\"%.*s\" reaches line %d",
				 CAS_STR_ARG(node->key), last_line(node));
	}
}

void document_check_end(reader_t *reader, const toml_node_t *root)
{
	const toml_node_t *end = toml_get(root, "end");
	end_section_t section = { .rows = -1 }; /* -1: not stated */

	if (!end) {
		config_faults_add(reader->faults, last_line(root), 1,
				  CAS_STR(""), CAS_STR("end"),
				  "the text is cut off: the last line, [end], "
				  "is missing");
		return;
	}
	if (end->kind != TOML_KIND_TABLE) {
		reader_add_fault(reader, end, NULL, CAS_STR(""),
				 "end must be written [end]");
		return;
	}
	reader_read_fields(reader, end, CAS_STR("end"), end_fields, 1,
			   &section);
	check_end_is_last(reader, root, end);
	if (section.rows >= 0)
		check_row_count(reader, root, end, section.rows);
}

size_t document_row_count(reader_t *reader, const toml_node_t *node)
{
	return node && reader_check_rows(reader, node) ? node->count : 0;
}

void document_require_rows(reader_t *reader, const toml_node_t *node)
{
	if (node && node->kind == TOML_KIND_ARRAY && !node->count)
		reader_add_fault(reader, node, NULL, CAS_STR(""),
				 "there must be at least one [[%.*s]]",
				 CAS_STR_ARG(node->key));
}

cas_str_t document_read_row(reader_t *reader, const row_schema_t *schema,
			    const toml_node_t *row, size_t index, void *out)
{
	cas_str_t name = reader_row_name(reader, schema->key, row, index);

	reader_read_fields(reader, row, name, schema->fields,
			   schema->field_count, out);
	return name;
}
