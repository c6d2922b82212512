/* Compression of documents with zlib. */
#include "compressed_document.h"

#include <zlib.h>

struct pack {
	int64_t revision;
	unsigned char *bytes;
	uLongf len;
};

static cas_str_t held_text(const cassiad_t *daemon, config_document_t document)
{
	const table_t *table = config_store_table(daemon->store);
	const roster_t *roster = config_store_roster(daemon->store);

	if (document == CONFIG_TABLE)
		return table ? table->source : CAS_STR("");
	return roster ? roster->source : CAS_STR("");
}

static int refresh(pack_t *pack, cas_str_t text)
{
	uLongf len = compressBound(text.len);

	TALLOC_FREE(pack->bytes);
	pack->bytes = talloc_array(pack, unsigned char, len);
	if (!pack->bytes || compress(pack->bytes, &len, (const Bytef *)text.ptr,
				     text.len) != Z_OK) {
		TALLOC_FREE(pack->bytes);
		return BASE_ENOMEM;
	}
	pack->len = len;
	return 0;
}

cas_str_t pack_held(cassiad_t *daemon, config_document_t document)
{
	int64_t revision = config_store_revision(daemon->store, document);
	cas_str_t text = held_text(daemon, document);
	pack_t **pack = &daemon->packs[document];

	if (!text.len)
		return (cas_str_t){ NULL, 0 };
	if (!*pack)
		*pack = talloc_zero(daemon, pack_t);
	if (!*pack)
		return (cas_str_t){ NULL, 0 };
	if (!(*pack)->bytes || (*pack)->revision != revision) {
		if (refresh(*pack, text))
			return (cas_str_t){ NULL, 0 };
		(*pack)->revision = revision;
	}
	return (cas_str_t){ (const char *)(*pack)->bytes, (*pack)->len };
}

cas_str_t pack_open(TALLOC_CTX *ctx, cas_str_t packed)
{
	uLongf len = CONFIG_DOCUMENT_MAX;
	char *text = talloc_array(ctx, char, len);

	if (text && uncompress((Bytef *)text, &len, (const Bytef *)packed.ptr,
			       packed.len) != Z_OK)
		TALLOC_FREE(text);
	return (cas_str_t){ text, text ? len : 0 };
}
