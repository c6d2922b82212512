/* Tables and host lists between daemons, over the peer port. */
#ifndef CASSIA_FETCH_H
#define CASSIA_FETCH_H

#include "daemon.h"

/* Answers a request for a document. Returns false when the exchange is no such
 * request. */
bool fetch_answer(cassiad_t *daemon, http_exchange_t *exchange);

/* Fetches a document from a host and offers it to the store. Does nothing
 * while the same document is being fetched. */
void fetch_start(cassiad_t *daemon, cas_id_t host, config_document_t document);

/* Asks a seed of the settings for what this daemon does not hold yet; called on
 * each tick. */
void fetch_from_seed(cassiad_t *daemon);

#endif
