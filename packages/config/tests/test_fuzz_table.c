/* Runs the entry point of fuzz/fuzz_table.c on seeded random mutations of valid
 * documents. It aborts when an accepted document breaks an invariant. */
#include "cassia/test.h"

#include "cassia/rng.h"
#include "sample_internal.h"

#define ROUNDS 4000 /* mutated texts for each document */
#define TEXT_MAX_BYTES 4096 /* largest document before mutation, in bytes */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A document that is being mutated; it has room to grow. */
typedef struct mutated_text {
	char text[2 * TEXT_MAX_BYTES];
	size_t len;
} mutated_text_t;

/* Inserted texts: limits of value ranges, and syntax that changes how the rest
 * of the document is parsed. */
static const char *const fragments[] = {
	"[end]\n", "[[key]]\n", "[[host]]\n", "-1",	 "9223372036854775807",
	"nan",	   "1e308",	"0",	      "\"\"",	 "{a={a=1}}",
	"[[[[",	   "\"\"\"",	"true",	      "\\u0000", "1979-05-27",
	"share=1", "[=",	"rate=0.1\n"
};

static size_t random_below(cas_rng_t *rng, size_t limit)
{
	return cas_rng_below(rng, (uint32_t)limit);
}

/* Deletes up to 63 bytes. */
static void delete_range(mutated_text_t *m, cas_rng_t *rng)
{
	size_t offset = random_below(rng, m->len);
	size_t len = random_below(rng, m->len - offset) % 64;

	memmove(m->text + offset, m->text + offset + len,
		m->len - offset - len);
	m->len -= len;
}

/* Inserts up to 64 bytes, which may be part of the text itself. Does nothing if
 * there is no room. */
static void insert_bytes(mutated_text_t *m, size_t offset, const char *bytes,
			 size_t len)
{
	char copy[64];

	if (len > sizeof(copy) || m->len + len > sizeof(m->text))
		return;
	memcpy(copy, bytes, len);
	memmove(m->text + offset + len, m->text + offset, m->len - offset);
	memcpy(m->text + offset, copy, len);
	m->len += len;
}

/* Changes a byte, deletes a range, inserts a fragment, or copies a range of the
 * text to another place. */
static void mutate(mutated_text_t *m, cas_rng_t *rng)
{
	const char *fragment = fragments[random_below(
		rng, sizeof(fragments) / sizeof(fragments[0]))];
	size_t offset = random_below(rng, m->len);
	size_t source = random_below(rng, m->len);
	size_t len = random_below(rng, 64);

	switch (random_below(rng, 4)) {
	case 0:
		m->text[offset] = (char)random_below(rng, 256);
		break;
	case 1:
		delete_range(m, rng);
		break;
	case 2:
		insert_bytes(m, offset, fragment, strlen(fragment));
		break;
	default:
		if (source + len <= m->len)
			insert_bytes(m, offset, m->text + source, len);
		break;
	}
}

static void run_mutations(const char *document, uint32_t seed)
{
	cas_rng_t *rng = cas_rng_create(NULL, seed);

	for (int round = 0; round < ROUNDS; round++) {
		size_t count = 1 + random_below(rng, 4);
		mutated_text_t m = { .len = strlen(document) };

		memcpy(m.text, document, m.len);
		for (size_t i = 0; i < count && m.len > 1; i++)
			mutate(&m, rng);
		LLVMFuzzerTestOneInput((const uint8_t *)m.text, m.len);
	}
	talloc_free(rng);
}

/* Guards against crashes, and against accepted documents that violate an
 * invariant that other packages rely on. */
static void test_mutated_table(void **state)
{
	(void)state;
	run_mutations(SAMPLE_TABLE, 1);
	run_mutations(
		"hosts_revision = 5\n" SAMPLE_HEAD SAMPLE_ROWS SAMPLE_HOST_ROWS
		"[end]\n",
		2);
}

static void test_mutated_hosts(void **state)
{
	(void)state;
	run_mutations(SAMPLE_HOSTS, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_table),
		cmocka_unit_test(test_mutated_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
