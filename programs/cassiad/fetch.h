/* Transfer of tables and host lists between daemons, over the peer port. */
#ifndef CASSIA_FETCH_H
#define CASSIA_FETCH_H

#include "daemon.h"

/* Replies to a request for a document. Returns false, without a reply, when the
 * target is another one or the request is not signed. */
bool fetch_answer(cassiad_t *daemon, http_exchange_t *exchange);

/* Fetches a document from a host and offers it to the store. Does nothing while
 * the same document is being fetched or if the host is not listed. */
void fetch_start(cassiad_t *daemon, cas_id_t host, config_document_t document);

/* Fetches documents that this daemon does not hold yet from a random seed of
 * the settings, at most every 200 ms. Called while a document is missing. */
void fetch_from_seed(cassiad_t *daemon);

#endif
