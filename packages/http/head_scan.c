/* HTTP server: finds the end of a request without interpreting it. */
#include "head_scan_internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CONTENT_LENGTH "Content-Length:"

/* True when a line of len bytes starts with name, ignoring case. */
static bool has_prefix(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	return len > name_len && !strncasecmp(line, name, name_len);
}

size_t head_scan(cas_str_t input, uint64_t *body_len, bool *end_known)
{
	const char *line = input.ptr;
	const char *end = input.ptr + input.len;

	*body_len = 0;
	*end_known = true;
	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));
		size_t len = newline ? (size_t)(newline - line) : 0;

		if (!newline)
			return 0;
		if (len == 1 && *line == '\r' && line != input.ptr)
			return (size_t)(newline + 1 - input.ptr);
		if (len <= 1 || line[len - 1] != '\r' || *line == ' ' ||
		    *line == '\t' ||
		    has_prefix(line, len, "Transfer-Encoding") ||
		    has_prefix(line, len, "Expect") ||
		    has_prefix(line, len, "Upgrade"))
			*end_known = false;
		if (has_prefix(line, len, CONTENT_LENGTH)) {
			const char *value = line + sizeof(CONTENT_LENGTH) - 1;
			char *number_end = NULL;

			*body_len = strtoull(value, &number_end, 10);
			if (*number_end != '\r' ||
			    memchr(value, '-', (size_t)(newline - value)))
				*end_known = false;
		}
		line = newline + 1;
	}
	return 0;
}
