/* The request rate and the leaving that the stand-in upstream states. */
#ifndef CASSIA_STANDIN_UPSTREAM_STATE_H
#define CASSIA_STANDIN_UPSTREAM_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

/* Command line options --rate and --leaving. */
extern const GOptionEntry upstream_state_options[];

/* Handles GET /_rate/TEXT, which changes the rate (-: none), and GET /_leaving.
 * Returns whether the request, as received, is one of them. */
bool upstream_state_control(const char *request);

/* Returns the header fields of a response, owned by ctx. */
char *upstream_state_fields(TALLOC_CTX *ctx);

#endif
