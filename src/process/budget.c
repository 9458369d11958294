#include "process/budget.h"

#include "base/metrics.h"

/* Fraction of the budget up to which answers may grow. */
#define ANSWERS_FRACTION 0.75

void budget_init(budget_t *budget, int64_t limit_bytes)
{
	budget->limit_bytes = limit_bytes;
	budget->held_bytes = 0;
}

bool budget_reserve(budget_t *budget, int64_t size_bytes)
{
	if (size_bytes < 0 ||
	    size_bytes > budget->limit_bytes - budget->held_bytes)
		return false;
	budget->held_bytes += size_bytes;
	metrics_add(METRIC_MEMORY_HELD_BYTES, size_bytes);
	return true;
}

bool budget_reserve_answer(budget_t *budget, int64_t size_bytes)
{
	int64_t limit_bytes =
		(int64_t)((double)budget->limit_bytes * ANSWERS_FRACTION);

	return budget->held_bytes + size_bytes <= limit_bytes &&
	       budget_reserve(budget, size_bytes);
}

void budget_release(budget_t *budget, int64_t size_bytes)
{
	budget->held_bytes -= size_bytes;
	metrics_add(METRIC_MEMORY_HELD_BYTES, -size_bytes);
}
