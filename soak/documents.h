/*
 * Fake of the platform as the config package sees it: a service that returns
 * tables and host lists as texts. Some tables are invalid, and the service at
 * times is down, returns a fixed old revision, or returns varying revisions.
 */
#ifndef SOAK_DOCUMENTS_H
#define SOAK_DOCUMENTS_H

#include "cassia/config_store.h"
#include "fleet.h"

typedef struct documents documents_t;

/* Returns a new service, owned by ctx, with the first table and host list.
 * fleet is borrowed. Aborts when memory runs out. */
documents_t *documents_create(TALLOC_CTX *ctx, fleet_t *fleet);

/* Publishes the documents that are due and starts or ends a fault of the
 * service. Must be called in each step. */
void documents_step(documents_t *documents);

/* Returns the revision that the service returns now, or 0 while it is down. */
int64_t documents_served_revision(const documents_t *documents,
				  config_document_t document);

/* Returns the text of a published revision (borrowed). */
cas_str_t documents_text(const documents_t *documents,
			 config_document_t document, int64_t revision);

/* Returns the newest revision that was published. */
int64_t documents_newest(const documents_t *documents,
			 config_document_t document);

/* Returns whether the text of a published revision is valid. */
bool documents_valid(const documents_t *documents, config_document_t document,
		     int64_t revision);

/* Returns whether the service is free of faults. */
bool documents_healthy(const documents_t *documents);

/* Returns the number of faults of the service so far. */
uint64_t documents_faults(const documents_t *documents);

/* Returns true when a table contains the key of a revision. Each table has one
 * key, which the next revision withdraws. */
bool documents_has_key(const table_t *table, int64_t revision);

#endif
