/* Valid documents, which the tests modify, and functions that several tests
 * use. Include it after cassia/test.h. */
#ifndef CASSIA_SAMPLE_INTERNAL_H
#define CASSIA_SAMPLE_INTERNAL_H

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cassia/fault.h"

/* Key hashes; B sorts before A. */
#define SAMPLE_HASH_A                                                          \
	"02020202020202020202020202020202"                                     \
	"02020202020202020202020202020202"
#define SAMPLE_HASH_B                                                          \
	"01010101010101010101010101010101"                                     \
	"01010101010101010101010101010101"

#define SAMPLE_HEAD                                                            \
	"revision = 7\n"                                                       \
	"salt = \"000102030405060708090a0b0c0d0e0f\"\n"

#define SAMPLE_ROWS                                                            \
	"[[data_centre]]\n"                                                    \
	"name = \"m1\"\n"                                                      \
	"region = \"marmara\"\n"                                               \
	"[[data_centre]]\n"                                                    \
	"name = \"m2\"\n"                                                      \
	"region = \"marmara\"\n"                                               \
	"[[service]]\n"                                                        \
	"name = \"booking\"\n"                                                 \
	"connections = 40\n"                                                   \
	"[[route]]\n"                                                          \
	"name = \"book\"\n"                                                    \
	"path = \"/book\"\n"                                                   \
	"method = \"POST\"\n"                                                  \
	"service = \"booking\"\n"                                              \
	"importance = 9\n"                                                     \
	"customers = [\"acme\"]\n"                                             \
	"[[route]]\n"                                                          \
	"name = \"read\"\n"                                                    \
	"path = \"/book\"\n"                                                   \
	"service = \"booking\"\n"                                              \
	"importance = 4\n"                                                     \
	"idempotent = true\n"                                                  \
	"[[customer]]\n"                                                       \
	"name = \"acme\"\n"                                                    \
	"weight = 3\n"                                                         \
	"rate = 2.5\n"                                                         \
	"burst = 10\n"                                                         \
	"[[customer]]\n"                                                       \
	"name = \"small\"\n"                                                   \
	"rate = 1\n"                                                           \
	"burst = 1\n"                                                          \
	"importance = 3\n"                                                     \
	"[[key]]\n"                                                            \
	"customer = \"acme\"\n"                                                \
	"hash = \"" SAMPLE_HASH_A "\"\n"                                       \
	"label = \"first\"\n"                                                  \
	"[[key]]\n"                                                            \
	"customer = \"small\"\n"                                               \
	"hash = \"" SAMPLE_HASH_B "\"\n"

#define SAMPLE_END "[end]\nrows = 9\n"

/* Table without hosts. The positions of its lines occur in expected faults. */
#define SAMPLE_TABLE SAMPLE_HEAD SAMPLE_ROWS SAMPLE_END

#define SAMPLE_HOST_ROWS                                                       \
	"[[host]]\n"                                                           \
	"name = \"a1\"\n"                                                      \
	"service = \"booking\"\n"                                              \
	"data_centre = \"m1\"\n"                                               \
	"address = \"127.0.0.1\"\n"                                            \
	"peer_port = 7001\n"                                                   \
	"control_port = 7002\n"                                                \
	"[[host]]\n"                                                           \
	"name = \"a2\"\n"                                                      \
	"service = \"booking\"\n"                                              \
	"data_centre = \"m2\"\n"                                               \
	"address = \"127.0.0.2\"\n"                                            \
	"peer_port = 7001\n"                                                   \
	"control_port = 7002\n"                                                \
	"leaving = true\n"

/* Separate host list. */
#define SAMPLE_HOSTS "revision = 3\n" SAMPLE_HOST_ROWS "[end]\n"

/* Returns text with the first occurrence of original replaced (owned by ctx).
 * Fails if it does not occur. */
static inline char *sample_replace(TALLOC_CTX *ctx, const char *text,
				   const char *original,
				   const char *replacement)
{
	const char *match = strstr(text, original);

	assert_non_null(match);
	return talloc_asprintf(ctx, "%.*s%s%s", (int)(match - text), text,
			       replacement, match + strlen(original));
}

static inline void sample_print_faults(const config_faults_t *faults)
{
	for (size_t i = 0; i < faults->count; i++)
		print_message("%s\n",
			      config_fault_print(NULL, "t", &faults->items[i]));
}

/* Fails unless the text of at least one fault, for a file "t", contains
 * expected. */
static inline void sample_expect_fault(const config_faults_t *faults,
				       const char *expected)
{
	bool found = false;

	for (size_t i = 0; i < faults->count; i++) {
		char *text = config_fault_print(NULL, "t", &faults->items[i]);

		found |= strstr(text, expected) != NULL;
		talloc_free(text);
	}
	if (found)
		return;
	sample_print_faults(faults);
	fail_msg("no fault contains: %s", expected);
}

/* The state of a test is a talloc context, which owns what the test creates. */
static inline int sample_setup(void **state)
{
	*state = talloc_new(NULL);
	return *state ? 0 : -1;
}

static inline int sample_teardown(void **state)
{
	talloc_free(*state);
	return 0;
}

#endif
