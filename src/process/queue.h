/**
 * @file queue.h
 * Waiting requests in the order in which they should be served.
 *
 * Each request gets a due time when it is pushed: the start of its account's
 * next share of service, plus a part of the time to its deadline that is
 * smaller for higher priorities. The due time never changes, so a request
 * rises as time passes, and work with a distant deadline cannot be overtaken
 * for ever by a stream of urgent requests. An account that sends more than its
 * weighted share moves its own start ahead of the clock, not that of others.
 */
#ifndef PROCESS_QUEUE_H
#define PROCESS_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef struct queue queue_t;

/** One waiting request; embed it in the request. */
typedef struct {
	/* set by the caller */
	char account[NAME_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	bool is_long; /**< its wait and slowdown are those of the long lane */
	int32_t weight; /**< of the account, from 1 */
	int32_t priority; /**< of the class, 0 to 100 */
	int64_t cost_tokens; /**< work, from 1 */
	int64_t received_us;
	int64_t deadline_us;
	void *owner;
	/* set by the queue */
	int64_t due_us;
	int64_t share_us; /**< by which it moved its account's next share */
	uint64_t order; /**< of arrival, for equal due times */
	bool queued;
	void *account_state, *lane_state;
} queue_item_t;

queue_t *queue_create(int32_t max);
void queue_destroy(queue_t *queue);

/**
 * Adds a request. One account may use as many places as are free after it,
 * so there is room left for others whatever one account sends.
 * @return false if there is no place for it
 */
bool queue_push(queue_t *queue, queue_item_t *item, int64_t now_us);

/** Puts a request back that was taken out, at its former due time. It needs
 * no free place: it was admitted before. */
void queue_return(queue_t *queue, queue_item_t *item, int64_t now_us);

/** Takes a request out. @param served whether it was sent to a server */
void queue_remove(queue_t *queue, queue_item_t *item, bool served,
		  int64_t now_us);

size_t queue_count(const queue_t *queue);
/** @return the request at a place, 0 being the first to serve. */
queue_item_t *queue_at(const queue_t *queue, size_t place);

/** @return predicted wait behind requests of the service and lane that are due
 * before @p due_us, from the slowdown at which they were served; 0 while that
 * is unknown. */
int64_t queue_wait_us(const queue_t *queue, const char *service, bool is_long,
		      int64_t due_us);

/** @return microseconds per token of cost at which a lane of a service is
 * served while requests wait; 0 while unknown. */
double queue_us_per_token(const queue_t *queue, const char *service,
			  bool is_long);

#endif
