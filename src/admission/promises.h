/**
 * @file promises.h
 * Promises: refused requests that were told when to retry, and the prefill that
 * is reserved for them. Pure: time is an argument; no clock, socket or log.
 *
 * The load it answers: long prompts that are refused because prefill is queued
 * on all servers, and are retried, often at another node. Without a record of
 * the refusal a retry is last in the queue again, behind requests that came
 * later.
 *
 * A promise is known by the content id of the request. The node that made it
 * announces it; the others merge what they hear. A promise is used once, by the
 * first request with its content that arrives at its time, at any node. That
 * node announces the use: as a promise without prefill, which reserves nothing.
 */
#ifndef ADMISSION_PROMISES_H
#define ADMISSION_PROMISES_H

#include <stddef.h>
#include <stdint.h>

#include "process/announced.h"

/** Promises that a node keeps, its own and those of others; about 16 s of
 * refusals of a fleet that refuses 250 requests a second. */
enum { PROMISES_MAX = 4096 };

typedef struct promises promises_t;

/** A request that is refused for load. */
typedef struct {
	uint64_t content; /**< content id */
	uint32_t service_hash;
	int64_t prefill_us; /**< prefill that it needs */
	int64_t serve_us; /**< time until its first event on a server without
			   * prefill backlog */
	int64_t left_us; /**< time left until the caller stops waiting */
	int64_t backlog_us; /**< mean prefill backlog of the less loaded half of
			     * the servers */
	size_t servers; /**< over which promised prefill is spread */
	int64_t least_us; /**< shortest useful time until the retry */
	uint64_t salt; /**< random */
} refusal_t;

/** What became of a refusal. */
typedef enum {
	PROMISE_MADE,
	/** Requests with this content share a promise that is open. */
	PROMISE_SHARED,
	/** No promise: capacity will be free too late for the caller. */
	PROMISE_LATE,
	PROMISE_FULL /**< no promise: PROMISES_MAX are kept */
} promise_result_t;

/** What a refused caller is told. */
typedef struct {
	promise_result_t result;
	int64_t retry_us; /**< time until the retry */
	int64_t promised_us; /**< prefill promised to others before it */
} promise_t;

/** What a request finds when it arrives. */
typedef enum {
	RETURN_NONE, /**< there is no open promise */
	RETURN_EARLY, /**< its time has not come; the promise stays open */
	RETURN_TAKEN /**< the promise is used by this request */
} return_t;

promises_t *promises_create(void);
void promises_destroy(promises_t *promises);

/**
 * Decides when a refused request is to return, and records it.
 *
 * The time is that until the backlog and the prefill promised to others before
 * it are done, plus a random part of up to a quarter. It is at most a third of
 * the time left, and leaves the request time to be served. If they are not done
 * by then, nothing is reserved: capacity that is promised twice makes all that
 * return late.
 */
promise_t promises_add(promises_t *promises, const refusal_t *refusal,
		       int64_t now_us);
/** Uses the promise of a request that arrives, if its time has come. */
return_t promises_take(promises_t *promises, uint64_t content, int64_t now_us);
/** Merges a promise that another node made, or the use of one. */
void promises_receive(promises_t *promises, const promise_report_t *report,
		      int64_t now_us);
/**
 * Lists promises that this node made or used, for announcements: those that
 * were listed least often first, and among these the next to return.
 * @return the number of reports
 */
size_t promises_list(promises_t *promises, promise_report_t *reports,
		     size_t max, int64_t now_us);

/** Which promises to add up. */
typedef struct {
	uint32_t service_hash;
	uint64_t except; /**< content id of the request that asks */
	int64_t within_us; /**< of promises that return within this time */
} promised_query_t;

/** @return sum of the prefill of open promises */
int64_t promises_prefill_us(const promises_t *promises,
			    const promised_query_t *query, int64_t now_us);
/** Removes promises whose time passed 2 s ago.
 * @return the number of those made here that were not used */
size_t promises_expire(promises_t *promises, int64_t now_us);
/** @return the number of open promises */
size_t promises_open_count(const promises_t *promises);

#endif
