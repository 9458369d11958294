#include "base/metrics.h"
#include "request/forward_state.h"

void forward_count_left(const forward_t *forward)
{
	switch (forward->choice.placement.leaves) {
	case LEAVES_NOT:
		break;
	case LEAVES_BY_SHARE:
		metrics_add(METRIC_LEFT_BY_SHARE, 1);
		break;
	case LEAVES_LATE:
		metrics_add(METRIC_LEFT_LATE, 1);
		break;
	case LEAVES_NO_SERVER:
		metrics_add(METRIC_LEFT_NO_SERVER, 1);
		break;
	case LEAVES_LONG:
		metrics_add(METRIC_LEFT_LONG, 1);
		break;
	}
}

void forward_count_far(const forward_t *forward, metric_t metric, size_t bytes)
{
	const choice_t *choice = &forward->choice;

	if (!forward->attempt->relay_node && choice->placement.count &&
	    choice->placement.shards[0]->distance_us > 0)
		metrics_add(metric, (int64_t)bytes);
}
