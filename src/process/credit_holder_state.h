/**
 * @file credit_holder_state.h
 * State of the credit holder. Internal: shared by the part that serves draws
 * (credit_holder.c) and the part that talks to owners
 * (credit_holder_messages.c).
 */
#ifndef PROCESS_CREDIT_HOLDER_STATE_H
#define PROCESS_CREDIT_HOLDER_STATE_H

#include <uthash.h>

#include "process/credit_grant.h"
#include "process/credit_holder.h"

/** One use: waiting, or drawn from a grant. */
typedef struct {
	uint64_t use;
	credit_amount_t amount;
	credit_grant_t *grant; /**< NULL: waits for a block, or an account */
	bool drawn;
	int64_t last_us; /**< last call for it while it waits */
	UT_hash_handle hh;
} credit_use_t;

/** What this node holds of one resource. */
typedef struct {
	resource_t resource;
	credit_grant_t *grants;
	credit_use_t *uses;
	int64_t last_draw_us;
	uint64_t completed;
	uint64_t failed;
	UT_hash_handle hh;
} credit_entry_t;

struct credit_holder {
	credit_holder_conf_t conf;
	credit_sender_t sender;
	credit_entry_t *entries;
};

/** @return what is held of a resource, or NULL. */
credit_entry_t *credit_entry_find(const credit_holder_t *holder,
				  const resource_t *resource);

/** @return what is held of a resource; a new entry if there is none. */
credit_entry_t *credit_entry_get(credit_holder_t *holder,
				 const resource_t *resource);
void credit_entry_destroy(credit_holder_t *holder, credit_entry_t *entry);

/** @return whether this is a rate, which draws spend for good. */
bool credit_entry_is_rate(const credit_entry_t *entry);

/** Forgets a use. */
void credit_entry_drop_use(credit_entry_t *entry, credit_use_t *use);

/** Forgets a grant that no drawn use needs. */
void credit_entry_drop(credit_entry_t *entry, credit_grant_t *grant);

/** Returns a whole grant, or withdraws a request, and forgets it. */
void credit_entry_give_up(credit_holder_t *holder, credit_entry_t *entry,
			  credit_grant_t *grant);

/**
 * Drops grants that have expired. One that is in use stays known as
 * GRANT_LAPSED and is presented, so that its owner counts what still runs.
 */
void credit_entry_expire(credit_holder_t *holder, credit_entry_t *entry,
			 int64_t now_us);

#endif
