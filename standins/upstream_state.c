/* The request rate and the leaving that the stand-in upstream states. */
#include "upstream_state.h"

#include <string.h>

#include "cassia/platform.h"

#define RATE_PATH "GET /_rate/"
#define LEAVING_PATH "GET /_leaving "

static char *rate; /* NULL: none is stated */
static gboolean leaving;

const GOptionEntry upstream_state_options[] = {
	{ "rate", 0, 0, G_OPTION_ARG_STRING, &rate,
	  "States that it takes this many requests a second", NULL },
	{ "leaving", 0, 0, G_OPTION_ARG_NONE, &leaving, "States that it leaves",
	  NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

bool upstream_state_control(const char *request)
{
	size_t prefix = strlen(RATE_PATH);

	if (strncmp(request, LEAVING_PATH, strlen(LEAVING_PATH)) == 0) {
		leaving = TRUE;
		return true;
	}
	if (strncmp(request, RATE_PATH, prefix) != 0)
		return false;
	g_free(rate);
	rate = g_strndup(request + prefix, strcspn(request + prefix, " "));
	if (strcmp(rate, "-") == 0)
		g_clear_pointer(&rate, g_free);
	return true;
}

char *upstream_state_fields(TALLOC_CTX *ctx)
{
	const http_profile_t *profile = &platform_http_profile;
	char *fields = talloc_strdup(ctx, "");

	if (rate)
		fields = talloc_asprintf_append_buffer(
			fields, "%.*s: %s\r\n",
			CAS_STR_ARG(profile->request_rate.names[0]), rate);
	if (leaving)
		fields = talloc_asprintf_append_buffer(
			fields, "%.*s: 1\r\n",
			CAS_STR_ARG(profile->leaving.names[0]));
	return fields;
}
