/* Documents without faults, which the tests vary. */
#ifndef CASSIA_SAMPLE_INTERNAL_H
#define CASSIA_SAMPLE_INTERNAL_H

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cassia/fault.h"

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

#define SAMPLE_HOSTS "revision = 3\n" SAMPLE_HOST_ROWS "[end]\n"

/* Returns text with the first former replaced by present. */
static inline char *sample_replace(TALLOC_CTX *ctx, const char *text,
				   const char *former, const char *present)
{
	const char *at = strstr(text, former);

	assert_non_null(at);
	return talloc_asprintf(ctx, "%.*s%s%s", (int)(at - text), text, present,
			       at + strlen(former));
}

static inline void sample_print(const config_faults_t *faults)
{
	for (size_t i = 0; i < faults->count; i++)
		print_message("%s\n",
			      config_fault_print(NULL, "t", &faults->items[i]));
}

/* Fails unless a fault's printed form contains wanted. */
static inline void sample_expect(const config_faults_t *faults,
				 const char *wanted)
{
	bool found = false;

	for (size_t i = 0; i < faults->count; i++) {
		char *text = config_fault_print(NULL, "t", &faults->items[i]);

		found |= strstr(text, wanted) != NULL;
		talloc_free(text);
	}
	if (found)
		return;
	sample_print(faults);
	fail_msg("no fault contains: %s", wanted);
}

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
