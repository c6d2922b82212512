/*
 * Source that reads the table and the host list from files that operators place
 * on the host. It polls the status of the files.
 */
#include <errno.h>
#include <sys/stat.h>

#include "cassia/timer.h"
#include "source_internal.h"

typedef struct watched_file {
	char *path;
	config_document_t document;
	struct stat last_stat; /* at the last check; zero if it failed */
	bool reread; /* changed at the last check: read it once more */
	int last_errno; /* of the last failure; 0 after a successful read */
} watched_file_t;

typedef struct file_source {
	source_t base;
	cas_timer_t *timer;
	watched_file_t files[CONFIG_DOCUMENT_COUNT]; /* one if the table
						      * embeds the hosts */
	size_t file_count;
} file_source_t;

/* Returns whether the status of a file shows no change. */
static bool same_file(const struct stat *a, const struct stat *b)
{
	return a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
	       a->st_mtim.tv_nsec == b->st_mtim.tv_nsec &&
	       a->st_size == b->st_size && a->st_ino == b->st_ino &&
	       a->st_dev == b->st_dev;
}

/* Reports a failure unless it is the same as the last one. */
static void report_errno(file_source_t *source, watched_file_t *file, int error)
{
	char reason[256];

	if (file->last_errno == error)
		return;
	file->last_errno = error;
	snprintf(reason, sizeof(reason), "%s: %s", file->path, strerror(error));
	source->base.sink->failed(source->base.private, file->document, reason);
}

/* Reads a file and offers its text. */
static void read_file(file_source_t *source, watched_file_t *file)
{
	TALLOC_CTX *ctx = talloc_new(source);
	cas_str_t text;

	if (config_read_file(ctx, file->path, &text)) {
		report_errno(source, file, errno);
	} else {
		file->last_errno = 0;
		source->base.sink->offer(source->base.private, file->document,
					 text);
	}
	talloc_free(ctx);
}

/*
 * Reads a file if it changed since the last check, or if force is set. A
 * changed file is read again at the next check: a second edit within the
 * resolution of the modification time does not change the status, and would
 * otherwise go unnoticed.
 */
static void check_file(file_source_t *source, watched_file_t *file, bool force)
{
	struct stat current;
	bool changed;

	if (stat(file->path, &current)) {
		report_errno(source, file, errno);
		memset(&file->last_stat, 0, sizeof(file->last_stat));
		return;
	}
	changed = !same_file(&current, &file->last_stat);
	file->last_stat = current;
	if (changed || file->reread || force)
		read_file(source, file);
	file->reread = changed;
}

static void check_files(file_source_t *source, bool force)
{
	for (size_t i = 0; i < source->file_count; i++)
		check_file(source, &source->files[i], force);
}

static void check_now(source_t *base)
{
	check_files((file_source_t *)base, true);
}

/* Does nothing: local files are checked equally often by every daemon. */
static void set_watching(source_t *base, bool watching)
{
	(void)base;
	(void)watching;
}

static const source_ops_t file_ops = {
	.check_now = check_now,
	.set_watching = set_watching,
};

static void timer_fired(void *private)
{
	file_source_t *source = private;

	cas_timer_arm(source->timer, SOURCE_FILE_CHECK_US);
	check_files(source, false);
}

static int add_file(file_source_t *source, config_document_t document,
		    const char *path)
{
	watched_file_t *file = &source->files[source->file_count++];

	file->document = document;
	file->path = talloc_strdup(source, path);
	return file->path ? 0 : CONFIG_ENOMEM;
}

source_t *source_create_file(TALLOC_CTX *ctx, struct tevent_context *ev,
			     const char *table_path, const char *hosts_path,
			     const source_sink_t *sink, void *private)
{
	file_source_t *source = talloc_zero(ctx, file_source_t);

	if (!source)
		return NULL;
	source->base = (source_t){ &file_ops, sink, private };
	source->timer = cas_timer_create(source, ev, timer_fired, source);
	if (!source->timer)
		goto error;
	if (add_file(source, CONFIG_TABLE, table_path))
		goto error;
	if (strcmp(table_path, hosts_path) != 0 &&
	    add_file(source, CONFIG_HOSTS, hosts_path))
		goto error;
	cas_timer_arm(source->timer, SOURCE_FILE_CHECK_US);
	check_files(source, false);
	return &source->base;
error:
	talloc_free(source);
	return NULL;
}
