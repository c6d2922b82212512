/*
 * Counts the heap allocations of a program that it is linked into: its malloc,
 * calloc, realloc and aligned variants take the place of those of the C library
 * for the program and its shared libraries, and call the C library's own. On
 * COUNT_SIGNAL the number so far is written to standard error as a line
 * "allocations=N".
 */
#include "count_allocations.h"

#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

/* Digits of a 64-bit number and its label. */
#define LINE_BYTES 48

/* Entry points of the GNU C library under which its allocator stays reachable.
 */
void *__libc_malloc(size_t size);
void *__libc_calloc(size_t count, size_t size);
void *__libc_realloc(void *old, size_t size);
void *__libc_memalign(size_t alignment, size_t size);

static atomic_ulong allocation_count;

void *malloc(size_t size)
{
	atomic_fetch_add(&allocation_count, 1);
	return __libc_malloc(size);
}

void *calloc(size_t nmemb, size_t size)
{
	atomic_fetch_add(&allocation_count, 1);
	return __libc_calloc(nmemb, size);
}

void *realloc(void *ptr, size_t size)
{
	atomic_fetch_add(&allocation_count, 1);
	return __libc_realloc(ptr, size);
}

void *memalign(size_t alignment, size_t size)
{
	atomic_fetch_add(&allocation_count, 1);
	return __libc_memalign(alignment, size);
}

void *aligned_alloc(size_t alignment, size_t size)
{
	return memalign(alignment, size);
}

int posix_memalign(void **memptr, size_t alignment, size_t size)
{
	*memptr = memalign(alignment, size);
	return *memptr ? 0 : ENOMEM;
}

/* Formats without the C library, which may not be used in a signal handler. */
static void write_count(int signal_number)
{
	static const char label[] = "allocations=";
	unsigned long count = atomic_load(&allocation_count);
	char line[LINE_BYTES];
	size_t pos = sizeof(line);
	int saved_errno = errno;

	(void)signal_number;
	line[--pos] = '\n';
	do {
		line[--pos] = (char)('0' + count % 10);
		count /= 10;
	} while (count);
	for (size_t i = sizeof(label) - 1; i > 0; i--)
		line[--pos] = label[i - 1];
	if (write(STDERR_FILENO, line + pos, sizeof(line) - pos) < 0)
		_exit(1);
	errno = saved_errno;
}

__attribute__((constructor)) static void install_handler(void)
{
	struct sigaction action = { .sa_handler = write_count,
				    .sa_flags = SA_RESTART };

	sigaction(COUNT_SIGNAL, &action, NULL);
}
