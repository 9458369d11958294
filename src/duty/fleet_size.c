#include "duty/fleet_size.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"

/* Part of the slots that may be in use before more servers are wanted; the
 * rest is for the loss of a data centre, until its servers are replaced. */
#define USED_SHARE_MAX 0.75
/* Prefill that waits on each server, on average, before more are wanted. */
#define PENDING_MAX_US (500 * US_PER_MS)
/* The need must last for this part of the time that a server takes to start,
 * or the load is over before the server is there. */
#define NEED_LASTS_SHARE 0.5
/* Servers that were ordered go back when so much less has been enough for so
 * long. */
#define SPARE_SHARE 0.6
#define SPARE_LASTS_US (60 * US_PER_S)
/* Pause after an order without an answer. */
#define RETRY_US (300 * US_PER_MS)

struct fleet_size {
	region_t region;
	int32_t wanted[REGION_DATA_CENTRES_MAX]; /* 0: as they are */
	bool told[REGION_DATA_CENTRES_MAX]; /* the order was accepted */
	int64_t due_us[REGION_DATA_CENTRES_MAX];
	int64_t need_since_us; /* 0: there is none */
	int64_t spare_since_us;
};

fleet_size_t *fleet_size_create(const region_t *region)
{
	fleet_size_t *fleet = mem_calloc(1, sizeof(*fleet));

	fleet->region = *region;
	return fleet;
}

void fleet_size_destroy(fleet_size_t *fleet)
{
	free(fleet);
}

void fleet_size_take_over(fleet_size_t *fleet, const json_t *state)
{
	size_t i;

	memset(fleet->wanted, 0, sizeof(fleet->wanted));
	memset(fleet->told, 0, sizeof(fleet->told));
	memset(fleet->due_us, 0, sizeof(fleet->due_us));
	fleet->need_since_us = fleet->spare_since_us = 0;
	for (i = 0; i < fleet->region.count; i++) {
		const json_t *count =
			json_object_get(state, fleet->region.data_centres[i]);
		json_int_t value = json_integer_value(count);

		/* The holder before may not have had its answer: it is ordered
		 * once more, which changes nothing. */
		if (value > 0 && value <= INT32_MAX)
			fleet->wanted[i] = (int32_t)value;
	}
}

json_t *fleet_size_state(const fleet_size_t *fleet)
{
	json_t *state = json_object();
	size_t i;

	for (i = 0; i < fleet->region.count; i++)
		if (fleet->wanted[i])
			json_object_set_new(state,
					    fleet->region.data_centres[i],
					    json_integer(fleet->wanted[i]));
	return state;
}

static int32_t servers_of(const fleet_size_t *fleet, const fleet_load_t *load)
{
	int32_t sum = 0;
	size_t i;

	for (i = 0; i < fleet->region.count; i++)
		sum += load->servers[i];
	return sum;
}

/* Servers that the present load fills as far as they should be. */
static int32_t needed(const fleet_size_t *fleet, const fleet_load_t *load)
{
	int32_t servers = servers_of(fleet, load);
	double by_slots, by_pending;

	if (!servers || !load->slots)
		return 0;
	by_slots = (double)load->used / load->slots / USED_SHARE_MAX;
	by_pending = (double)load->pending_us / servers / PENDING_MAX_US;
	return (int32_t)(servers *
			 (by_slots > by_pending ? by_slots : by_pending)) +
	       1;
}

/* @return whether a condition has held for a time. */
static bool lasts(bool holds, int64_t *since_us, int64_t time_us,
		  int64_t now_us)
{
	if (!holds)
		*since_us = 0;
	else if (!*since_us)
		*since_us = now_us;
	return holds && now_us - *since_us >= time_us;
}

static int32_t clamp(int32_t count, const fleet_limits_t *limits)
{
	if (count < limits->min)
		return limits->min;
	return count < limits->max ? count : limits->max;
}

/* Wants as many in each data centre; false if all want that many already. */
static bool want(fleet_size_t *fleet, const fleet_limits_t *limits,
		 const fleet_load_t *load, int32_t servers, bool more)
{
	int32_t centres = (int32_t)fleet->region.count;
	int32_t count = clamp((servers + centres - 1) / centres, limits);
	bool changed = false;
	size_t i;

	for (i = 0; i < fleet->region.count; i++) {
		int32_t before = fleet->wanted[i] ? fleet->wanted[i]
						  : load->servers[i];

		if (more ? count <= before
			 : !fleet->wanted[i] || count >= before)
			continue;
		fleet->wanted[i] = count;
		fleet->told[i] = false;
		fleet->due_us[i] = 0;
		changed = true;
	}
	return changed;
}

bool fleet_size_look(fleet_size_t *fleet, const fleet_limits_t *limits,
		     const fleet_load_t *load, int64_t now_us)
{
	int32_t servers = servers_of(fleet, load);
	int32_t need = needed(fleet, load);
	int64_t patience_us =
		(int64_t)((double)limits->startup_us * NEED_LASTS_SHARE);

	if (limits->max <= 0 || !need)
		return false;
	if (lasts(need > servers, &fleet->need_since_us, patience_us, now_us) &&
	    want(fleet, limits, load, need, true)) {
		fleet->need_since_us = 0;
		return true;
	}
	if (lasts(need < servers * SPARE_SHARE, &fleet->spare_since_us,
		  SPARE_LASTS_US, now_us) &&
	    want(fleet, limits, load, (int32_t)(servers * SPARE_SHARE) + 1,
		 false)) {
		fleet->spare_since_us = 0;
		return true;
	}
	return false;
}

bool fleet_size_next(const fleet_size_t *fleet, int64_t now_us,
		     fleet_order_t *order)
{
	size_t i;

	for (i = 0; i < fleet->region.count; i++) {
		if (!fleet->wanted[i] || fleet->told[i] ||
		    now_us < fleet->due_us[i])
			continue;
		*order = (fleet_order_t){ i, fleet->wanted[i] };
		return true;
	}
	return false;
}

void fleet_size_answered(fleet_size_t *fleet, const fleet_order_t *order,
			 duty_answer_t answer, int64_t now_us)
{
	if (fleet->wanted[order->data_centre] != order->count)
		return;
	if (answer == DUTY_RETRY)
		fleet->due_us[order->data_centre] = now_us + RETRY_US;
	else
		fleet->told[order->data_centre] = true;
}
