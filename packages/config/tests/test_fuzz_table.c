/* Runs the fuzzing entry over seeded mutations of a good document. */
#include "cassia/test.h"

#include "cassia/rng.h"
#include "sample_internal.h"

#define ROUNDS 4000
#define TEXT_MAX 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct mutant {
	char text[2 * TEXT_MAX];
	size_t len;
} mutant_t;

/* Words that turn a value into one at the edge of what is allowed. */
static const char *const words[] = {
	"[end]\n", "[[key]]\n", "[[host]]\n", "-1",	 "9223372036854775807",
	"nan",	   "1e308",	"0",	      "\"\"",	 "{a={a=1}}",
	"[[[[",	   "\"\"\"",	"true",	      "\\u0000", "1979-05-27",
	"share=1", "[=",	"rate=0.1\n"
};

static size_t pick(cas_rng_t *rng, size_t limit)
{
	return cas_rng_below(rng, (uint32_t)limit);
}

static void cut(mutant_t *m, cas_rng_t *rng)
{
	size_t at = pick(rng, m->len);
	size_t len = pick(rng, m->len - at) % 64;

	memmove(m->text + at, m->text + at + len, m->len - at - len);
	m->len -= len;
}

static void insert(mutant_t *m, size_t at, const char *bytes, size_t len)
{
	char copy[64];

	if (len > sizeof(copy) || m->len + len > sizeof(m->text))
		return;
	memcpy(copy, bytes, len);
	memmove(m->text + at + len, m->text + at, m->len - at);
	memcpy(m->text + at, copy, len);
	m->len += len;
}

static void mutate(mutant_t *m, cas_rng_t *rng)
{
	const char *word = words[pick(rng, sizeof(words) / sizeof(words[0]))];
	size_t at = pick(rng, m->len);
	size_t from = pick(rng, m->len);
	size_t len = pick(rng, 64);

	switch (pick(rng, 4)) {
	case 0:
		m->text[at] = (char)pick(rng, 256);
		break;
	case 1:
		cut(m, rng);
		break;
	case 2:
		insert(m, at, word, strlen(word));
		break;
	default:
		if (from + len <= m->len)
			insert(m, at, m->text + from, len);
		break;
	}
}

static void run_mutants(const char *sample, uint32_t seed)
{
	cas_rng_t *rng = cas_rng_create(NULL, seed);

	for (int round = 0; round < ROUNDS; round++) {
		size_t count = 1 + pick(rng, 4);
		mutant_t m = { .len = strlen(sample) };

		memcpy(m.text, sample, m.len);
		for (size_t i = 0; i < count && m.len > 1; i++)
			mutate(&m, rng);
		LLVMFuzzerTestOneInput((const uint8_t *)m.text, m.len);
	}
	talloc_free(rng);
}

/* Guards against crashes and against accepted documents that break what the
 * other packages rely on. */
static void test_mutated_table(void **state)
{
	(void)state;
	run_mutants(SAMPLE_TABLE, 1);
	run_mutants(
		"hosts_revision = 5\n" SAMPLE_HEAD SAMPLE_ROWS SAMPLE_HOST_ROWS
		"[end]\n",
		2);
}

static void test_mutated_hosts(void **state)
{
	(void)state;
	run_mutants(SAMPLE_HOSTS, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_table),
		cmocka_unit_test(test_mutated_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
