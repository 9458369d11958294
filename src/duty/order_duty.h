/**
 * @file order_duty.h
 * Orders of servers, for all services whose number of servers can be ordered.
 * fleet_size.h decides the numbers.
 */
#ifndef DUTY_ORDER_DUTY_H
#define DUTY_ORDER_DUTY_H

#include "duty/fleet_size.h"

struct gateway;
typedef struct order_duty order_duty_t;

/** Order to send; the strings are borrowed. */
typedef struct {
	const char *service;
	const char *data_centre;
	fleet_order_t order;
} server_order_t;

order_duty_t *order_duty_create(struct gateway *gateway);
void order_duty_destroy(order_duty_t *duty);

/**
 * Replaces all orders by those of the previous lease holder.
 * @param state from order_duty_state() there; NULL: no orders
 */
void order_duty_take_over(order_duty_t *duty, const json_t *state);
/** @return all orders in force, by service; a new reference */
json_t *order_duty_state(const order_duty_t *duty);

/**
 * Adapts the orders of all services to their present load.
 * @return true if the state changed
 */
bool order_duty_update(order_duty_t *duty, int64_t now_us);
/**
 * Gets the next order to send.
 * @return false if no order is to be sent now
 */
bool order_duty_next(const order_duty_t *duty, int64_t now_us,
		     server_order_t *order);
/** Takes in the platform's answer to an order. */
void order_duty_answered(order_duty_t *duty, const server_order_t *order,
			 duty_answer_t answer, int64_t now_us);

#endif
