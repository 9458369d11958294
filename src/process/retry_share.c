#include "process/retry_share.h"

#include "base/units.h"

static bool is_majority(int32_t count, int32_t nodes)
{
	return 2 * count > nodes;
}

retry_share_t retry_share(const retry_fleet_t *fleet, int64_t window_us)
{
	if (fleet->up_us >= window_us)
		return RETRY_SHARE_SETTLED;
	if (!fleet->nodes || !is_majority(fleet->heard + 1, fleet->nodes))
		return RETRY_SHARE_SPENT;
	if (!fleet->settled && fleet->is_first &&
	    is_majority(fleet->first + 1, fleet->nodes))
		return RETRY_SHARE_FIRST;
	if (is_majority(fleet->noticed, fleet->nodes) &&
	    fleet->starts <= fleet->nodes / RETRY_STARTS_DIVISOR)
		return RETRY_SHARE_CALM;
	return RETRY_SHARE_SPENT;
}

const char *retry_share_text(retry_share_t share)
{
	switch (share) {
	case RETRY_SHARE_SETTLED:
		return "settled";
	case RETRY_SHARE_FIRST:
		return "first";
	case RETRY_SHARE_CALM:
		return "calm";
	case RETRY_SHARE_SPENT:
		break;
	}
	return "spent";
}

retry_limits_t retry_share_limits(const retry_fleet_limits_t *limits,
				  const retry_fleet_t *fleet)
{
	/* Ratio of the window of the limits to that of the budget. */
	double window =
		(double)limits->window_us / (double)(RETRY_WINDOW_S * US_PER_S);
	retry_limits_t own = { .ratio = limits->ratio, .floor = limits->slack };
	bool is_spent = retry_share(fleet, limits->window_us) ==
			RETRY_SHARE_SPENT;
	double share = is_spent ? RETRY_START_SHARE : RETRY_SHARE;

	if (window < 1)
		own.ratio *= window;
	else
		own.floor /= window;
	own.ratio *= share;
	own.floor *= fleet->nodes > 0 ? share / fleet->nodes : 0;
	/* Processes that follow each other add up to one floor. */
	if (is_spent)
		own.floor *= (double)fleet->up_us / (double)limits->window_us;
	return own;
}
