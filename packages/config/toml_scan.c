/*
 * Checks a TOML document before the library parses it, and rejects what the
 * library does not handle safely: deep nesting, over which it recurses, and
 * characters outside of ASCII except in comments. For some of these (U+00A1 to
 * U+0499, among others) its test for white space has undefined behaviour.
 *
 * The scan only has to be right up to the first syntax error, where the parser
 * stops; up to there both see the same strings and brackets.
 */
#include <stdio.h>

#include "cassia/fault.h"
#include "toml_internal.h"

/* State of checking one text. */
typedef struct scan {
	cas_str_t text;
	size_t offset; /* of the next byte to check */
	int32_t line; /* of offset, from 1 */
	size_t line_start; /* offset of the first byte of the line */
	int depth; /* number of open brackets and braces */
	int key_dots; /* dots of the current dotted key */
	const char *fault; /* reason of the first fault, or NULL */
} scan_t;

static const char byte_order_mark[] = "\xef\xbb\xbf";

/* Sets the fault if the current byte is allowed only in comments. */
static void scan_check_byte(scan_t *scan)
{
	unsigned char c = (unsigned char)scan->text.ptr[scan->offset];

	if (c >= 0x80)
		scan->fault = "only comments may contain characters outside "
			      "of ASCII";
	else if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') || c == 0x7f)
		scan->fault = "control characters are not allowed";
}

/* Returns whether count bytes equal to c start at offset. */
static bool scan_has_run(const scan_t *scan, size_t offset, char c,
			 size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (offset + i >= scan->text.len ||
		    scan->text.ptr[offset + i] != c)
			return false;
	return true;
}

/* Counts the newline at the current offset; does not advance. */
static void scan_start_line(scan_t *scan)
{
	scan->line++;
	scan->line_start = scan->offset + 1;
}

/* Advances from an opening quote to after the closing quote, or to the end of
 * the line if a single-line string is not closed. */
static void scan_string(scan_t *scan)
{
	char quote = scan->text.ptr[scan->offset];
	size_t quotes = scan_has_run(scan, scan->offset, quote, 3) ? 3 : 1;

	scan->offset += quotes;
	while (scan->offset < scan->text.len) {
		if (scan_has_run(scan, scan->offset, quote, quotes)) {
			scan->offset += quotes;
			/* The last quotes of a multi-line string can be part
			 * of its value: up to two before the closing three. */
			while (quotes == 3 &&
			       scan_has_run(scan, scan->offset, quote, 1))
				scan->offset++;
			return;
		}
		scan_check_byte(scan);
		if (scan->fault)
			return;
		if (scan->text.ptr[scan->offset] == '\n') {
			if (quotes == 1)
				return;
			scan_start_line(scan);
		}
		/* Skip the byte after a backslash, except for a newline, which
		 * must be counted. */
		if (quote == '"' && scan->text.ptr[scan->offset] == '\\' &&
		    !scan_has_run(scan, scan->offset + 1, '\n', 1))
			scan->offset++;
		scan->offset++;
	}
}

/* Advances to the end of the line. */
static void scan_comment(scan_t *scan)
{
	while (scan->offset < scan->text.len &&
	       scan->text.ptr[scan->offset] != '\n')
		scan->offset++;
}

/* Advances by one byte outside of strings and comments, and updates the
 * depth. */
static void scan_plain_byte(scan_t *scan)
{
	switch (scan->text.ptr[scan->offset]) {
	case '[':
	case '{':
		scan->depth++;
		scan->key_dots = 0;
		break;
	case ']':
	case '}':
		scan->depth--;
		scan->key_dots = 0;
		break;
	case '\n':
		scan_start_line(scan);
		scan->key_dots = 0;
		break;
	case '=':
	case ',':
		scan->key_dots = 0;
		break;
	case '.':
		scan->key_dots++;
		break;
	default:
		break;
	}
	scan->offset++;
}

static void scan_check_depth(scan_t *scan)
{
	if (scan->depth > TOML_DEPTH_MAX || scan->key_dots >= TOML_DEPTH_MAX)
		scan->fault = "nested too deep";
}

/* Advances by one string, comment or byte. */
static void scan_step(scan_t *scan)
{
	char c = scan->text.ptr[scan->offset];

	scan_check_byte(scan);
	if (scan->fault)
		return;
	if (c == '"' || c == '\'')
		scan_string(scan);
	else if (c == '#')
		scan_comment(scan);
	else
		scan_plain_byte(scan);
	if (!scan->fault)
		scan_check_depth(scan);
}

int toml_check_text(cas_str_t text, toml_error_t *error)
{
	scan_t scan = { .text = text, .line = 1 };

	if (cas_str_starts_with(text, CAS_STR(byte_order_mark)))
		scan.offset = strlen(byte_order_mark);
	while (scan.offset < text.len && !scan.fault)
		scan_step(&scan);
	if (!scan.fault)
		return 0;
	error->line = scan.line;
	error->column = (int32_t)(scan.offset - scan.line_start) + 1;
	snprintf(error->reason, sizeof(error->reason), "%s", scan.fault);
	return CONFIG_EFAULTS;
}

const toml_node_t *toml_get(const toml_node_t *table, const char *key)
{
	for (size_t i = 0; i < table->count; i++)
		if (cas_str_equal(table->children[i].key,
				  cas_str_from_cstr(key)))
			return &table->children[i];
	return NULL;
}
