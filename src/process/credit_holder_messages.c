#include <stdlib.h>

#include <utlist.h>

#include "process/credit_holder_state.h"

/* Time without a draw after which the unused amount of a block is returned to
 * the owner: half a renewal period, so that an idle block is renewed once at
 * most. */
#define IDLE_US (CREDIT_RENEW_US / 2)

/* A waiting use without a new draw call for this time is abandoned. */
#define ABANDONED_US CREDIT_LIFETIME_US

static credit_grant_t *find_grant(const credit_entry_t *entry, uint64_t id)
{
	credit_grant_t *grant;

	LL_SEARCH_SCALAR(entry->grants, grant, id, id);
	return grant;
}

/* Returns the unused amount of a grant and stops new draws from it. */
static void close_grant(credit_holder_t *holder, credit_entry_t *entry,
			credit_grant_t *grant)
{
	grant->closed = true;
	if (!grant_return_unused(grant, &entry->resource, &holder->sender))
		credit_entry_remove_grant(entry, grant);
}

/* Returns a grant without an entry here: its request was withdrawn, or the
 * grant expired, or it was requested by another process of this VM. */
static void return_unknown_grant(credit_holder_t *holder,
				 const credit_msg_t *message)
{
	credit_amount_t nothing = { 0 };

	grant_return(message->id, &message->resource, message->amount, nothing,
		     &holder->sender);
}

static void receive_grant(credit_holder_t *holder, credit_entry_t *entry,
			  credit_grant_t *grant, const credit_msg_t *message,
			  int64_t now_us)
{
	int64_t lifetime_us = message->lifetime_us;

	if (grant->request_sequence != message->sequence)
		return; /* the answer is to an earlier message */
	if (lifetime_us > CREDIT_LIFETIME_US)
		lifetime_us = CREDIT_LIFETIME_US;
	grant->request_sequence = 0;
	grant->expires_us = grant->request_sent_us + lifetime_us;
	if (grant->state == GRANT_REQUESTED && grant->expires_us <= now_us) {
		credit_entry_return_grant(holder, entry, grant);
		return;
	}
	grant->renew_us = grant->request_sent_us + lifetime_us / 2;
	if (grant->state == GRANT_REQUESTED) {
		grant->amount = credit_min(grant->amount, message->amount);
		grant->server_incarnation = message->server_incarnation;
	}
	grant->state = GRANT_HELD;
	credit_entry_expire(holder, entry, now_us);
	if (message->retry_after_us && find_grant(entry, message->id))
		close_grant(holder, entry, grant);
}

static void receive_refusal(credit_holder_t *holder, credit_entry_t *entry,
			    credit_grant_t *grant, const credit_msg_t *message,
			    int64_t now_us)
{
	int64_t retry_us = now_us + message->retry_after_us;

	if (!message->sequence && grant->state == GRANT_HELD) {
		close_grant(holder, entry, grant);
		return;
	}
	if (!message->sequence || grant->request_sequence != message->sequence)
		return;
	grant->request_sequence = 0;
	if (grant->state == GRANT_REQUESTED) {
		grant->state = GRANT_REFUSED;
		grant->retry_us = retry_us;
	}
	grant->renew_us = retry_us;
	grant->repeat_us = retry_us;
}

/* Requests a grant from a new owner under a new id, so that an answer of the
 * old owner is not taken for an answer of the new owner. */
static void request_again(credit_holder_t *holder, credit_entry_t *entry,
			  credit_grant_t *grant, int64_t now_us)
{
	if (!++holder->sender.last_id)
		holder->sender.last_id++;
	grant->id = holder->sender.last_id;
	grant->request_sequence = 0;
	grant_send(grant, &entry->resource, &holder->sender, now_us);
}

/* Presents every grant of a resource. The end of the list has the number of
 * the owner's request for the list; 0: the owner did not request it. */
static void present_grants(credit_holder_t *holder, const resource_t *resource,
			   uint64_t sequence, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_find(holder, resource);
	credit_amount_t digest = { 0 };
	credit_grant_t *grant;

	if (resource->kind == RESOURCE_ACCOUNT)
		return;
	if (entry)
		credit_entry_expire(holder, entry, now_us);
	LL_FOREACH (entry ? entry->grants : NULL, grant) {
		if (grant->state != GRANT_HELD && grant->state != GRANT_EXPIRED)
			continue;
		digest = credit_digest(digest, grant->id);
		grant_present(grant, resource, &holder->sender, now_us);
	}
	grant_present_end(resource, digest, sequence, &holder->sender);
}

void credit_holder_owner_changed(credit_holder_t *holder,
				 const resource_t *resource, int64_t now_us)
{
	credit_entry_t *entry = credit_entry_find(holder, resource);
	credit_grant_t *grant;

	present_grants(holder, resource, 0, now_us);
	LL_FOREACH (entry ? entry->grants : NULL, grant)
		if (grant->state == GRANT_REQUESTED ||
		    grant->state == GRANT_REFUSED)
			request_again(holder, entry, grant, now_us);
}

void credit_holder_receive(credit_holder_t *holder, const credit_msg_t *message,
			   int64_t now_us)
{
	credit_entry_t *entry;
	credit_grant_t *grant = NULL;

	if (!credit_msg_valid(message))
		return;
	if (message->type == CREDIT_REFUSAL && !message->id) {
		present_grants(holder, &message->resource, message->sequence,
			       now_us);
		return;
	}
	entry = credit_entry_find(holder, &message->resource);
	if (entry) {
		credit_entry_expire(holder, entry, now_us);
		grant = find_grant(entry, message->id);
	}
	if (message->type == CREDIT_GRANT && grant)
		receive_grant(holder, entry, grant, message, now_us);
	else if (message->type == CREDIT_GRANT)
		return_unknown_grant(holder, message);
	else if (message->type == CREDIT_REFUSAL && grant)
		receive_refusal(holder, entry, grant, message, now_us);
}

static bool is_idle(const credit_entry_t *entry, int64_t now_us)
{
	return now_us - entry->last_draw_us >= IDLE_US;
}

/* Returns true if the uses of a grant were not drawn for ABANDONED_US: the use
 * of a reservation, or any use of the resource for a block. */
static bool is_abandoned(const credit_entry_t *entry,
			 const credit_grant_t *grant, int64_t now_us)
{
	credit_use_t *use = NULL;

	if (grant->reserved)
		HASH_FIND(hh, entry->uses, &grant->use_id,
			  sizeof(grant->use_id), use);
	return now_us - (use ? use->last_us : entry->last_draw_us) >=
	       ABANDONED_US;
}

static void tick_held(credit_holder_t *holder, credit_entry_t *entry,
		      credit_grant_t *grant, int64_t now_us)
{
	bool rate = credit_entry_is_rate(entry);

	if (grant->reserved && credit_is_zero(grant->used) &&
	    is_abandoned(entry, grant, now_us)) {
		credit_entry_return_grant(holder, entry, grant);
		return;
	}
	/* A rate is not renewed: its unused amount is returned when a renewal
	 * would be due, before the grant expires. */
	if ((!rate && is_idle(entry, now_us)) ||
	    (rate && now_us >= grant->renew_us)) {
		if (!grant_return_unused(grant, &entry->resource,
					 &holder->sender)) {
			credit_entry_remove_grant(entry, grant);
			return;
		}
	}
	if (rate)
		return;
	if (grant->request_sequence ? now_us >= grant->repeat_us
				    : now_us >= grant->renew_us)
		grant_send(grant, &entry->resource, &holder->sender, now_us);
}

static void tick_grant(credit_holder_t *holder, credit_entry_t *entry,
		       credit_grant_t *grant, int64_t now_us)
{
	switch (grant->state) {
	case GRANT_REQUESTED:
	case GRANT_REFUSED:
		if (is_abandoned(entry, grant, now_us))
			credit_entry_return_grant(holder, entry, grant);
		else if (grant->state == GRANT_REQUESTED &&
			 now_us >= grant->repeat_us)
			grant_send(grant, &entry->resource, &holder->sender,
				   now_us);
		break;
	case GRANT_HELD:
		tick_held(holder, entry, grant, now_us);
		break;
	case GRANT_EXPIRED:
		if (now_us >= grant->repeat_us)
			grant_send(grant, &entry->resource, &holder->sender,
				   now_us);
		break;
	}
}

static void drop_abandoned_uses(credit_entry_t *entry, int64_t now_us)
{
	credit_use_t *use, *next;

	HASH_ITER (hh, entry->uses, use, next)
		if (!use->drawn && !use->grant &&
		    now_us - use->last_us >= ABANDONED_US)
			credit_entry_remove_use(entry, use);
}

void credit_holder_tick(credit_holder_t *holder, int64_t now_us)
{
	credit_entry_t *entry, *next_entry;
	credit_grant_t *grant, *next;

	HASH_ITER (hh, holder->entries, entry, next_entry) {
		credit_entry_expire(holder, entry, now_us);
		LL_FOREACH_SAFE (entry->grants, grant, next)
			tick_grant(holder, entry, grant, now_us);
		drop_abandoned_uses(entry, now_us);
		/* The owner expects running totals, so an entry with counts
		 * stays: they must not start again at 0. */
		if (!entry->grants && !entry->uses && !entry->completed &&
		    !entry->failed)
			credit_entry_destroy(holder, entry);
	}
}

void credit_holder_return_all(credit_holder_t *holder, int64_t now_us)
{
	credit_entry_t *entry, *next_entry;
	credit_grant_t *grant, *next;

	HASH_ITER (hh, holder->entries, entry, next_entry) {
		credit_entry_expire(holder, entry, now_us);
		LL_FOREACH_SAFE (entry->grants, grant, next) {
			if (grant->state == GRANT_HELD)
				close_grant(holder, entry, grant);
			else if (grant->state != GRANT_EXPIRED)
				credit_entry_return_grant(holder, entry, grant);
		}
	}
}

void credit_holder_request_ended(credit_holder_t *holder,
				 const resource_t *resource, bool completed)
{
	credit_amount_t nothing = { 0 };
	credit_entry_t *entry = credit_entry_get(holder, resource);
	credit_grant_t *grant, *next;

	if (completed) {
		entry->completed++;
		return;
	}
	entry->failed++;
	/* Id 0: returns no grant, only sends the counts to the owner. */
	grant_return(0, resource, nothing, nothing, &holder->sender);
	/* The server may have restarted cold and then takes less load than
	 * the amount granted before the failure. */
	LL_FOREACH_SAFE (entry->grants, grant, next)
		if (grant->state == GRANT_HELD)
			close_grant(holder, entry, grant);
}

bool credit_holder_next(credit_holder_t *holder, credit_msg_t *message)
{
	const credit_entry_t *entry;

	if (!credit_queue_take(&holder->sender.queue, message))
		return false;
	entry = credit_entry_find(holder, &message->resource);
	if (entry) {
		message->completed = entry->completed;
		message->failed = entry->failed;
	}
	return true;
}
