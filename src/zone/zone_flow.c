#include "zone/zone_flow.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"
#include "base/units.h"

/* Pressure at which spillover starts. The free slots above it cover the
 * requests that nodes place in the 200 ms before they know of each other's. */
#define START_PRESSURE 0.85
/* Pressure below which spillover ends; between the two, shares stay. */
#define END_PRESSURE 0.7
/* Pressure that a share aims at. */
#define AIM_PRESSURE 0.775
/* A data centre receives more while its pressure, with the growth of its own
 * load, is below the first value, and less above the second. */
#define RECEIVE_PRESSURE 0.6
#define RECEIVE_LESS_PRESSURE 0.75
/* Fastest changes of a share, per second. A share grows to its aim within the
 * first second of a wave of 13 s; it falls in steps, so that cold servers get
 * their requests back over 4 s. */
#define RISE_PER_S 0.5
#define FALL_PER_S 0.25
/* Time after which a changed share shows in the pressure: the usual duration of
 * a request. Growth of load is smoothed over it, and expected to go on so long.
 */
#define RESPONSE_US (US_PER_S)
/* A data centre that sent requests away receives none for this time after:
 * longer than a change takes to show everywhere, so that none goes back and
 * forth. */
#define TURN_US (2 * US_PER_S)
/* Longest time for which one update changes shares, also if the last one was
 * longer ago: a node without requests has not seen what happened since. */
#define UPDATE_MAX_US (250 * US_PER_MS)
/* Time after the last update from which the state is discarded: each share
 * could have fallen to 0 since. */
#define FORGET_US (US_PER_S / FALL_PER_S)
/* Largest share that is used to estimate demand from the requests that stay. */
#define SENT_MAX 0.9
/* Shares below this count as none. */
#define SHARE_MIN 1e-3

/** A data centre. */
typedef struct {
	uint32_t zone;
	bool is_used; /* entry is in use */
	bool is_listed; /* the last update had its load */
	bool is_spilling; /* pressure passed START, and not END since */
	double capacity, used; /* see zone_load_t */
	double rise_per_s; /* smoothed growth of `used`; may be negative */
	int64_t spilled_us; /* last update with a share; 0: none yet */
	double sent; /* share that left within RESPONSE_US, smoothed */
	double shares[ZONES_MAX]; /* share of its requests to each zone */
} zone_t;

struct zone_flow {
	uint32_t own;
	int64_t updated_us; /* last update; 0: none yet */
	zone_t zones[ZONES_MAX];
};

zone_flow_t *zone_flow_create(uint32_t own)
{
	zone_flow_t *flow = mem_calloc(1, sizeof(*flow));

	flow->own = own;
	return flow;
}

void zone_flow_destroy(zone_flow_t *flow)
{
	free(flow);
}

static const zone_t *find(const zone_flow_t *flow, uint32_t zone)
{
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		if (flow->zones[i].is_used && flow->zones[i].zone == zone)
			return &flow->zones[i];
	return NULL;
}

static void close_inflow(zone_flow_t *flow, size_t to)
{
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		flow->zones[i].shares[to] = 0;
}

/* @return entry of a data centre: its own, a free one, or one of a data centre
 * that is not listed any more; NULL: none is left */
static zone_t *take_entry(zone_flow_t *flow, uint32_t zone)
{
	zone_t *found = (zone_t *)find(flow, zone);
	size_t i, free_entry = ZONES_MAX;

	if (found)
		return found;
	for (i = 0; i < ZONES_MAX; i++) {
		const zone_t *other = &flow->zones[i];

		if (!other->is_used ||
		    (free_entry == ZONES_MAX && !other->is_listed))
			free_entry = i;
		if (!other->is_used)
			break;
	}
	if (free_entry == ZONES_MAX)
		return NULL;
	found = &flow->zones[free_entry];
	*found = (zone_t){ .zone = zone, .is_used = true };
	close_inflow(flow, free_entry);
	return found;
}

static double share_sum(const zone_t *zone)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		sum += zone->shares[i];
	return sum;
}

/* Enters the loads; @p us is the time since the last update. */
static void enter_loads(zone_flow_t *flow, const zone_load_t *loads,
			size_t count, double us)
{
	double part = us / (double)RESPONSE_US;
	double before[ZONES_MAX];
	size_t i;

	for (i = 0; i < ZONES_MAX; i++) {
		before[i] = flow->zones[i].used;
		flow->zones[i].capacity = flow->zones[i].used = 0;
		flow->zones[i].is_listed = flow->zones[i].zone == flow->own;
	}
	for (i = 0; i < count; i++) {
		zone_t *zone = take_entry(flow, loads[i].zone);

		if (!zone)
			break;
		zone->is_listed = true;
		zone->capacity = loads[i].capacity;
		zone->used = loads[i].used;
	}
	for (i = 0; i < ZONES_MAX && us > 0; i++) {
		zone_t *zone = &flow->zones[i];
		double rise = (zone->used - before[i]) * US_PER_S / us;

		zone->rise_per_s += (rise - zone->rise_per_s) * part;
		zone->sent += (share_sum(zone) - zone->sent) * part;
	}
}

static double pressure(const zone_t *zone)
{
	return zone->used / zone->capacity;
}

static void judge(zone_flow_t *flow, size_t index)
{
	zone_t *zone = &flow->zones[index];

	if (zone->capacity <= 0 || pressure(zone) >= START_PRESSURE) {
		zone->is_spilling = true;
		close_inflow(flow, index);
	} else if (pressure(zone) < END_PRESSURE) {
		zone->is_spilling = false;
	}
}

/* @return capacity of a data centre below @p limit that its own callers will
 * not need within RESPONSE_US; negative if they need more */
static double room(const zone_t *zone, double limit)
{
	double rise = zone->rise_per_s > 0 ? zone->rise_per_s : 0;

	return zone->capacity * limit - zone->used -
	       rise * RESPONSE_US / US_PER_S;
}

/* @return capacity that a data centre offers to others; none while it sends,
 * and for a time after */
static double offer(const zone_t *zone, int64_t now_us)
{
	double offered;

	if (!zone->is_used || zone->is_spilling ||
	    (zone->spilled_us && now_us - zone->spilled_us < TURN_US))
		return 0;
	offered = room(zone, RECEIVE_PRESSURE);
	return offered > 0 ? offered : 0;
}

/* @return requests in progress of the callers of a data centre, also those that
 * were sent away */
static double demand(const zone_t *zone)
{
	double sent = zone->sent < SENT_MAX ? zone->sent : SENT_MAX;

	return zone->used / (1 - sent);
}

/* @return share that would bring the pressure to its aim */
static double wanted_share(const zone_t *zone)
{
	double requests = demand(zone);
	double keeps = zone->capacity * AIM_PRESSURE;

	return requests > keeps ? 1 - keeps / requests : 0;
}

static void scale_shares(zone_t *zone, double factor)
{
	size_t i;

	for (i = 0; i < ZONES_MAX; i++) {
		zone->shares[i] *= factor;
		if (zone->shares[i] < SHARE_MIN)
			zone->shares[i] = 0;
	}
}

/* Lowers the sum of the shares by @p step. */
static void lower_shares(zone_t *zone, double step)
{
	double sum = share_sum(zone);

	if (sum > 0)
		scale_shares(zone, sum > step ? (sum - step) / sum : 0);
}

/* Splits @p sum over the data centres by what they offer. */
static void add_shares(zone_t *zone, const double *offers, double offered,
		       double sum)
{
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		zone->shares[i] += sum * offers[i] / offered;
}

/* Lowers shares to data centres that now need more for their own callers. */
static void spare_receivers(const zone_flow_t *flow, zone_t *zone, double step)
{
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		if (room(&flow->zones[i], RECEIVE_LESS_PRESSURE) < 0)
			zone->shares[i] = zone->shares[i] > step
						  ? zone->shares[i] - step
						  : 0;
}

/* @return the largest growth of all shares within an update of @p us, so that
 * data centres that receive do not get more than they offer */
static double growth_max(const zone_flow_t *flow, double offered, double us)
{
	double requests = 0, growth = RISE_PER_S * us / US_PER_S, bound;
	size_t i;

	for (i = 0; i < ZONES_MAX; i++)
		if (flow->zones[i].is_spilling)
			requests += demand(&flow->zones[i]);
	if (requests <= 0)
		return growth;
	bound = offered / requests * us / (double)RESPONSE_US;
	return growth < bound ? growth : bound;
}

/* @param growth see growth_max() */
static void change_shares(zone_flow_t *flow, zone_t *zone, const double *offers,
			  double offered, double growth, double us)
{
	double fall = FALL_PER_S * us / US_PER_S;
	double sum, wanted;

	spare_receivers(flow, zone, fall);
	if (zone->capacity <= 0) {
		scale_shares(zone, 0);
		if (offered > 0)
			add_shares(zone, offers, offered, 1);
		return;
	}
	sum = share_sum(zone);
	wanted = wanted_share(zone);
	if (!zone->is_spilling && sum > wanted)
		lower_shares(zone, sum - wanted < fall ? sum - wanted : fall);
	else if (zone->is_spilling && sum < wanted && offered > 0)
		add_shares(zone, offers, offered,
			   wanted - sum < growth ? wanted - sum : growth);
}

void zone_flow_update(zone_flow_t *flow, const zone_load_t *zones, size_t count,
		      int64_t now_us)
{
	int64_t passed_us = flow->updated_us ? now_us - flow->updated_us : 0;
	double us =
		(double)(passed_us < UPDATE_MAX_US ? passed_us : UPDATE_MAX_US);
	double offers[ZONES_MAX], offered = 0, growth;
	size_t i;

	if ((double)passed_us >= FORGET_US)
		memset(flow->zones, 0, sizeof(flow->zones));
	flow->updated_us = now_us;
	enter_loads(flow, zones, count, us);
	for (i = 0; i < ZONES_MAX; i++)
		if (flow->zones[i].is_used)
			judge(flow, i);
	for (i = 0; i < ZONES_MAX; i++) {
		offers[i] = offer(&flow->zones[i], now_us);
		offered += offers[i];
	}
	growth = growth_max(flow, offered, us);
	for (i = 0; i < ZONES_MAX; i++) {
		zone_t *zone = &flow->zones[i];

		if (!zone->is_used)
			continue;
		change_shares(flow, zone, offers, offered, growth, us);
		if (share_sum(zone) > 0)
			zone->spilled_us = now_us;
	}
}

uint32_t zone_flow_choose(const zone_flow_t *flow, uint64_t salt)
{
	const zone_t *own = find(flow, flow->own);
	double point, from = 0;
	size_t i;

	if (!own)
		return flow->own;
	point = (double)(XXH64(&salt, sizeof(salt), 0) >> 11) /
		(double)(UINT64_C(1) << 53);
	for (i = 0; i < ZONES_MAX; i++) {
		if (own->shares[i] <= 0)
			continue;
		if (point < from + own->shares[i])
			return flow->zones[i].zone;
		from += own->shares[i];
	}
	return flow->own;
}

bool zone_flow_may_leave(const zone_flow_t *flow, uint32_t to, uint64_t salt)
{
	return zone_flow_choose(flow, salt) == to;
}

double zone_flow_share(const zone_flow_t *flow, uint32_t from)
{
	const zone_t *zone = find(flow, from);

	return zone ? share_sum(zone) : 0;
}
