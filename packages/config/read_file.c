/* Reads a whole file of limited size. */
#include <errno.h>
#include <stdio.h>

#include "cassia/settings.h"
#include "cassia/table.h"

/* Reads the rest of file into buffer, which has room for one byte more than
 * CONFIG_DOCUMENT_MAX, to detect a larger file, and a final NUL. */
static int read_all(FILE *file, char *buffer, cas_str_t *text)
{
	size_t len = fread(buffer, 1, CONFIG_DOCUMENT_MAX + 1, file);

	if (ferror(file))
		return CONFIG_EREAD;
	if (len > CONFIG_DOCUMENT_MAX) {
		errno = EFBIG;
		return CONFIG_EREAD;
	}
	buffer[len] = '\0';
	*text = (cas_str_t){ buffer, len };
	return 0;
}

int config_read_file(TALLOC_CTX *ctx, const char *path, cas_str_t *text)
{
	char *buffer = talloc_array(ctx, char, CONFIG_DOCUMENT_MAX + 2);
	FILE *file = NULL;
	int saved_errno;
	int rc = CONFIG_ENOMEM;

	if (!buffer)
		goto error;
	rc = CONFIG_EREAD;
	file = fopen(path, "rbe");
	if (!file)
		goto error;
	rc = read_all(file, buffer, text);
error:
	saved_errno = errno;
	if (file)
		fclose(file);
	if (rc)
		talloc_free(buffer);
	errno = saved_errno;
	return rc;
}
