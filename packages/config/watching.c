/* Choice of the watchers that read the platform; see cassia/watching.h. */
#include "cassia/watching.h"

#include "cassia/hash.h"

/* Key of the rendezvous hash: "region" in ASCII. */
#define REGION_KEY UINT64_C(0x726567696f6e)

static bool has_staying_host(const roster_t *roster, cas_id_t data_centre)
{
	for (size_t i = 0; i < roster->host_count; i++)
		if (roster->hosts[i].data_centre_id == data_centre &&
		    !roster->hosts[i].leaving)
			return true;
	return false;
}

cas_id_t watching_data_centre(const table_t *table, const roster_t *roster,
			      cas_id_t data_centre)
{
	const table_data_centre_t *own =
		table_find_data_centre(table, data_centre);
	cas_id_t chosen = data_centre;
	uint64_t best = 0;

	for (size_t i = 0; own && i < table->data_centre_count; i++) {
		const table_data_centre_t *other = &table->data_centres[i];
		uint64_t weight = cas_rendezvous_weight(other->id, REGION_KEY);

		if (other->region_id == own->region_id && weight > best &&
		    has_staying_host(roster, other->id)) {
			best = weight;
			chosen = other->id;
		}
	}
	return chosen;
}

bool watching_reads(const watching_t *watching)
{
	if (!watching->roster)
		return true;
	if (!roster_find(watching->roster, watching->host))
		return !watching->table ||
		       watching->running_us >= WATCHING_LISTING_WAIT_US;
	return !watching->table ||
	       watching_data_centre(watching->table, watching->roster,
				    watching->data_centre) ==
		       watching->data_centre;
}
