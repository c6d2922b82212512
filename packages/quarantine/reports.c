/* Sends reports to the hosts of the service until they acknowledge them. */
#include "quarantine_internal.h"

#include <string.h>

#define RESEND_US (100 * CAS_USEC_PER_MSEC)
/* A host that has not answered until then is down or cut off. */
#define SENDS_MAX 10

static void drop_pending(quarantine_t *quarantine, size_t index)
{
	talloc_free(quarantine->pending[index]);
	quarantine->pending[index] =
		quarantine->pending[--quarantine->pending_count];
}

static void copy_list(u_int *to_len, uint64_t **to, uint64_t *copy, u_int len,
		      const uint64_t *from)
{
	if (len > QUARANTINE_DIGESTS_MAX)
		len = QUARANTINE_DIGESTS_MAX;
	if (len)
		memcpy(copy, from, len * sizeof(*copy));
	*to_len = len;
	*to = copy;
}

static void send_pending(quarantine_t *quarantine, pending_report_t *pending)
{
	pending->sends++;
	pending->due_us = cas_clock_now(quarantine->clock) + RESEND_US;
	for (size_t i = 0; i < pending->unanswered_count; i++) {
		quarantine->reports_sent++;
		quarantine->ops.send(quarantine->private,
				     pending->unanswered[i], &pending->report);
	}
}

void reports_start(quarantine_t *quarantine, const quarantine_report *report)
{
	pending_report_t *pending;

	if (!quarantine->peer_count)
		return;
	pending = talloc_zero(quarantine, pending_report_t);
	if (!pending)
		return;
	pending->unanswered = talloc_memdup(pending, quarantine->peers,
					    quarantine->peer_count *
						    sizeof(*quarantine->peers));
	if (!pending->unanswered) {
		talloc_free(pending);
		return;
	}
	pending->unanswered_count = quarantine->peer_count;
	pending->report = *report;
	pending->report.number = ++quarantine->next_number;
	copy_list(&pending->report.crashed.crashed_len,
		  &pending->report.crashed.crashed_val, pending->crashed,
		  report->crashed.crashed_len, report->crashed.crashed_val);
	copy_list(&pending->report.served.served_len,
		  &pending->report.served.served_val, pending->served,
		  report->served.served_len, report->served.served_val);
	if (quarantine->pending_count == PENDING_REPORTS_MAX)
		drop_pending(quarantine, 0);
	quarantine->pending[quarantine->pending_count++] = pending;
	send_pending(quarantine, pending);
}

void reports_acknowledged(quarantine_t *quarantine, cas_id_t from,
			  uint32_t number)
{
	for (size_t i = 0; i < quarantine->pending_count; i++) {
		pending_report_t *pending = quarantine->pending[i];

		if (pending->report.number != number)
			continue;
		for (size_t j = 0; j < pending->unanswered_count; j++) {
			if (pending->unanswered[j] != from)
				continue;
			pending->unanswered[j] =
				pending->unanswered
					[--pending->unanswered_count];
			break;
		}
		if (!pending->unanswered_count)
			drop_pending(quarantine, i);
		return;
	}
}

void quarantine_tick(quarantine_t *quarantine)
{
	int64_t now_us = cas_clock_now(quarantine->clock);

	for (size_t i = 0; i < quarantine->pending_count;) {
		pending_report_t *pending = quarantine->pending[i];

		if (pending->due_us > now_us) {
			i++;
		} else if (pending->sends >= SENDS_MAX) {
			drop_pending(quarantine, i);
		} else {
			send_pending(quarantine, pending);
			i++;
		}
	}
}

int64_t quarantine_next_due(const quarantine_t *quarantine)
{
	int64_t due_us = INT64_MAX;

	for (size_t i = 0; i < quarantine->pending_count; i++)
		if (quarantine->pending[i]->due_us < due_us)
			due_us = quarantine->pending[i]->due_us;
	return due_us;
}
