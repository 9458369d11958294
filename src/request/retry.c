#include "request/retry.h"

#include <string.h>

#include "base/units.h"

/* Clears the seconds that passed since the last call. */
static int advance(retry_budget_t *budget, int64_t now_us)
{
	int64_t second = now_us / US_PER_S;

	if (second - budget->second >= RETRY_WINDOW_S) {
		memset(budget, 0, sizeof(*budget));
		budget->second = second;
	}
	while (budget->second < second) {
		budget->second++;
		budget->requests[budget->second % RETRY_WINDOW_S] = 0;
		budget->retries[budget->second % RETRY_WINDOW_S] = 0;
	}
	return (int)(budget->second % RETRY_WINDOW_S);
}

void retry_count_request(retry_budget_t *budget, int64_t now_us)
{
	budget->requests[advance(budget, now_us)]++;
}

bool retry_take(retry_budget_t *budget, int32_t percent, int64_t now_us)
{
	return percent > 0 &&
	       retry_take_floor(budget, percent, RETRY_FLOOR, now_us);
}

bool retry_take_floor(retry_budget_t *budget, int32_t percent, int32_t floor,
		      int64_t now_us)
{
	int place = advance(budget, now_us);
	int64_t requests = 0, retries = 0;
	int i;

	for (i = 0; i < RETRY_WINDOW_S; i++) {
		requests += budget->requests[i];
		retries += budget->retries[i];
	}
	if (retries >= floor + requests * percent / 100)
		return false;
	budget->retries[place]++;
	return true;
}
