/* What tables and host lists have in common: rows and the end mark. */
#include "document_internal.h"

typedef struct end_mark {
	int64_t rows;
} end_mark_t;

static const field_t end_fields[] = {
	{ "rows", FIELD_INT64, false, offsetof(end_mark_t, rows), 0,
	  CONFIG_DOCUMENT_MAX },
};

static bool is_rows(const toml_node_t *node)
{
	return node->kind == TOML_KIND_ARRAY && node->count &&
	       node->children[0].kind == TOML_KIND_TABLE;
}

static void check_row_count(reader_t *reader, const toml_node_t *root,
			    const toml_node_t *end, int64_t stated)
{
	int64_t rows = 0;

	for (size_t i = 0; i < root->count; i++)
		if (is_rows(&root->children[i]))
			rows += (int64_t)root->children[i].count;
	if (rows != stated)
		reader_fault(reader, toml_get(end, "rows"), end, CAS_STR("end"),
			     "%lld rows are stated but there are %lld",
			     (long long)stated, (long long)rows);
}

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
		reader_fault(reader, NULL, end, CAS_STR("end"),
			     "[end] must come after everything else, but "
			     "\"%.*s\" reaches line %d",
			     CAS_STR_ARG(node->key), last_line(node));
	}
}

void document_check_end(reader_t *reader, const toml_node_t *root)
{
	const toml_node_t *end = toml_get(root, "end");
	end_mark_t mark = { .rows = -1 };

	if (!end) {
		config_faults_add(reader->faults, last_line(root), 1,
				  CAS_STR(""), CAS_STR("end"),
				  "the text is cut off: the last line, [end], "
				  "is missing");
		return;
	}
	if (end->kind != TOML_KIND_TABLE) {
		reader_fault(reader, end, NULL, CAS_STR(""),
			     "end must be written [end]");
		return;
	}
	reader_fields(reader, end, CAS_STR("end"), end_fields, 1, &mark);
	check_end_is_last(reader, root, end);
	if (mark.rows >= 0)
		check_row_count(reader, root, end, mark.rows);
}

size_t document_row_count(reader_t *reader, const toml_node_t *node)
{
	return node && reader_is_rows(reader, node) ? node->count : 0;
}

void document_need_rows(reader_t *reader, const toml_node_t *node)
{
	if (node && node->kind == TOML_KIND_ARRAY && !node->count)
		reader_fault(reader, node, NULL, CAS_STR(""),
			     "there must be at least one [[%.*s]]",
			     CAS_STR_ARG(node->key));
}

cas_str_t document_read_row(reader_t *reader, const row_kind_t *kind,
			    const toml_node_t *row, size_t index, void *out)
{
	cas_str_t name = reader_row_name(reader, kind->kind, row, index);

	reader_fields(reader, row, name, kind->fields, kind->field_count, out);
	return name;
}
