/*
 * Looks over a TOML document before the parser reads it, and refuses what the
 * parser cannot be trusted with: deep nesting, which it recurses over, and
 * characters outside of ASCII except in comments, for which its test for
 * blanks has undefined behaviour (U+00A1 to U+0499, among others).
 *
 * Only the well-formed start of a document matters: the parser stops at the
 * first fault, and up to there this scan sees the same strings and brackets.
 */
#include <stdio.h>

#include "cassia/fault.h"
#include "toml_internal.h"

typedef struct scan {
	cas_str_t text;
	size_t at;
	int32_t line;
	size_t line_start;
	int depth;
	int parts; /* of the dotted key that is being read */
	const char *fault; /* NULL while the text is good */
} scan_t;

static const char byte_order_mark[] = "\xef\xbb\xbf";

/* Refuses bytes that have no place outside of comments. */
static void scan_check_byte(scan_t *scan)
{
	unsigned char c = (unsigned char)scan->text.ptr[scan->at];

	if (c >= 0x80)
		scan->fault = "only comments may contain characters outside "
			      "of ASCII";
	else if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') || c == 0x7f)
		scan->fault = "control characters are not allowed";
}

static bool scan_has(const scan_t *scan, size_t at, char c, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (at + i >= scan->text.len || scan->text.ptr[at + i] != c)
			return false;
	return true;
}

static void scan_newline(scan_t *scan)
{
	scan->line++;
	scan->line_start = scan->at + 1;
}

/* Moves from an opening quote to behind its closing quote. */
static void scan_string(scan_t *scan)
{
	char quote = scan->text.ptr[scan->at];
	size_t quotes = scan_has(scan, scan->at, quote, 3) ? 3 : 1;

	scan->at += quotes;
	while (scan->at < scan->text.len) {
		if (scan_has(scan, scan->at, quote, quotes)) {
			scan->at += quotes;
			/* Up to two more quotes end a multi-line string. */
			while (quotes == 3 &&
			       scan_has(scan, scan->at, quote, 1))
				scan->at++;
			return;
		}
		scan_check_byte(scan);
		if (scan->fault)
			return;
		if (scan->text.ptr[scan->at] == '\n') {
			if (quotes == 1)
				return;
			scan_newline(scan);
		}
		if (quote == '"' && scan->text.ptr[scan->at] == '\\' &&
		    !scan_has(scan, scan->at + 1, '\n', 1))
			scan->at++;
		scan->at++;
	}
}

static void scan_comment(scan_t *scan)
{
	while (scan->at < scan->text.len && scan->text.ptr[scan->at] != '\n')
		scan->at++;
}

static void scan_char(scan_t *scan)
{
	switch (scan->text.ptr[scan->at]) {
	case '[':
	case '{':
		scan->depth++;
		scan->parts = 0;
		break;
	case ']':
	case '}':
		scan->depth--;
		scan->parts = 0;
		break;
	case '\n':
		scan_newline(scan);
		scan->parts = 0;
		break;
	case '=':
	case ',':
		scan->parts = 0;
		break;
	case '.':
		scan->parts++;
		break;
	default:
		break;
	}
	scan->at++;
}

static void scan_depth(scan_t *scan)
{
	if (scan->depth > TOML_DEPTH_MAX || scan->parts >= TOML_DEPTH_MAX)
		scan->fault = "nested too deep";
}

static void scan_step(scan_t *scan)
{
	char c = scan->text.ptr[scan->at];

	scan_check_byte(scan);
	if (scan->fault)
		return;
	if (c == '"' || c == '\'')
		scan_string(scan);
	else if (c == '#')
		scan_comment(scan);
	else
		scan_char(scan);
	if (!scan->fault)
		scan_depth(scan);
}

int toml_check_text(cas_str_t text, toml_error_t *error)
{
	scan_t scan = { .text = text, .line = 1 };

	if (cas_str_starts_with(text, CAS_STR(byte_order_mark)))
		scan.at = strlen(byte_order_mark);
	while (scan.at < text.len && !scan.fault)
		scan_step(&scan);
	if (!scan.fault)
		return 0;
	error->line = scan.line;
	error->column = (int32_t)(scan.at - scan.line_start) + 1;
	snprintf(error->reason, sizeof(error->reason), "%s", scan.fault);
	return CONFIG_EFAULTS;
}

const toml_node_t *toml_get(const toml_node_t *table, const char *key)
{
	for (size_t i = 0; i < table->count; i++)
		if (cas_str_equal(table->children[i].key, cas_str_from(key)))
			return &table->children[i];
	return NULL;
}
