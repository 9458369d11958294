#include "duty/fleet_size.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"

/* Fraction of the slots in use above which more servers are ordered. The free
 * rest takes the load of a lost data centre until its servers are replaced. */
#define USED_FRACTION_MAX 0.75
/* Mean prefill backlog of a server above which more servers are ordered. */
#define BACKLOG_MAX_US (500 * US_PER_MS)
/* An overload must last for this fraction of the time that a server takes to
 * start. A shorter overload may be over before the server is ready. */
#define OVERLOAD_LASTS_FRACTION 0.5
/* Ordered servers are given back after SPARE_LASTS_US in which less than
 * SPARE_FRACTION of the servers was needed. */
#define SPARE_FRACTION 0.6
#define SPARE_LASTS_US (60 * US_PER_S)
/* Delay before an order is sent again. */
#define RETRY_DELAY_US (300 * US_PER_MS)

struct fleet_size {
	region_t region;
	/* Ordered number of servers; 0: no order. */
	int32_t ordered[REGION_DATA_CENTRES_MAX];
	/* The platform accepted or refused the order. */
	bool answered[REGION_DATA_CENTRES_MAX];
	/* When to send the order; 0: at once. */
	int64_t due_us[REGION_DATA_CENTRES_MAX];
	int64_t overload_since_us; /* 0: no overload */
	int64_t spare_since_us; /* 0: no server can be spared */
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

	memset(fleet->ordered, 0, sizeof(fleet->ordered));
	memset(fleet->answered, 0, sizeof(fleet->answered));
	memset(fleet->due_us, 0, sizeof(fleet->due_us));
	fleet->overload_since_us = fleet->spare_since_us = 0;
	for (i = 0; i < fleet->region.count; i++) {
		const json_t *count =
			json_object_get(state, fleet->region.data_centres[i]);
		json_int_t value = json_integer_value(count);

		/* The previous holder may not have received an answer. Sending
		 * the same order again changes nothing. */
		if (value > 0 && value <= INT32_MAX)
			fleet->ordered[i] = (int32_t)value;
	}
}

json_t *fleet_size_state(const fleet_size_t *fleet)
{
	json_t *state = json_object();
	size_t i;

	for (i = 0; i < fleet->region.count; i++)
		if (fleet->ordered[i])
			json_object_set_new(state,
					    fleet->region.data_centres[i],
					    json_integer(fleet->ordered[i]));
	return state;
}

static int32_t count_servers(const fleet_size_t *fleet,
			     const service_load_t *load)
{
	int32_t sum = 0;
	size_t i;

	for (i = 0; i < fleet->region.count; i++)
		sum += load->servers[i];
	return sum;
}

/* Returns how many servers carry the present load within the limits on slots
 * and backlog; 0: no server is ready. */
static int32_t servers_needed(const fleet_size_t *fleet,
			      const service_load_t *load)
{
	int32_t servers = count_servers(fleet, load);
	double by_slots, by_backlog;

	if (!servers || !load->slots)
		return 0;
	by_slots = (double)load->used / load->slots / USED_FRACTION_MAX;
	by_backlog = (double)load->backlog_us / servers / BACKLOG_MAX_US;
	return (int32_t)(servers *
			 (by_slots > by_backlog ? by_slots : by_backlog)) +
	       1;
}

/* Returns true if a condition has held for time_us, since *since_us. */
static bool has_lasted(bool holds, int64_t *since_us, int64_t time_us,
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

/* Orders servers, with the same number in each data centre. If more is true,
 * orders are only raised, else only lowered. Returns true if an order changed.
 */
static bool set_orders(fleet_size_t *fleet, const fleet_limits_t *limits,
		       const service_load_t *load, int32_t servers, bool more)
{
	int32_t dc_count = (int32_t)fleet->region.count;
	int32_t count = clamp((servers + dc_count - 1) / dc_count, limits);
	bool changed = false;
	size_t i;

	for (i = 0; i < fleet->region.count; i++) {
		int32_t before = fleet->ordered[i] ? fleet->ordered[i]
						   : load->servers[i];

		if (more ? count <= before
			 : !fleet->ordered[i] || count >= before)
			continue;
		fleet->ordered[i] = count;
		fleet->answered[i] = false;
		fleet->due_us[i] = 0;
		changed = true;
	}
	return changed;
}

bool fleet_size_update(fleet_size_t *fleet, const fleet_limits_t *limits,
		       const service_load_t *load, int64_t now_us)
{
	int32_t servers = count_servers(fleet, load);
	int32_t need = servers_needed(fleet, load);
	int64_t lasts_us =
		(int64_t)((double)limits->startup_us * OVERLOAD_LASTS_FRACTION);

	if (limits->max <= 0 || !need)
		return false;
	if (has_lasted(need > servers, &fleet->overload_since_us, lasts_us,
		       now_us) &&
	    set_orders(fleet, limits, load, need, true)) {
		fleet->overload_since_us = 0;
		return true;
	}
	if (has_lasted(need < servers * SPARE_FRACTION, &fleet->spare_since_us,
		       SPARE_LASTS_US, now_us) &&
	    set_orders(fleet, limits, load,
		       (int32_t)(servers * SPARE_FRACTION) + 1, false)) {
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
		if (!fleet->ordered[i] || fleet->answered[i] ||
		    now_us < fleet->due_us[i])
			continue;
		*order = (fleet_order_t){ i, fleet->ordered[i] };
		return true;
	}
	return false;
}

void fleet_size_answered(fleet_size_t *fleet, const fleet_order_t *order,
			 duty_answer_t answer, int64_t now_us)
{
	if (fleet->ordered[order->data_centre] != order->count)
		return;
	if (answer == DUTY_RETRY)
		fleet->due_us[order->data_centre] = now_us + RETRY_DELAY_US;
	else
		fleet->answered[order->data_centre] = true;
}
