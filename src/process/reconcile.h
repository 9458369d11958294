/**
 * @file reconcile.h
 * Reconciler: orders the engines of a data centre to load the models and take
 * the roles of the configuration.
 *
 * The reconciler runs under a lease. It compares the desired state with the
 * load reports of the engines, and repeats an order only when a report taken
 * after the end of the order does not show its effect. After the lease moved to
 * another node, an engine that ignores fencing gets no order until the orders
 * of the previous lease holder can no longer take effect and a later report was
 * received. Model loads of all engines wait as long, since loads ordered by the
 * previous holder may still read from the weight store.
 *
 * The reconciler reads no clock and sends nothing: time is an argument, and
 * reconcile_next() returns the orders to send.
 */
#ifndef PROCESS_RECONCILE_H
#define PROCESS_RECONCILE_H

#include <stdbool.h>

#include "connection/engine.h"
#include "process/load.h"
#include "version/document.h"

/** Default of order_max_us: twice the time to load 140 GB of weights, a
 * model with 70 billion parameters of 16 bits, at 1 GB/s from the weight store.
 */
#define RECONCILE_ORDER_MAX_US (280 * US_PER_S)

/** Time after a failed order until the engine gets the next order. */
#define RECONCILE_RETRY_US (10 * US_PER_S)

typedef struct reconcile reconcile_t;

typedef enum {
	ORDER_DONE, /**< the engine has carried out the order */
	ORDER_STALE, /**< refused: the fencing token is not the newest */
	ORDER_FAILED, /**< refused for another reason, or not sent */
	ORDER_UNKNOWN /**< no answer: the order may still take effect */
} order_result_t;

typedef struct {
	/** Data centre whose engines get orders. */
	char data_centre[NAME_SIZE_BYTES];
	int64_t lease_us; /**< duration of the lease */
	int64_t order_max_us; /**< longest time an engine takes for an order */
} reconcile_conf_t;

reconcile_t *reconcile_create(const reconcile_conf_t *conf);
void reconcile_destroy(reconcile_t *reconcile);

/** Applies a configuration. The reconciler takes a reference of its own to
 * @p document. */
void reconcile_configure(reconcile_t *reconcile, document_t *document);

/** Records a load report of an engine. A report of a server that is not
 * configured, or older than the last report, is ignored. */
void reconcile_set_report(reconcile_t *reconcile, const load_report_t *report);

/**
 * Starts giving orders: this node acquired the lease.
 * @param token fencing token of the lease
 * @param first no node held the lease before (lease_is_first())
 */
void reconcile_acquired(reconcile_t *reconcile, int64_t token, bool first,
			int64_t now_us);

/** Stops giving orders: this node no longer holds the lease. */
void reconcile_lost(reconcile_t *reconcile);

/**
 * Takes the next order. For each order the caller must call
 * reconcile_result(), with ORDER_FAILED if the order was not sent.
 * @return false if no order is due
 */
bool reconcile_next(reconcile_t *reconcile, order_t *order, int64_t now_us);

/**
 * To be called right before an order is sent, with the state of the lease at
 * that time.
 * @param lease_held lease_held() now
 * @param lease_token lease_token() now
 * @return true if the order may still be sent
 */
bool reconcile_may_send(const reconcile_t *reconcile, const order_t *order,
			bool lease_held, int64_t lease_token);

/** Handles the result of an order that reconcile_next() returned. */
void reconcile_result(reconcile_t *reconcile, const order_t *order,
		      order_result_t result, int64_t now_us);

/** @return the number of ordered model loads that may still be reading from the
 *          weight store. */
int32_t reconcile_load_count(const reconcile_t *reconcile, int64_t now_us);

#endif
