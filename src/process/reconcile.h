/**
 * @file reconcile.h
 * Orders that bring the engines of a data centre to the models and roles of
 * the configuration.
 *
 * Runs under a lease. Desired state is compared with what the engines report;
 * an order is repeated only when a report taken after its end does not show
 * its effect. After the lease moved, engines that ignore fencing get no order
 * until the orders of the previous holder can no longer take effect and a
 * later report was read; loads of all engines wait as long, since loads of
 * the previous holder still draw on the weight store. Pure.
 */
#ifndef PROCESS_RECONCILE_H
#define PROCESS_RECONCILE_H

#include <stdbool.h>

#include "connection/engine.h"
#include "process/load.h"
#include "version/document.h"

/** Default of order_max_us: 140 GB of weights, a 70B model of 16 bits, at
 * 1 GB/s from the weight store, doubled. */
#define RECONCILE_ORDER_MAX_US (280 * US_PER_S)

/** A failed order is tried again after this time. */
#define RECONCILE_RETRY_US (10 * US_PER_S)

typedef struct reconcile reconcile_t;

typedef enum {
	ORDER_DONE,
	ORDER_STALE, /**< refused: the fencing token is not the newest */
	ORDER_FAILED, /**< refused for another reason, or not sent */
	ORDER_UNKNOWN /**< no answer: it may take effect */
} order_result_t;

typedef struct {
	char data_centre[NAME_SIZE_BYTES];
	int64_t lease_us; /**< duration of the lease */
	int64_t order_max_us; /**< the longest time an engine takes */
} reconcile_conf_t;

reconcile_t *reconcile_create(const reconcile_conf_t *conf);
void reconcile_destroy(reconcile_t *reconcile);

/** Puts a configuration in force; keeps a reference. */
void reconcile_configure(reconcile_t *reconcile, document_t *document);

void reconcile_set_report(reconcile_t *reconcile, const load_report_t *report);

/**
 * This node acquired the lease.
 * @param first there was no earlier holder (lease_is_first())
 */
void reconcile_acquired(reconcile_t *reconcile, int64_t token, bool first,
			int64_t now_us);

/** This node no longer holds the lease; orders stop. */
void reconcile_lost(reconcile_t *reconcile);

/** Takes the next order; false if there is none. Each order must come to a
 * reconcile_result(), ORDER_FAILED if it was not sent. */
bool reconcile_next(reconcile_t *reconcile, order_t *order, int64_t now_us);

/**
 * Whether an order may still be sent. Check it right before sending, with
 * the state of the lease at that time.
 */
bool reconcile_may_send(const reconcile_t *reconcile, const order_t *order,
			bool lease_held, int64_t lease_token);

void reconcile_result(reconcile_t *reconcile, const order_t *order,
		      order_result_t result, int64_t now_us);

/** @return loads that may be drawing on the weight store. */
int32_t reconcile_loads(const reconcile_t *reconcile, int64_t now_us);

#endif
