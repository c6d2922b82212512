/*
 * Compressed copies of tables and host lists for the way between daemons. A
 * host list repeats itself, and a leader sends it to every member of its
 * group.
 */
#ifndef CASSIA_COMPRESSED_DOCUMENT_H
#define CASSIA_COMPRESSED_DOCUMENT_H

#include "daemon.h"

/* Returns the compressed text of the held document (borrowed, valid until its
 * revision changes). ptr is NULL when none is held or memory is short. */
cas_str_t pack_held(cassiad_t *daemon, config_document_t document);

/* Returns the text of a compressed document (owned by ctx); ptr is NULL when
 * it is malformed, larger than CONFIG_DOCUMENT_MAX, or memory is short. */
cas_str_t pack_open(TALLOC_CTX *ctx, cas_str_t packed);

#endif
