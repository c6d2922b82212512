/*
 * Strings with a length. A cas_str_t borrows its bytes, which may have any
 * value and need no terminator.
 */
#ifndef CASSIA_STR_H
#define CASSIA_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>
#include <talloc.h>

typedef struct cas_str {
	const char *ptr;
	size_t len; /* bytes */
} cas_str_t;

/* A cas_str_t with the bytes of a string literal. */
#define CAS_STR(literal) ((cas_str_t){ (literal), sizeof(literal) - 1 })

/* Arguments for a "%.*s" conversion. */
#define CAS_STR_ARG(s) (int)(s).len, (s).ptr

/* Returns a string that borrows the C string z; empty when z is NULL. */
static inline cas_str_t cas_str_from_cstr(const char *z)
{
	return (cas_str_t){ z ? z : "", z ? strlen(z) : 0 };
}

/* Returns a copy owned by ctx, with a terminator that len does not count. ptr
 * is NULL when out of memory. */
cas_str_t cas_str_dup(TALLOC_CTX *ctx, cas_str_t s);

bool cas_str_equal(cas_str_t a, cas_str_t b);
bool cas_str_starts_with(cas_str_t s, cas_str_t prefix);

/* Compares byte by byte as memcmp does; a prefix is less than the longer
 * string. Returns a negative number, 0 or a positive number. */
int cas_str_compare(cas_str_t a, cas_str_t b);

#endif
