/**
 * @file order_duty.h
 * Orders for the servers of all services whose number can be ordered; see
 * fleet_size.h for what is ordered.
 */
#ifndef DUTY_ORDER_DUTY_H
#define DUTY_ORDER_DUTY_H

#include "duty/fleet_size.h"

struct gateway;
typedef struct order_duty order_duty_t;

/** What is to be ordered; the service is borrowed. */
typedef struct {
	const char *service;
	const char *data_centre;
	fleet_order_t order;
} server_order_t;

order_duty_t *order_duty_create(struct gateway *gateway);
void order_duty_destroy(order_duty_t *duty);

/** Goes on from what the holder before ordered; NULL: nothing. */
void order_duty_take_over(order_duty_t *duty, const json_t *state);
/** @return the orders that hold; a new reference */
json_t *order_duty_state(const order_duty_t *duty);

/** Looks at the load of all services. @return whether the state changed */
bool order_duty_look(order_duty_t *duty, int64_t now_us);
/** @return false if no order is to be sent now */
bool order_duty_next(const order_duty_t *duty, int64_t now_us,
		     server_order_t *order);
void order_duty_answered(order_duty_t *duty, const server_order_t *order,
			 duty_answer_t answer, int64_t now_us);

#endif
