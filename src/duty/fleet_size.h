/**
 * @file fleet_size.h
 * How many servers of a service are wanted in each data centre. Pure.
 *
 * Answers loads that stay above what the servers bear: an ordered server takes
 * seconds to start, is cold at first, and is paid for until it is given back,
 * so bursts shorter than that are left to queueing and refusing. Orders go up
 * after a short time of need, and down, late, only to servers that were
 * ordered before.
 */
#ifndef DUTY_FLEET_SIZE_H
#define DUTY_FLEET_SIZE_H

#include <jansson.h>
#include <stdbool.h>

#include "duty/answer.h"
#include "process/region.h"

typedef struct fleet_size fleet_size_t;

/** What the platform allows, for each data centre. */
typedef struct {
	int32_t min, max;
	int64_t startup_us; /**< until an ordered server serves */
} fleet_limits_t;

/** What is known of a service now, over all data centres. */
typedef struct {
	int32_t servers[REGION_DATA_CENTRES_MAX]; /**< that take requests */
	int32_t slots; /**< of all of them */
	int32_t used; /**< requests and parts that run, or wait */
	int64_t pending_us; /**< prefill that waits, over all servers */
} fleet_load_t;

/** One order. */
typedef struct {
	size_t data_centre; /**< index in the region */
	int32_t count;
} fleet_order_t;

fleet_size_t *fleet_size_create(const region_t *region);
void fleet_size_destroy(fleet_size_t *fleet);

/** Goes on from what the holder before ordered; NULL: nothing. */
void fleet_size_take_over(fleet_size_t *fleet, const json_t *state);
/** @return the orders that hold; a new reference */
json_t *fleet_size_state(const fleet_size_t *fleet);

/**
 * Takes a look at the load in. Call it several times a second.
 * @return whether other numbers are wanted now: the state changed
 */
bool fleet_size_look(fleet_size_t *fleet, const fleet_limits_t *limits,
		     const fleet_load_t *load, int64_t now_us);
/** @return false if no order is to be sent now */
bool fleet_size_next(const fleet_size_t *fleet, int64_t now_us,
		     fleet_order_t *order);
void fleet_size_answered(fleet_size_t *fleet, const fleet_order_t *order,
			 duty_answer_t answer, int64_t now_us);

#endif
