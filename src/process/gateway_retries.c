#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/units.h"
#include "process/gateway_state.h"

static int64_t window_us(const gateway_t *gateway)
{
	return gateway->settings.retry_window_ms * US_PER_MS;
}

static retry_fleet_t fleet_of(const gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();
	load_starts_t starts = load_table_starts(gateway->load_table, now_us);

	return (retry_fleet_t){
		.up_us = now_us - gateway->started_us,
		.is_first = gateway->is_first,
		/* Until the store has this node's entry, the list may lack
		 * nodes that start with it. */
		.nodes = gateway->entry_known ? gateway->retry_nodes : 0,
		.heard = starts.nodes,
		.first = starts.first,
		.settled = starts.settled,
		.noticed = starts.noticed,
		.starts = starts.starts,
	};
}

retry_limits_t gateway_retry_limits(const gateway_t *gateway)
{
	const retry_fleet_limits_t limits = {
		.ratio = gateway->settings.retry_ratio,
		.slack = gateway->settings.retry_slack,
		.window_us = window_us(gateway),
	};
	const retry_fleet_t fleet = fleet_of(gateway);

	return retry_share_limits(&limits, &fleet);
}

void gateway_check_retry_share(gateway_t *gateway)
{
	const retry_fleet_t fleet = fleet_of(gateway);
	retry_share_t share = retry_share(&fleet, window_us(gateway));

	metrics_set(METRIC_RETRY_SHARE_SPENT, share == RETRY_SHARE_SPENT);
	if (share == gateway->retry_share)
		return;
	gateway->retry_share = share;
	log_event(EVENT_RETRY_SHARE,
		  "share=%s up_ms=%" PRId64
		  " nodes=%d heard=%d settled=%d noticed=%d starts=%d",
		  retry_share_text(share), fleet.up_us / US_PER_MS, fleet.nodes,
		  fleet.heard, fleet.settled, fleet.noticed, fleet.starts);
}

int32_t gateway_announced_starts(const gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();

	if (now_us - gateway->started_us < window_us(gateway))
		return -1;
	return load_table_started(gateway->load_table,
				  now_us - window_us(gateway));
}
