/* Headers that carry keys. */
#include <strings.h>

#include "cassia/keys.h"

static bool equal_ignoring_case(cas_str_t text, cas_str_t word)
{
	return text.len >= word.len &&
	       !strncasecmp(text.ptr, word.ptr, word.len);
}

/* The whole name is searched, so that spellings such as X_Authorization or
 * one with a trailing blank, which some servers accept, are found as well. */
bool keys_header_is_secret(cas_str_t name)
{
	const cas_str_t word = CAS_STR("authorization");

	for (size_t i = 0; i + word.len <= name.len; i++) {
		cas_str_t rest = { name.ptr + i, name.len - i };

		if (equal_ignoring_case(rest, word))
			return true;
	}
	return false;
}

static cas_str_t trim(cas_str_t text)
{
	while (text.len && (*text.ptr == ' ' || *text.ptr == '\t')) {
		text.ptr++;
		text.len--;
	}
	while (text.len && (text.ptr[text.len - 1] == ' ' ||
			    text.ptr[text.len - 1] == '\t'))
		text.len--;
	return text;
}

int keys_parse_header(cas_str_t value, cas_str_t scheme, cas_str_t *token)
{
	cas_str_t text = trim(value);

	if (!equal_ignoring_case(text, scheme) || text.len == scheme.len ||
	    text.ptr[scheme.len] != ' ')
		return KEYS_EMISSING;
	text.ptr += scheme.len;
	text.len -= scheme.len;
	text = trim(text);
	if (!text.len)
		return KEYS_EMISSING;
	*token = text;
	return 0;
}
