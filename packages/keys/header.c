/* HTTP headers that contain API keys. */
#include <strings.h>

#include "cassia/keys.h"

static bool starts_with_ignoring_case(cas_str_t text, cas_str_t prefix)
{
	return text.len >= prefix.len &&
	       !strncasecmp(text.ptr, prefix.ptr, prefix.len);
}

/* Searches the whole name, so that variants that some servers accept are found
 * as well, such as X_Authorization or a name with a trailing space. */
bool keys_header_is_secret(cas_str_t name)
{
	const cas_str_t word = CAS_STR("authorization");

	for (size_t i = 0; i + word.len <= name.len; i++) {
		cas_str_t rest = { name.ptr + i, name.len - i };

		if (starts_with_ignoring_case(rest, word))
			return true;
	}
	return false;
}

/* Removes spaces and tabs at both ends. */
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

	if (!starts_with_ignoring_case(text, scheme) ||
	    text.len == scheme.len || text.ptr[scheme.len] != ' ')
		return KEYS_EMISSING;
	text.ptr += scheme.len;
	text.len -= scheme.len;
	text = trim(text);
	if (!text.len)
		return KEYS_EMISSING;
	*token = text;
	return 0;
}
