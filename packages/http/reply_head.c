/* HTTP client: reads the lines of the head of a response. */
#include "reply_head_internal.h"

#include <string.h>

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101
/* More digits than a length can have. */
#define LENGTH_DIGITS_MAX 18

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_token_char(char c)
{
	return is_digit(c) || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || (c && strchr("!#$%&'*+-.^_`|~", c));
}

bool reply_head_read_status(cas_str_t line, int *status)
{
	static const char version[] = "HTTP/1.";
	const size_t prefix = sizeof(version) - 1;
	const char *digits;
	int number = 0;

	/* The version has one more digit, which a space follows. */
	if (line.len < prefix + 2 + STATUS_DIGITS ||
	    memcmp(line.ptr, version, prefix) != 0 ||
	    !is_digit(line.ptr[prefix]) || line.ptr[prefix + 1] != ' ')
		return false;
	digits = line.ptr + prefix + 2;
	for (int i = 0; i < STATUS_DIGITS; i++) {
		if (!is_digit(digits[i]))
			return false;
		number = number * 10 + (digits[i] - '0');
	}
	if (line.len > prefix + 2 + STATUS_DIGITS &&
	    digits[STATUS_DIGITS] != ' ')
		return false;
	*status = number;
	return number >= STATUS_MIN && number <= STATUS_MAX &&
	       number != STATUS_SWITCHING_PROTOCOLS;
}

static cas_str_t trim(cas_str_t s)
{
	while (s.len && (s.ptr[0] == ' ' || s.ptr[0] == '\t')) {
		s.ptr++;
		s.len--;
	}
	while (s.len && strchr(" \t\r\n", s.ptr[s.len - 1]))
		s.len--;
	return s;
}

bool reply_head_read_field(cas_str_t line, cas_str_t *name, cas_str_t *value)
{
	const char *colon = memchr(line.ptr, ':', line.len);

	if (!colon || colon == line.ptr)
		return false;
	*name = (cas_str_t){ line.ptr, (size_t)(colon - line.ptr) };
	for (size_t i = 0; i < name->len; i++)
		if (!is_token_char(name->ptr[i]))
			return false;
	*value = trim((cas_str_t){ colon + 1, line.len - name->len - 1 });
	return true;
}

static bool read_length(cas_str_t text, int64_t *length)
{
	*length = 0;
	if (!text.len || text.len > LENGTH_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!is_digit(text.ptr[i]))
			return false;
		*length = *length * 10 + (text.ptr[i] - '0');
	}
	return true;
}

bool reply_head_read_length(const http_headers_t *headers, int64_t *length)
{
	*length = -1;
	for (size_t i = 0; i < headers->count; i++) {
		const http_header_t *header = &headers->items[i];
		int64_t number;

		if (!http_name_equal(header->name, CAS_STR("Content-Length")))
			continue;
		if (!read_length(header->value, &number) ||
		    (*length >= 0 && *length != number))
			return false;
		*length = number;
	}
	return true;
}
