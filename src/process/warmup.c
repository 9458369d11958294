#include "process/warmup.h"

#include <string.h>

static int32_t clamp(int64_t value, int32_t min, int32_t max)
{
	if (value < min)
		return min;
	return value > max ? max : (int32_t)value;
}

static void set_limits(warmup_t *warmup, int32_t cold_requests,
		       int32_t max_requests)
{
	warmup->max_requests = max_requests;
	warmup->cold_requests = clamp(cold_requests, 0, max_requests);
}

void warmup_start(warmup_t *warmup, int32_t cold_requests, int32_t max_requests)
{
	memset(warmup, 0, sizeof(*warmup));
	set_limits(warmup, cold_requests, max_requests);
	warmup->limit = warmup->cold_requests;
}

void warmup_configure(warmup_t *warmup, int32_t cold_requests,
		      int32_t max_requests)
{
	bool warm = warmup->limit == warmup->max_requests;
	bool cold = warmup->limit == warmup->cold_requests;

	set_limits(warmup, cold_requests, max_requests);
	if (cold)
		warmup->limit = warmup->cold_requests;
	else if (warm)
		warmup->limit = warmup->max_requests;
	else
		warmup->limit = clamp(warmup->limit, warmup->cold_requests,
				      warmup->max_requests);
}

static void reset(warmup_t *warmup, int32_t in_flight)
{
	warmup->limit = warmup->cold_requests;
	if (in_flight > warmup->stale)
		warmup->stale = in_flight;
}

void warmup_update(warmup_t *warmup, const load_report_t *report,
		   int32_t in_flight)
{
	bool first = !warmup->reported;

	if (!first && report->taken_us < warmup->taken_us)
		return;
	if (report->cold ||
	    (!first && report->incarnation != warmup->incarnation))
		reset(warmup, in_flight);
	else if (first)
		warmup->limit = clamp(report->running, warmup->limit,
				      warmup->max_requests);
	warmup->reported = true;
	warmup->incarnation = report->incarnation;
	warmup->taken_us = report->taken_us;
}

void warmup_reset(warmup_t *warmup, warmup_event_t event, int32_t in_flight)
{
	switch (event) {
	case WARMUP_CONNECTION_REFUSED:
	case WARMUP_STREAM_FAILED:
	case WARMUP_RESTORED:
		reset(warmup, in_flight);
		break;
	}
}

void warmup_count_completed(warmup_t *warmup, int32_t count, int32_t in_flight)
{
	int64_t grown, grown_max;

	if (count <= 0)
		return;
	if (count <= warmup->stale) {
		/*
		 * All of these requests are stale. No more than in_flight can
		 * remain, even if others were cancelled.
		 */
		warmup->stale = clamp(warmup->stale - count, 0, in_flight);
		return;
	}
	count -= warmup->stale;
	warmup->stale = 0;
	grown = (int64_t)warmup->limit + count;
	grown_max = 2 * ((int64_t)in_flight + count);
	if (grown > grown_max)
		grown = grown_max;
	if (grown > warmup->limit)
		warmup->limit = clamp(grown, warmup->cold_requests,
				      warmup->max_requests);
}

int32_t warmup_limit(const warmup_t *warmup)
{
	return warmup->limit;
}

bool warmup_may_send(const warmup_t *warmup, int32_t in_flight)
{
	return in_flight < warmup->limit;
}
