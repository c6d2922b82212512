/*
 * Compressed copies of the table and the host list, which other daemons fetch.
 * Host lists are repetitive and compress well, and a leader sends its list to
 * every member of its group, so the copy is kept.
 */
#ifndef CASSIA_COMPRESSED_DOCUMENT_H
#define CASSIA_COMPRESSED_DOCUMENT_H

#include "daemon.h"

/* Returns the compressed text of the document that the store holds (borrowed,
 * valid until its revision changes). ptr is NULL when the store has none or
 * memory runs out. */
cas_str_t compressed_document_get(cassiad_t *daemon,
				  config_document_t document);

/* Returns the text of a compressed document (owned by ctx); ptr is NULL when
 * it is malformed, larger than CONFIG_DOCUMENT_MAX, or memory runs out. */
cas_str_t compressed_document_expand(TALLOC_CTX *ctx, cas_str_t compressed);

#endif
