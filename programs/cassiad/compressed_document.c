/* Compression of the table and the host list with zlib. */
#include "compressed_document.h"

#include <zlib.h>

struct compressed_document {
	int64_t revision; /* of the document that was compressed */
	unsigned char *bytes;
	uLongf len;
};

static cas_str_t document_text(const cassiad_t *daemon,
			       config_document_t document)
{
	const table_t *table = config_store_table(daemon->store);
	const roster_t *roster = config_store_roster(daemon->store);

	if (document == CONFIG_TABLE)
		return table ? table->source : CAS_STR("");
	return roster ? roster->source : CAS_STR("");
}

static int compress_text(compressed_document_t *compressed, cas_str_t text)
{
	uLongf len = compressBound(text.len);

	TALLOC_FREE(compressed->bytes);
	compressed->bytes = talloc_array(compressed, unsigned char, len);
	if (!compressed->bytes ||
	    compress(compressed->bytes, &len, (const Bytef *)text.ptr,
		     text.len) != Z_OK) {
		TALLOC_FREE(compressed->bytes);
		return BASE_ENOMEM;
	}
	compressed->len = len;
	return 0;
}

cas_str_t compressed_document_get(cassiad_t *daemon, config_document_t document)
{
	int64_t revision = config_store_revision(daemon->store, document);
	cas_str_t text = document_text(daemon, document);
	compressed_document_t **compressed =
		&daemon->compressed_documents[document];

	if (!text.len)
		return (cas_str_t){ NULL, 0 };
	if (!*compressed)
		*compressed = talloc_zero(daemon, compressed_document_t);
	if (!*compressed)
		return (cas_str_t){ NULL, 0 };
	if (!(*compressed)->bytes || (*compressed)->revision != revision) {
		if (compress_text(*compressed, text))
			return (cas_str_t){ NULL, 0 };
		(*compressed)->revision = revision;
	}
	return (cas_str_t){ (const char *)(*compressed)->bytes,
			    (*compressed)->len };
}

cas_str_t compressed_document_expand(TALLOC_CTX *ctx, cas_str_t compressed)
{
	uLongf len = CONFIG_DOCUMENT_MAX;
	char *text = talloc_array(ctx, char, len);

	if (text &&
	    uncompress((Bytef *)text, &len, (const Bytef *)compressed.ptr,
		       compressed.len) != Z_OK)
		TALLOC_FREE(text);
	return (cas_str_t){ text, text ? len : 0 };
}
