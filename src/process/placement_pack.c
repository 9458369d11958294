#include <stdlib.h>

#include "base/units.h"
#include "process/placement_cost.h"

/* How old the known work of other nodes may be: two announcements of work that
 * grew, and the way. */
#define KNOWN_AGE_US (50 * US_PER_MS)
/* Free slots among which nodes choose, in requests that arrive meanwhile: so
 * many that few choose the same one. */
#define CHOICES_PER_ARRIVAL 2
/* Round trips within a region are shorter. */
#define REGION_DISTANCE_US (10 * US_PER_MS)
/* Fewest free slots among which nodes choose. */
enum { CHOICES_MIN = 4, SERVERS_MAX = 512 };

/** A server with room for short prompts. */
typedef struct {
	const candidate_t *candidate;
	double event_us; /**< predicted first event there */
	int32_t free; /**< slots */
} room_t;

/* Short prompts that a server can take at once: it has slots for them, and
 * reads one after the other in time. */
static int32_t free_slots(const room_t *room, const placement_query_t *query,
			  double read_us)
{
	int32_t slots =
		room->candidate->slots - placement_running(room->candidate);
	double left_us = (double)query->target_us * PLACEMENT_TARGET_SHARE -
			 room->event_us;

	if (left_us < 0)
		return 0;
	if (read_us > 0 && left_us / read_us + 1 < slots)
		slots = (int32_t)(left_us / read_us) + 1;
	return slots > 0 ? slots : 0;
}

static room_t room_of(const candidate_t *candidate,
		      const placement_query_t *query, double read_us)
{
	room_t room = {
		.candidate = candidate,
		.event_us = (double)candidate->distance_us +
			    forecast_first_event_us(query->engine,
						    &candidate->load, read_us),
	};

	if (!candidate->fallback && candidate->slowdown <= 1 &&
	    placement_fits(candidate,
			   query->prompt_tokens + query->output_tokens) &&
	    placement_late_streams(candidate, query, read_us) <= 0)
		room.free = free_slots(&room, query, read_us);
	return room;
}

/* Servers of the own region first; within it, nodes of all data centres fill
 * the same ones. */
static int compare_order(const void *left, const void *right)
{
	const candidate_t *a = ((const room_t *)left)->candidate;
	const candidate_t *b = ((const room_t *)right)->candidate;
	bool far_a = a->distance_us > REGION_DISTANCE_US;
	bool far_b = b->distance_us > REGION_DISTANCE_US;

	if (far_a != far_b)
		return far_a ? 1 : -1;
	if (a->order != b->order)
		return a->order < b->order ? -1 : 1;
	return 0;
}

/* Requests that other nodes may have placed and this one does not know. */
static double unknown_arrivals(const candidate_t *candidates, size_t count,
			       const placement_query_t *query)
{
	server_load_t usual = { .writers = candidates[0].slots / 2 };
	double stay_us = forecast_write_us(
		query->engine, query->engine->usual_output_tokens, &usual);
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += placement_running(&candidates[i]);
	return stay_us > 0 ? sum * KNOWN_AGE_US / stay_us : 0;
}

int32_t placement_choices(const candidate_t *candidates, size_t count,
			  const placement_query_t *query)
{
	int32_t least = query->nodes < CHOICES_MIN ? query->nodes : CHOICES_MIN;
	int32_t wanted;

	if (query->nodes <= 1)
		return 1;
	wanted = (int32_t)(CHOICES_PER_ARRIVAL *
			   unknown_arrivals(candidates, count, query));
	return wanted > least ? wanted : least;
}

bool placement_pack(const candidate_t *candidates, size_t count,
		    const placement_query_t *query, placement_t *placement)
{
	double read_us =
		forecast_read_us(query->engine, query->prompt_tokens, 1);
	room_t rooms[SERVERS_MAX];
	int32_t wanted, sum = 0, chosen;
	size_t i, used = 0;

	for (i = 0; i < count && used < SERVERS_MAX; i++) {
		rooms[used] = room_of(&candidates[i], query, read_us);
		used += rooms[used].free > 0;
	}
	if (!used)
		return false;
	qsort(rooms, used, sizeof(*rooms), compare_order);
	wanted = placement_choices(candidates, count, query);
	for (i = 0; i < used && sum < wanted; i++)
		sum += rooms[i].free;
	if (!sum)
		return false;
	chosen = (int32_t)(query->salt % (uint64_t)sum);
	for (i = 0; chosen >= rooms[i].free; i++)
		chosen -= rooms[i].free;
	*placement = (placement_t){
		.count = 1,
		.parts = { rooms[i].candidate },
		.first_event_us = (int64_t)rooms[i].event_us,
		.read_us = { (int64_t)read_us },
	};
	return true;
}
