/* What the owner of admission tells and sees of the rate that the upstream
 * states. */
#include "cassia/stated_rate.h"

#include "admission_internal.h"

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

bool stated_rate_parse(cas_str_t text, double *rate_per_s)
{
	double rate = 0;
	double place = 1;
	bool fraction = false;

	if (!text.len || !is_digit(text.ptr[0]) ||
	    !is_digit(text.ptr[text.len - 1]))
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] == '.' && !fraction) {
			fraction = true;
			continue;
		}
		if (!is_digit(text.ptr[i]))
			return false;
		if (fraction)
			place /= 10;
		else
			rate *= 10;
		rate += place * (text.ptr[i] - '0');
		if (rate > STATED_RATE_MAX)
			rate = STATED_RATE_MAX;
	}
	*rate_per_s = rate;
	return true;
}

void admission_note_rate(admission_t *admission, double rate_per_s)
{
	rate_limit_state(&admission->rate, cas_clock_now(admission->clock),
			 rate_per_s);
}

void admission_note_no_rate(admission_t *admission)
{
	rate_limit_note_absence(&admission->rate,
				cas_clock_now(admission->clock));
}

void admission_clear_rate(admission_t *admission)
{
	rate_limit_clear(&admission->rate);
}

double admission_rate(const admission_t *admission)
{
	return admission->rate.in_force ? admission->rate.rate_per_s : -1;
}

int64_t admission_rate_retry_us(const admission_t *admission)
{
	return rate_limit_wait(&admission->rate,
			       cas_clock_now(admission->clock),
			       admission->queued + 1);
}
