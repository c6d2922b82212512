/*
 * Parses TOML with the C++ library toml++ (libtomlplusplus) and copies the
 * result into a tree of C structures. The header-only form of the library is
 * used because the packaged binary is built to throw parse errors.
 */

/*
 * On some malformed texts, such as "[=", an assertion of the library fails
 * instead of a parse error being returned. With NDEBUG the library would
 * continue as if the condition held, so assertions stay enabled in every build
 * type; a failed one throws an exception, which toml_parse reports as a fault.
 */
#undef NDEBUG
namespace
{
struct assertion_failed {
};

[[noreturn]] void throw_assertion_failed()
{
	throw assertion_failed();
}
} /* namespace */
#define TOML_ASSERT(condition)                                                 \
	((condition) ? static_cast<void>(0) : throw_assertion_failed())

#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <new>
#include <string_view>

#include <talloc.h>

extern "C" {
#include "cassia/fault.h"
#include "toml_internal.h"
}

namespace
{

cas_str_t copy_text(TALLOC_CTX *ctx, std::string_view text)
{
	cas_str_t copy = cas_str_dup(ctx, { text.data(), text.size() });

	if (!copy.ptr)
		throw std::bad_alloc();
	return copy;
}

/* Allocates count children of node and returns the first. */
toml_node_t *make_children(TALLOC_CTX *ctx, toml_node_t *node, size_t count)
{
	node->count = count;
	if (!count)
		return nullptr;
	node->children = talloc_zero_array(ctx, toml_node_t, count);
	if (!node->children)
		throw std::bad_alloc();
	return node->children;
}

void copy_node(TALLOC_CTX *ctx, const toml::node &from, toml_node_t *to);

void copy_table(TALLOC_CTX *ctx, const toml::table &from, toml_node_t *to)
{
	toml_node_t *child = make_children(ctx, to, from.size());

	to->kind = TOML_KIND_TABLE;
	for (const auto &[key, value] : from) {
		child->key = copy_text(ctx, key.str());
		child->key_line = (int32_t)key.source().begin.line;
		child->key_column = (int32_t)key.source().begin.column;
		copy_node(ctx, value, child);
		child++;
	}
}

void copy_array(TALLOC_CTX *ctx, const toml::array &from, toml_node_t *to)
{
	toml_node_t *child = make_children(ctx, to, from.size());

	to->kind = TOML_KIND_ARRAY;
	for (const auto &value : from)
		copy_node(ctx, value, child++);
}

void copy_node(TALLOC_CTX *ctx, const toml::node &from, toml_node_t *to)
{
	to->line = (int32_t)from.source().begin.line;
	to->column = (int32_t)from.source().begin.column;
	if (const auto *table = from.as_table()) {
		copy_table(ctx, *table, to);
	} else if (const auto *array = from.as_array()) {
		copy_array(ctx, *array, to);
	} else if (const auto *text = from.as_string()) {
		to->kind = TOML_KIND_STRING;
		to->text = copy_text(ctx, text->get());
	} else if (const auto *integer = from.as_integer()) {
		to->kind = TOML_KIND_INTEGER;
		to->integer = integer->get();
	} else if (const auto *real = from.as_floating_point()) {
		to->kind = TOML_KIND_FLOAT;
		to->real = real->get();
	} else if (const auto *boolean = from.as_boolean()) {
		to->kind = TOML_KIND_BOOLEAN;
		to->boolean = boolean->get();
	} else {
		to->kind = TOML_KIND_TIME;
	}
}

/* Copies position and reason of a parse error; returns CONFIG_EFAULTS. */
int fill_error(const toml::parse_error &parse_error, toml_error_t *error)
{
	std::string_view reason = parse_error.description();

	error->line = (int32_t)parse_error.source().begin.line;
	error->column = (int32_t)parse_error.source().begin.column;
	snprintf(error->reason, sizeof(error->reason), "%.*s",
		 (int)reason.size(), reason.data());
	return CONFIG_EFAULTS;
}

/* Parses text and copies the tree to *root unless root is NULL. Throws
 * assertion_failed and std::bad_alloc. */
int parse(TALLOC_CTX *ctx, std::string_view text, toml_node_t **root,
	  toml_error_t *error)
{
	toml::parse_result result = toml::parse(text);

	if (!result)
		return fill_error(result.error(), error);
	if (!root)
		return 0;
	*root = talloc_zero(ctx, toml_node_t);
	if (!*root)
		return CONFIG_ENOMEM;
	copy_table(*root, result.table(), *root);
	return 0;
}

/* Returns whether parsing text fails an assertion of the library. */
bool fails_assertion(std::string_view text)
{
	toml_error_t ignored_error;

	try {
		parse(nullptr, text, nullptr, &ignored_error);
		return false;
	} catch (const assertion_failed &) {
		return true;
	}
}

/* Returns the length of the first count lines of text, in bytes. */
size_t prefix_length(std::string_view text, size_t count)
{
	size_t offset = 0;

	while (count-- && offset < text.size()) {
		size_t end = text.find('\n', offset);

		offset = end == std::string_view::npos ? text.size() : end + 1;
	}
	return offset;
}

/*
 * Finds the line of a failed assertion, which has no position. The parser stops
 * at the first fault, so the first n lines alone fail the assertion if and only
 * if they include the faulty line; a binary search finds the smallest n.
 */
int fill_assertion_error(std::string_view text, toml_error_t *error)
{
	size_t high = (size_t)std::count(text.begin(), text.end(), '\n') + 1;
	size_t low = 1;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (fails_assertion(
			    text.substr(0, prefix_length(text, middle))))
			high = middle;
		else
			low = middle + 1;
	}
	error->line = (int32_t)low;
	error->column = 1;
	snprintf(error->reason, sizeof(error->reason),
		 "malformed key or table header");
	return CONFIG_EFAULTS;
}

} /* namespace */

extern "C" int toml_parse(TALLOC_CTX *ctx, cas_str_t text, toml_node_t **root,
			  toml_error_t *error)
{
	std::string_view view(text.ptr, text.len);
	int rc = toml_check_text(text, error);

	if (rc)
		return rc;
	try {
		return parse(ctx, view, root, error);
	} catch (const assertion_failed &) {
	} catch (...) {
		return CONFIG_ENOMEM;
	}
	try {
		return fill_assertion_error(view, error);
	} catch (...) {
		return CONFIG_ENOMEM;
	}
}
