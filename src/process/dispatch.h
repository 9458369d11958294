/**
 * @file dispatch.h
 * Decides which request goes to which server and when.
 *
 * Combines the queue, the routing, the prefix index and the credits of this
 * node. Pure: time is an argument; decisions are taken with dispatch_next().
 */
#ifndef PROCESS_DISPATCH_H
#define PROCESS_DISPATCH_H

#include <stdbool.h>

#include "process/credit_holder.h"
#include "process/load.h"
#include "process/task_msg.h"

typedef struct dispatch dispatch_t;

/** How servers are chosen; all but the last exist for comparison. */
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
	int32_t queue_max; /**< waiting requests */
} dispatch_conf_t;

/** One decision: TASK_MSG_DISPATCH or TASK_MSG_REFUSE for one request. */
typedef struct {
	uint32_t task; /**< request task to tell */
	task_msg_t message;
} dispatch_action_t;

/** @param holder credits of this node, not owned */
dispatch_t *dispatch_create(const dispatch_conf_t *conf,
			    credit_holder_t *holder);
void dispatch_destroy(dispatch_t *dispatch);

/** Puts a configuration in force; takes a reference of its own. */
void dispatch_configure(dispatch_t *dispatch, document_t *document,
			int64_t now_us);

/** Adds a request; the message stays the caller's. */
void dispatch_submit(dispatch_t *dispatch, uint64_t request,
		     const submit_msg_t *submit, int64_t now_us);
void dispatch_first_token(dispatch_t *dispatch, uint64_t request,
			  const first_token_msg_t *message, int64_t now_us);
void dispatch_finished(dispatch_t *dispatch, uint64_t request,
		       const finished_msg_t *message, int64_t now_us);

/** Takes in a load report, from the server or from its owner's digest. */
void dispatch_apply_report(dispatch_t *dispatch, const load_report_t *report,
			   int64_t now_us);

/** Whether another data centre can be reached now. */
void dispatch_set_reachable(dispatch_t *dispatch, const char *data_centre,
			    bool reachable, int64_t now_us);

/** Prefix blocks that a server now holds, or no longer holds. */
void dispatch_cache_event(dispatch_t *dispatch, const char *server,
			  uint64_t sequence, bool stored, uint64_t block,
			  int64_t now_us);

/** Tries waiting requests again, ends those past their deadline. */
void dispatch_tick(dispatch_t *dispatch, int64_t now_us);

/** Takes the next decision; false if there is none. */
bool dispatch_next(dispatch_t *dispatch, dispatch_action_t *action);

/** @return waiting requests and requests in flight. */
int32_t dispatch_waiting(const dispatch_t *dispatch);
int32_t dispatch_in_flight(const dispatch_t *dispatch);

#endif
