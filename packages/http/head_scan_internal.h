/* HTTP server: finds the end of a request without interpreting it. */
#ifndef CASSIA_HEAD_SCAN_INTERNAL_H
#define CASSIA_HEAD_SCAN_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "cassia/str.h"

/* Returns the length of the head (request line and header) at the start of the
 * input, or 0 when it is incomplete. Sets *body_len to the length of its body,
 * and *end_known to false when it takes libmicrohttpd to determine where the
 * request ends. */
size_t head_scan(cas_str_t input, uint64_t *body_len, bool *end_known);

#endif
