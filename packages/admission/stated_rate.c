/* Reads the request rate that an upstream states. */
#include "cassia/stated_rate.h"

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
