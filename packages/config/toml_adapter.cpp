/*
 * The one C++ file: parses TOML with libtomlplusplus and copies the result
 * into plain C nodes. The header-only form is used because the packaged
 * library is built with parse errors as exceptions.
 */

/*
 * The library asserts on some malformed texts, such as "[=", instead of
 * reporting them. With NDEBUG it would take the condition for granted, so
 * asserts stay on in every build type and are turned into a fault.
 */
#undef NDEBUG
namespace
{
struct assert_failed {
};

[[noreturn]] void fail_assert()
{
	throw assert_failed();
}
} /* namespace */
#define TOML_ASSERT(condition)                                                 \
	((condition) ? static_cast<void>(0) : fail_assert())

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

int fill_error(const toml::parse_error &from, toml_error_t *to)
{
	std::string_view reason = from.description();

	to->line = (int32_t)from.source().begin.line;
	to->column = (int32_t)from.source().begin.column;
	snprintf(to->reason, sizeof(to->reason), "%.*s", (int)reason.size(),
		 reason.data());
	return CONFIG_EFAULTS;
}

/* Parses text and copies the tree unless root is NULL. Throws. */
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

bool asserts(std::string_view text)
{
	toml_error_t error;

	try {
		parse(nullptr, text, nullptr, &error);
		return false;
	} catch (const assert_failed &) {
		return true;
	}
}

/* Returns the length of the first count lines. */
size_t lines_length(std::string_view text, size_t count)
{
	size_t at = 0;

	while (count-- && at < text.size()) {
		size_t end = text.find('\n', at);

		at = end == std::string_view::npos ? text.size() : end + 1;
	}
	return at;
}

/*
 * A failed assert has no position. The parser stops at the first fault, so the
 * first lines alone trigger it exactly when they reach the line at fault.
 */
int fill_assert_error(std::string_view text, toml_error_t *error)
{
	size_t high = (size_t)std::count(text.begin(), text.end(), '\n') + 1;
	size_t low = 1;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (asserts(text.substr(0, lines_length(text, middle))))
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
	} catch (const assert_failed &) {
	} catch (...) {
		return CONFIG_ENOMEM;
	}
	try {
		return fill_assert_error(view, error);
	} catch (...) {
		return CONFIG_ENOMEM;
	}
}
