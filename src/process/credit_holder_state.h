/**
 * @file credit_holder_state.h
 * State of the credit holder. Internal: shared by credit_holder.c, which
 * serves draws, and credit_holder_messages.c, which exchanges messages with
 * the owners.
 */
#ifndef PROCESS_CREDIT_HOLDER_STATE_H
#define PROCESS_CREDIT_HOLDER_STATE_H

#include <uthash.h>

#include "process/credit_grant.h"
#include "process/credit_holder.h"

/** Use of a resource by one attempt of a request: waiting or drawn. */
typedef struct {
	uint64_t id; /**< request number and attempt */
	credit_amount_t amount;
	/** Grant that the use draws from, or its reservation. NULL: the use
	 * waits for a block, or drew from a rate whose grant is removed. */
	credit_grant_t *grant;
	bool drawn; /**< false: the use waits for the owner */
	int64_t last_us; /**< time of the last draw call while it waits */
	UT_hash_handle hh;
} credit_use_t;

/** Grants and uses of one resource at this node. */
typedef struct {
	resource_t resource;
	credit_grant_t *grants; /**< list; NULL: none */
	credit_use_t *uses; /**< hash table by id; NULL: none */
	int64_t last_draw_us; /**< time of the last draw call */
	uint64_t completed; /**< requests completed, since the node started */
	uint64_t failed; /**< requests failed, since the node started */
	UT_hash_handle hh;
} credit_entry_t;

struct credit_holder {
	credit_holder_conf_t conf;
	credit_sender_t sender;
	credit_entry_t *entries; /**< hash table by resource; NULL: none */
};

/** @return the entry of a resource; NULL if there is none. */
credit_entry_t *credit_entry_find(const credit_holder_t *holder,
				  const resource_t *resource);

/** @return the entry of a resource, created if there is none. */
credit_entry_t *credit_entry_get(credit_holder_t *holder,
				 const resource_t *resource);
void credit_entry_destroy(credit_holder_t *holder, credit_entry_t *entry);

/** @return true if the resource is an account: its rate is spent by a draw
 *          and does not come back when the use ends. */
bool credit_entry_is_rate(const credit_entry_t *entry);

void credit_entry_remove_use(credit_entry_t *entry, credit_use_t *use);

/** Frees a grant that no drawn use needs, without a message. */
void credit_entry_remove_grant(credit_entry_t *entry, credit_grant_t *grant);

/** Returns a whole grant, or withdraws a request, and frees the grant. */
void credit_entry_return_grant(credit_holder_t *holder, credit_entry_t *entry,
			       credit_grant_t *grant);

/**
 * Removes grants that have expired. A grant of a server or of weight loads that
 * is in use stays as GRANT_EXPIRED and is presented, so that the owner counts
 * the amount that still runs.
 */
void credit_entry_expire(credit_holder_t *holder, credit_entry_t *entry,
			 int64_t now_us);

#endif
