/* HTTP client: the lines of the head of a response (RFC 9112). A head with a
 * line that is not valid is no response. */
#ifndef CASSIA_REPLY_HEAD_INTERNAL_H
#define CASSIA_REPLY_HEAD_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/http_headers.h"

/* Reads a status line without its end. Returns false if it is not valid: it must
 * have a version 1.x, one space and a status from 100 to 599, and a space if
 * anything follows. 101 is not valid, as no request asks for another
 * protocol. */
bool reply_head_read_status(cas_str_t line, int *status);

/* Reads a field line without its end. Returns false if it is not valid: the name
 * must be a token, and lines must not be folded. */
bool reply_head_read_field(cas_str_t line, cas_str_t *name, cas_str_t *value);

/* Reads the length of the body from the fields of a response, -1: not stated.
 * Returns false if a Content-Length is no number or if there are different
 * ones. */
bool reply_head_read_length(const http_headers_t *headers, int64_t *length);

#endif
