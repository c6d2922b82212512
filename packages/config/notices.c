/* Handling of notices of newer documents; see cassia/config_notices.h. */
#include "cassia/config_notices.h"

/* What was named of a document. */
typedef struct named {
	int64_t highest; /* revision for which the source was checked, 0: none */
	int64_t fetch_due_us; /* 0: no fetch is due */
	/* Valid while a fetch is due: the highest revision that was named since
	 * the last fetch, and a host that has it. */
	int64_t revision;
	cas_id_t host;
} named_t;

struct config_notices {
	const cas_clock_t *clock;
	cas_rng_t *rng;
	const config_notices_ops_t *ops;
	void *private;
	named_t named[CONFIG_DOCUMENT_COUNT];
	int64_t check_due_us; /* 0: no check is due */
};

config_notices_t *
config_notices_create(TALLOC_CTX *ctx, const cas_clock_t *clock, cas_rng_t *rng,
		      const config_notices_ops_t *ops, void *private)
{
	config_notices_t *notices = talloc_zero(ctx, config_notices_t);

	if (!notices)
		return NULL;
	notices->clock = clock;
	notices->rng = rng;
	notices->ops = ops;
	notices->private = private;
	return notices;
}

/* Notes who has the highest revision. A host whose document was not fetched does
 * not keep those of others from being fetched later. */
static void note_host(named_t *named, int64_t revision, cas_id_t host)
{
	if (named->fetch_due_us && revision <= named->revision)
		return;
	named->revision = revision;
	named->host = host;
}

/* Sets when a document is fetched. Later notices must not put off what is due. */
static void set_fetch_due(named_t *named, int64_t due_us)
{
	if (!named->fetch_due_us)
		named->fetch_due_us = due_us;
}

/* Waits for a source that delivers, and checks it. */
static void wait_for_source(config_notices_t *notices, named_t *named,
			    int64_t revision)
{
	int64_t check_us = cas_clock_now(notices->clock) +
			   CONFIG_NOTICES_CHECK_US +
			   notices->ops->delivery_delay(notices->private);

	set_fetch_due(named, check_us + CONFIG_NOTICES_ANSWER_US);
	if (revision <= named->highest)
		return;
	named->highest = revision;
	if (!notices->check_due_us)
		notices->check_due_us = check_us;
}

/* Waits for a daemon of the own region to get a document from another one. */
static void wait_for_own_region(config_notices_t *notices, named_t *named,
				config_document_t document)
{
	int64_t size = notices->ops->size(notices->private, document);
	double range_us =
		CONFIG_NOTICES_REMOTE_MAX_US - CONFIG_NOTICES_REMOTE_MIN_US;
	int64_t wait_us = CONFIG_NOTICES_REMOTE_MIN_US +
			  size * CONFIG_NOTICES_REMOTE_US_PER_BYTE +
			  (int64_t)(cas_rng_double(notices->rng) * range_us);

	set_fetch_due(named, cas_clock_now(notices->clock) + wait_us);
}

void config_notices_add(config_notices_t *notices, config_document_t document,
			int64_t revision, cas_id_t host)
{
	named_t *named = &notices->named[document];
	bool delivers = notices->ops->source_delivers(notices->private);

	if (!notices->ops->lacks(notices->private, document, revision))
		return;
	if (!delivers && notices->ops->in_own_region(notices->private, host)) {
		notices->ops->fetch(notices->private, document, host);
		return;
	}
	note_host(named, revision, host);
	if (delivers)
		wait_for_source(notices, named, revision);
	else
		wait_for_own_region(notices, named, document);
}

/* Returns whether the highest revision that was named is still missing. */
static bool is_behind(const config_notices_t *notices,
		      config_document_t document)
{
	return notices->ops->lacks(notices->private, document,
				   notices->named[document].highest);
}

static void fetch_if_due(config_notices_t *notices, config_document_t document,
			 int64_t now)
{
	named_t *named = &notices->named[document];

	if (!named->fetch_due_us || now < named->fetch_due_us)
		return;
	named->fetch_due_us = 0;
	if (notices->ops->lacks(notices->private, document, named->revision))
		notices->ops->fetch(notices->private, document, named->host);
}

void config_notices_tick(config_notices_t *notices)
{
	int64_t now = cas_clock_now(notices->clock);

	if (notices->check_due_us && now >= notices->check_due_us) {
		notices->check_due_us = 0;
		if (is_behind(notices, CONFIG_TABLE) ||
		    is_behind(notices, CONFIG_HOSTS))
			notices->ops->check_source(notices->private);
	}
	fetch_if_due(notices, CONFIG_TABLE, now);
	fetch_if_due(notices, CONFIG_HOSTS, now);
}
