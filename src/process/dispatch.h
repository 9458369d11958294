/**
 * @file dispatch.h
 * Dispatcher: decides which request goes to which server, and when.
 *
 * Combines the queue, the routing, the prefix index and the credits of this
 * node. Pure: the time is an argument, and the caller fetches the decisions
 * with dispatch_next(). Times are microseconds of CLOCK_MONOTONIC.
 */
#ifndef PROCESS_DISPATCH_H
#define PROCESS_DISPATCH_H

#include <stdbool.h>

#include "process/credit_holder.h"
#include "process/load.h"
#include "process/task_msg.h"

typedef struct dispatch dispatch_t;

/** Routing policies. All but ROUTE_COST_LANES exist for comparison only. */
typedef enum {
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_OUTSTANDING,
	ROUTE_COST,
	ROUTE_COST_LANES
} route_policy_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	char data_centre[NAME_SIZE_BYTES];
	route_policy_t policy;
	int32_t queue_max; /**< largest number of waiting requests */
} dispatch_conf_t;

/** One decision: TASK_MSG_DISPATCH or TASK_MSG_REFUSE for one request. */
typedef struct {
	uint32_t task; /**< request task that gets the decision */
	task_msg_t message;
} dispatch_action_t;

/** @param holder credits of this node; the caller frees the holder */
dispatch_t *dispatch_create(const dispatch_conf_t *conf,
			    credit_holder_t *holder);
void dispatch_destroy(dispatch_t *dispatch);

/** Applies a configuration and takes a reference to the document. */
void dispatch_configure(dispatch_t *dispatch, document_t *document,
			int64_t now_us);

/**
 * Adds a request. The dispatcher copies the message, so the caller may free
 * its memory. A request number that is in use already is ignored.
 */
void dispatch_submit(dispatch_t *dispatch, uint64_t request,
		     const submit_msg_t *submit, int64_t now_us);
/** Processes the first token of an attempt. A message that names another
 * attempt than the current one is ignored. */
void dispatch_first_token(dispatch_t *dispatch, uint64_t request,
			  const first_token_msg_t *message, int64_t now_us);
/** Processes the end of an attempt: the request ends or is tried again. */
void dispatch_finished(dispatch_t *dispatch, uint64_t request,
		       const finished_msg_t *message, int64_t now_us);

/** Applies a load report that came from the server itself, or in the digest of
 * the server's credit owner. */
void dispatch_apply_report(dispatch_t *dispatch, const load_report_t *report,
			   int64_t now_us);

/** Records that this node can, or cannot, reach another data centre. */
void dispatch_set_reachable(dispatch_t *dispatch, const char *data_centre,
			    bool reachable, int64_t now_us);

/**
 * Updates the prefix index after a server stored or evicted a prefix block.
 * @param sequence number of the event; a server numbers its events without
 *                 gaps
 * @param stored true if the server now holds the block, false if it no longer
 *               does
 */
void dispatch_cache_event(dispatch_t *dispatch, const char *server,
			  uint64_t sequence, bool stored, uint64_t block,
			  int64_t now_us);

/**
 * Refuses waiting requests that cannot meet their deadline any more, and tries
 * to place the others.
 */
void dispatch_tick(dispatch_t *dispatch, int64_t now_us);

/**
 * Names each request content once that is kept from servers from now on, for
 * the log.
 * @return false if there is none left
 */
bool dispatch_next_blocked(dispatch_t *dispatch, uint64_t *content);

/** Takes the next decision. @return false if no decision is left */
bool dispatch_next(dispatch_t *dispatch, dispatch_action_t *action);

/** @return number of requests in the queue. */
int32_t dispatch_waiting(const dispatch_t *dispatch);
/** @return number of requests sent to a server and not ended. */
int32_t dispatch_in_flight(const dispatch_t *dispatch);

#endif
