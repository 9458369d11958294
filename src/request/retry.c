#include "request/retry.h"

#include <string.h>

#include "base/units.h"

#define PERCENT 100.0
/* Limits that are whole numbers but for the rounding of fractions count as
 * such. */
#define ROUNDING 1e-6

/*
 * Clears the entries of the seconds that passed since the last call.
 * @return index of the current second in the arrays
 */
static int advance_window(retry_budget_t *budget, int64_t now_us)
{
	int64_t second = now_us / US_PER_S;

	if (second - budget->second >= RETRY_KEPT_S) {
		memset(budget, 0, sizeof(*budget));
		budget->second = second;
	}
	while (budget->second < second) {
		budget->second++;
		budget->requests[budget->second % RETRY_KEPT_S] = 0;
		budget->retries[budget->second % RETRY_KEPT_S] = 0;
	}
	return (int)(budget->second % RETRY_KEPT_S);
}

void retry_count_request(retry_budget_t *budget, int64_t now_us)
{
	budget->requests[advance_window(budget, now_us)]++;
}

bool retry_take(retry_budget_t *budget, int32_t percent, int64_t now_us)
{
	const retry_limits_t limits = { .ratio = (double)percent / PERCENT,
					.floor = RETRY_FLOOR };

	return percent > 0 && retry_take_within(budget, &limits, now_us);
}

bool retry_take_within(retry_budget_t *budget, const retry_limits_t *limits,
		       int64_t now_us)
{
	int slot = advance_window(budget, now_us);
	/* The second that is kept for its retries alone. */
	int oldest = (slot + 1) % RETRY_KEPT_S;
	int64_t requests = 0, retries = 0;
	int i;

	for (i = 0; i < RETRY_KEPT_S; i++) {
		requests += i == oldest ? 0 : budget->requests[i];
		retries += budget->retries[i];
	}
	if ((double)(retries + 1) >
	    limits->floor + limits->ratio * (double)requests + ROUNDING)
		return false;
	budget->retries[slot]++;
	return true;
}
