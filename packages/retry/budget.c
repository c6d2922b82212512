/*
 * The retry budget of a call tree. Units only move between the budgets of the
 * tree or are spent, so their sum never exceeds the budget of the root request.
 */
#include "cassia/retry.h"

retry_budget_t retry_budget_of(int32_t units)
{
	return (retry_budget_t){ .left = units > 0 ? units : 0 };
}

int32_t retry_budget_split(retry_budget_t *budget)
{
	int32_t granted = budget->left - budget->left / 2;

	budget->left -= granted;
	return granted;
}

void retry_budget_return(retry_budget_t *budget, int32_t granted,
			 int32_t unspent)
{
	if (unspent > granted)
		unspent = granted;
	if (unspent > 0)
		budget->left += unspent;
}

bool retry_budget_consume(retry_budget_t *budget)
{
	if (budget->left <= 0)
		return false;
	budget->left--;
	return true;
}
