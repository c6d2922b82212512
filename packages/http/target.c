/* Validation and parsing of request targets. */
#include "cassia/http_target.h"

#include <strings.h>

#include "cassia/http_error.h"

/* Returns s without its first offset bytes. */
static cas_str_t skip_bytes(cas_str_t s, size_t offset)
{
	return (cas_str_t){ s.ptr + offset, s.len - offset };
}

cas_str_t http_target_path(cas_str_t target)
{
	const char *question_mark = memchr(target.ptr, '?', target.len);

	return question_mark
		       ? (cas_str_t){ target.ptr,
				      (size_t)(question_mark - target.ptr) }
		       : target;
}

cas_str_t http_target_query(cas_str_t target)
{
	cas_str_t path = http_target_path(target);

	return path.len < target.len ? skip_bytes(target, path.len + 1)
				     : CAS_STR("");
}

cas_str_t http_query_value(cas_str_t query, cas_str_t name)
{
	while (query.len) {
		const char *ampersand = memchr(query.ptr, '&', query.len);
		size_t len =
			ampersand ? (size_t)(ampersand - query.ptr) : query.len;

		if (len > name.len && query.ptr[name.len] == '=' &&
		    memcmp(query.ptr, name.ptr, name.len) == 0)
			return (cas_str_t){ query.ptr + name.len + 1,
					    len - name.len - 1 };
		query = skip_bytes(query, ampersand ? len + 1 : len);
	}
	return (cas_str_t){ NULL, 0 };
}

/* Returns the length of a dot at the start of s, plain or percent-encoded, or 0
 * when there is none. */
static size_t dot_length(cas_str_t s)
{
	if (s.len >= 1 && s.ptr[0] == '.')
		return 1;
	if (s.len >= 3 && strncasecmp(s.ptr, "%2e", 3) == 0)
		return 3;
	return 0;
}

/* True when s starts with a dot segment, "." or "..". It ends at a slash, plain
 * or percent-encoded, at a semicolon or with s. */
static bool is_dot_segment(cas_str_t s)
{
	size_t first = dot_length(s);
	size_t second;

	if (!first)
		return false;
	s = skip_bytes(s, first);
	second = dot_length(s);
	s = skip_bytes(s, second);
	return s.len == 0 || s.ptr[0] == '/' || s.ptr[0] == ';' ||
	       (s.len >= 3 && strncasecmp(s.ptr, "%2f", 3) == 0);
}

static bool has_dot_segment(cas_str_t path)
{
	for (size_t i = 0; i < path.len; i++) {
		cas_str_t rest = skip_bytes(path, i);

		if (path.ptr[i] == '/' && is_dot_segment(skip_bytes(rest, 1)))
			return true;
		if (rest.len >= 3 && strncasecmp(rest.ptr, "%2f", 3) == 0 &&
		    is_dot_segment(skip_bytes(rest, 3)))
			return true;
	}
	return false;
}

static cas_str_t strip_authority(cas_str_t target)
{
	const char *slash;
	cas_str_t rest;

	if (target.len < 7 || strncasecmp(target.ptr, "http://", 7) != 0)
		return target;
	rest = skip_bytes(target, 7);
	slash = memchr(rest.ptr, '/', rest.len);
	if (!slash)
		return CAS_STR("/");
	return skip_bytes(rest, (size_t)(slash - rest.ptr));
}

int http_target_check(cas_str_t target, cas_str_t *origin)
{
	target = strip_authority(target);
	if (!target.len || target.ptr[0] != '/')
		return HTTP_EINVAL;
	for (size_t i = 0; i < target.len; i++) {
		unsigned char c = (unsigned char)target.ptr[i];

		if (c <= ' ' || c >= 127 || c == '#')
			return HTTP_EINVAL;
	}
	if (has_dot_segment(http_target_path(target)))
		return HTTP_EINVAL;
	*origin = target;
	return 0;
}
