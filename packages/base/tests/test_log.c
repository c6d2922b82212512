/* Tests of the log output to a pipe. */
#include "cassia/test.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cassia/log.h"

/* Together these lines are longer than the buffer of a pipe. */
#define LINES 2000
#define VALUE "sixty-four bytes of text that make the line long enough to fill "

typedef struct fixture {
	int saved_stdout_fd; /* duplicate of the original standard output */
	int read_fd; /* of the pipe that replaces it, non-blocking */
	char text[256 * 1024]; /* what was read from the pipe */
	size_t len; /* bytes */
} fixture_t;

static fixture_t fixture;

static int setup(void **state)
{
	int fds[2];

	if (pipe(fds) || cas_log_init(CAS_LOG_INFO))
		return -1;
	fflush(stdout);
	fixture.saved_stdout_fd = dup(STDOUT_FILENO);
	dup2(fds[1], STDOUT_FILENO);
	close(fds[1]);
	fixture.read_fd = fds[0];
	fcntl(fixture.read_fd, F_SETFL, O_NONBLOCK);
	fixture.len = 0;
	*state = &fixture;
	return 0;
}

static int teardown(void **state)
{
	const fixture_t *f = *state;

	dup2(f->saved_stdout_fd, STDOUT_FILENO);
	close(f->saved_stdout_fd);
	close(f->read_fd);
	cas_log_fini();
	return 0;
}

/* Reads all that is in the pipe and appends it to text. */
static void read_all(fixture_t *f)
{
	ssize_t got;

	while ((got = read(f->read_fd, f->text + f->len,
			   sizeof(f->text) - 1 - f->len)) > 0)
		f->len += (size_t)got;
	f->text[f->len] = '\0';
}

/* Returns how often event occurs in text. */
static int count_lines(const fixture_t *f, const char *event)
{
	int count = 0;

	for (const char *at = f->text; (at = strstr(at, event)); at++)
		count++;
	return count;
}

/* Guards against a daemon that blocks because the reader of its log has stopped
 * reading and the pipe is full, and against lines that are discarded without a
 * log_lines_lost event. */
static void test_full_pipe_does_not_block(void **state)
{
	fixture_t *f = *state;
	const char *lost;
	int written;

	for (int i = 0; i < LINES; i++)
		cas_log(CAS_LOG_INFO, "filler", CAS_LOG_INT("number", i),
			CAS_LOG_CSTR("value", VALUE));
	read_all(f);
	written = count_lines(f, "event=filler");
	assert_in_range(written, 1, LINES - 1);
	assert_int_equal(f->text[f->len - 1], '\n');

	f->len = 0;
	cas_log(CAS_LOG_INFO, "after", CAS_LOG_INT("number", 0));
	read_all(f);
	lost = strstr(f->text, "event=log_lines_lost count=");
	assert_non_null(lost);
	assert_int_equal(strtol(strchr(lost, '=') + strlen("=log_lines_lost "
							   "count="),
				NULL, 10),
			 LINES - written);
	assert_int_equal(count_lines(f, "event=after"), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_full_pipe_does_not_block,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
