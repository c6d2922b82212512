/* Lists of header fields and selection of those that are forwarded. */
#include "cassia/http_headers.h"

#include <strings.h>

#include "cassia/http_error.h"

#define INITIAL_CAPACITY 16

static const cas_str_t hop_by_hop_fields[] = {
	{ "Connection", 10 },
	{ "Keep-Alive", 10 },
	{ "Proxy-Connection", 16 },
	{ "Proxy-Authenticate", 18 },
	{ "Proxy-Authorization", 19 },
	{ "TE", 2 },
	{ "Trailer", 7 },
	{ "Transfer-Encoding", 17 },
	{ "Upgrade", 7 },
	{ "Expect", 6 },
};

http_headers_t *http_headers_create(TALLOC_CTX *ctx)
{
	http_headers_t *headers = talloc_zero(ctx, http_headers_t);

	if (!headers)
		return NULL;
	headers->items = talloc_array(headers, http_header_t, INITIAL_CAPACITY);
	if (!headers->items) {
		talloc_free(headers);
		return NULL;
	}
	headers->capacity = INITIAL_CAPACITY;
	return headers;
}

int http_headers_add(http_headers_t *headers, cas_str_t name, cas_str_t value)
{
	if (headers->count == headers->capacity) {
		size_t capacity = headers->capacity * 2;
		http_header_t *items = talloc_realloc(headers, headers->items,
						      http_header_t, capacity);

		if (!items)
			return HTTP_ENOMEM;
		headers->items = items;
		headers->capacity = capacity;
	}
	headers->items[headers->count++] = (http_header_t){ name, value };
	return 0;
}

bool http_name_equal(cas_str_t a, cas_str_t b)
{
	return a.len == b.len && strncasecmp(a.ptr, b.ptr, a.len) == 0;
}

const http_header_t *http_headers_find(const http_headers_t *headers,
				       cas_str_t name)
{
	for (size_t i = 0; i < headers->count; i++) {
		if (http_name_equal(headers->items[i].name, name))
			return &headers->items[i];
	}
	return NULL;
}

cas_str_t http_headers_value(const http_headers_t *headers, cas_str_t name)
{
	const http_header_t *header = http_headers_find(headers, name);

	return header ? header->value : CAS_STR("");
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

bool http_list_has(cas_str_t list, cas_str_t token)
{
	size_t i = 0;

	while (i < list.len) {
		size_t begin = i;
		size_t end;

		while (i < list.len && list.ptr[i] != ',')
			i++;
		end = i++;
		while (begin < end && is_blank(list.ptr[begin]))
			begin++;
		while (end > begin && is_blank(list.ptr[end - 1]))
			end--;
		if (http_name_equal(
			    (cas_str_t){ list.ptr + begin, end - begin },
			    token))
			return true;
	}
	return false;
}

bool http_header_is_hop_by_hop(const http_headers_t *headers, cas_str_t name)
{
	for (size_t i = 0;
	     i < sizeof(hop_by_hop_fields) / sizeof(*hop_by_hop_fields); i++) {
		if (http_name_equal(hop_by_hop_fields[i], name))
			return true;
	}
	for (size_t i = 0; i < headers->count; i++) {
		const http_header_t *header = &headers->items[i];

		if (http_name_equal(header->name, CAS_STR("Connection")) &&
		    http_list_has(header->value, name))
			return true;
	}
	return false;
}

/* True for the header fields that this project defines. */
static bool has_cassia_prefix(cas_str_t name)
{
	return name.len >= 7 && strncasecmp(name.ptr, "Cassia-", 7) == 0;
}

int http_headers_forward(http_headers_t *to, const http_headers_t *from)
{
	for (size_t i = 0; i < from->count; i++) {
		const http_header_t *header = &from->items[i];
		int error;

		if (has_cassia_prefix(header->name) ||
		    http_name_equal(header->name, CAS_STR("Content-Length")) ||
		    http_header_is_hop_by_hop(from, header->name))
			continue;
		error = http_headers_add(to, header->name, header->value);
		if (error)
			return error;
	}
	return 0;
}

int http_headers_add_copy(http_headers_t *headers, TALLOC_CTX *ctx,
			  const char *name, cas_str_t value)
{
	cas_str_t copy = cas_str_dup(ctx, value);

	if (!copy.ptr)
		return HTTP_ENOMEM;
	return http_headers_add(headers, cas_str_from_cstr(name), copy);
}

int http_headers_add_int(http_headers_t *headers, TALLOC_CTX *ctx,
			 const char *name, int64_t number)
{
	char *text = talloc_asprintf(ctx, "%lld", (long long)number);

	if (!text)
		return HTTP_ENOMEM;
	return http_headers_add(headers, cas_str_from_cstr(name),
				cas_str_from_cstr(text));
}
