/* Copies and comparisons of strings with a length. */
#include "cassia/str.h"

cas_str_t cas_str_dup(TALLOC_CTX *ctx, cas_str_t s)
{
	char *copy = talloc_strndup(ctx, s.len ? s.ptr : "", s.len);

	return (cas_str_t){ copy, copy ? s.len : 0 };
}

bool cas_str_equal(cas_str_t a, cas_str_t b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.ptr, b.ptr, a.len));
}

bool cas_str_starts_with(cas_str_t s, cas_str_t prefix)
{
	if (s.len < prefix.len)
		return false;
	return cas_str_equal((cas_str_t){ s.ptr, prefix.len }, prefix);
}

int cas_str_compare(cas_str_t a, cas_str_t b)
{
	size_t shorter = a.len < b.len ? a.len : b.len;
	int order = shorter ? memcmp(a.ptr, b.ptr, shorter) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}
