/**
 * @file queue.h
 * Queue of waiting requests, ordered by due time.
 *
 * Each request gets a due time when it is pushed: the start time of its
 * account (when the account may be served next), plus a fraction of the time to
 * the request's deadline that is smaller for higher priorities. The due time
 * never changes, so a request advances as time passes, and a stream of urgent
 * requests cannot starve a request with a distant deadline. An account that
 * sends more than its weighted share moves only its own start time ahead of the
 * clock, not that of other accounts.
 */
#ifndef PROCESS_QUEUE_H
#define PROCESS_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef struct queue queue_t;

/** One waiting request; the caller embeds it in its request struct. */
typedef struct {
	/* Set by the caller: */
	char account[NAME_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	bool is_long; /**< the prompt belongs to the long lane */
	int32_t weight; /**< weight of the account, at least 1 */
	int32_t priority; /**< priority of the class, 0 to 100 */
	int64_t cost_tokens; /**< cost of the request, at least 1 */
	int64_t received_us;
	int64_t deadline_us;
	void *owner; /**< request that embeds the item */
	/* Set by the queue: */
	int64_t due_us; /**< time that orders the queue */
	int64_t charged_us; /**< delay charged to the account */
	uint64_t order; /**< order of arrival, breaks ties of due_us */
	bool queued;
	void *account_state, *lane_state; /**< state that the queue keeps
					     for the account and the
					     lane of the item */
} queue_item_t;

/** @param max waiting requests that queue_push() admits */
queue_t *queue_create(int32_t max);
void queue_destroy(queue_t *queue);

/**
 * Adds a request. One account may use at most as many places as stay free, so
 * that a single account cannot fill the queue.
 * @return false if the queue, or the account's share of it, is full
 */
bool queue_push(queue_t *queue, queue_item_t *item, int64_t now_us);

/** Reinserts a request that was removed, at its former due time. The request
 * was admitted before, so this succeeds even if the queue is full. */
void queue_return(queue_t *queue, queue_item_t *item, int64_t now_us);

/**
 * Removes a request.
 * @param served true if the request was sent to a server; otherwise its account
 *               is not charged
 */
void queue_remove(queue_t *queue, queue_item_t *item, bool served,
		  int64_t now_us);

size_t queue_count(const queue_t *queue);
/**
 * @param place index in the order of service; 0: the first request to serve
 * @return the request, or NULL beyond the end of the queue
 */
queue_item_t *queue_at(const queue_t *queue, size_t place);

/** @return predicted wait behind the requests of the service and lane that are
 * due before @p due_us, from the measured service rate; 0 while the rate is
 * unknown. */
int64_t queue_wait_us(const queue_t *queue, const char *service, bool is_long,
		      int64_t due_us);

/** @return service rate of a lane of a service while requests wait, in
 * microseconds per token of cost; 0 while unknown. */
double queue_us_per_token(const queue_t *queue, const char *service,
			  bool is_long);

#endif
