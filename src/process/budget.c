#include "process/budget.h"

#include "base/metrics.h"

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

void budget_release(budget_t *budget, int64_t size_bytes)
{
	budget->held_bytes -= size_bytes;
	metrics_add(METRIC_MEMORY_HELD_BYTES, -size_bytes);
}
