/*
 * The configuration service as the config part sees it: tables and host lists
 * as texts by revision, some of them with faults, and a service that is
 * healthy, down, stale, or answers older revisions.
 */
#ifndef SOAK_DOCUMENTS_H
#define SOAK_DOCUMENTS_H

#include "cassia/config_store.h"
#include "fleet.h"

typedef struct documents documents_t;

documents_t *documents_create(TALLOC_CTX *ctx, fleet_t *fleet);

/* Publishes what is due and changes the state of the service. */
void documents_step(documents_t *documents);

/* Returns the revision that the service answers now, 0 when it is down. */
int64_t documents_answer(const documents_t *documents,
			 config_document_t document);

/* Returns the text of a published revision (borrowed). */
cas_str_t documents_text(const documents_t *documents,
			 config_document_t document, int64_t revision);

/* Returns the newest revision, 0 for none. */
int64_t documents_newest(const documents_t *documents,
			 config_document_t document);

/* True when the text has no faults. */
bool documents_valid(const documents_t *documents, config_document_t document,
		     int64_t revision);

bool documents_healthy(const documents_t *documents);

/* How often the service became unhealthy. */
uint64_t documents_faults(const documents_t *documents);

/* True when the table has the key that only this revision has. */
bool documents_has_key(const table_t *table, int64_t revision);

#endif
