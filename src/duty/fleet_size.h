/**
 * @file fleet_size.h
 * Decides how many servers of a service to order in each data centre. Does no
 * I/O; time is an argument.
 *
 * Reacts to loads that stay above the capacity of the servers. An ordered
 * server takes seconds to start, is cold at first, and costs money until it is
 * given back, so requests of shorter bursts are only queued or refused. The
 * number is raised after a short time of overload. It is lowered after a longer
 * time, and only where this module ordered the servers.
 */
#ifndef DUTY_FLEET_SIZE_H
#define DUTY_FLEET_SIZE_H

#include <jansson.h>
#include <stdbool.h>

#include "duty/answer.h"
#include "process/region.h"

typedef struct fleet_size fleet_size_t;

/** What the platform allows in each data centre. */
typedef struct {
	int32_t min, max; /**< fewest, most servers; max <= 0: none */
	int64_t startup_us; /**< time from the order of a server until the
			       server is ready */
} fleet_limits_t;

/** Present load of a service. */
typedef struct {
	int32_t servers[REGION_DATA_CENTRES_MAX]; /**< ready servers */
	int32_t slots; /**< request slots of all ready servers */
	int32_t used; /**< requests and prompt shards that run or wait */
	int64_t backlog_us; /**< prefill backlog of all servers, summed */
} service_load_t;

/** Order for the number of servers in one data centre. */
typedef struct {
	size_t data_centre; /**< index in the region */
	int32_t count; /**< servers that the data centre is to have */
} fleet_order_t;

fleet_size_t *fleet_size_create(const region_t *region);
void fleet_size_destroy(fleet_size_t *fleet);

/**
 * Replaces all orders by those of the previous lease holder.
 * @param state from fleet_size_state() there; NULL: no orders
 */
void fleet_size_take_over(fleet_size_t *fleet, const json_t *state);
/** @return all orders in force, by data centre; a new reference */
json_t *fleet_size_state(const fleet_size_t *fleet);

/**
 * Adapts the orders to the present load. Call it several times a second.
 * @return true if an order, and so the state, changed
 */
bool fleet_size_update(fleet_size_t *fleet, const fleet_limits_t *limits,
		       const service_load_t *load, int64_t now_us);
/**
 * Gets the next order to send.
 * @return false if no order is to be sent now
 */
bool fleet_size_next(const fleet_size_t *fleet, int64_t now_us,
		     fleet_order_t *order);
/** Takes in the platform's answer to an order. */
void fleet_size_answered(fleet_size_t *fleet, const fleet_order_t *order,
			 duty_answer_t answer, int64_t now_us);

#endif
