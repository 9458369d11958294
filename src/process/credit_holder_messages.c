#include <stdlib.h>

#include <utlist.h>

#include "process/credit_holder_state.h"

/* Unused parts of blocks go back to the owner after this time without a
 * draw: half a renewal period, so that an idle block is renewed once at
 * most. */
#define IDLE_US (CREDIT_RENEW_US / 2)

/* A waiting use that is not drawn again for this long is given up. */
#define ABANDONED_US CREDIT_LIFETIME_US

static credit_grant_t *find(const credit_entry_t *entry, uint64_t id)
{
	credit_grant_t *grant;

	LL_SEARCH_SCALAR(entry->grants, grant, id, id);
	return grant;
}

/* Returns what is unused and draws nothing more from the grant. */
static void close_grant(credit_holder_t *holder, credit_entry_t *entry,
			credit_grant_t *grant)
{
	grant->closed = true;
	if (!grant_shrink(grant, &entry->resource, &holder->sender))
		credit_entry_drop(entry, grant);
}

/* A grant nobody waits for: withdrawn, expired, or of another process. */
static void refuse_grant(credit_holder_t *holder, const credit_msg_t *message)
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

	if (grant->ask_sequence != message->sequence)
		return; /* answers an earlier message */
	if (lifetime_us > CREDIT_LIFETIME_US)
		lifetime_us = CREDIT_LIFETIME_US;
	grant->ask_sequence = 0;
	grant->expires_us = grant->ask_sent_us + lifetime_us;
	if (grant->state == GRANT_ASKED && grant->expires_us <= now_us) {
		credit_entry_give_up(holder, entry, grant);
		return;
	}
	grant->renew_us = grant->ask_sent_us + lifetime_us / 2;
	if (grant->state == GRANT_ASKED) {
		grant->amount = credit_min(grant->amount, message->amount);
		grant->server_incarnation = message->server_incarnation;
	}
	grant->state = GRANT_HELD;
	credit_entry_expire(holder, entry, now_us);
	if (message->retry_after_us && find(entry, message->id))
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
	if (!message->sequence || grant->ask_sequence != message->sequence)
		return;
	grant->ask_sequence = 0;
	if (grant->state == GRANT_ASKED) {
		grant->state = GRANT_REFUSED;
		grant->retry_us = retry_us;
	}
	grant->renew_us = retry_us;
	grant->repeat_us = retry_us;
}

/* Requests start again under a new id: an answer of the old owner must not
 * be taken for one of the new owner. */
static void ask_again(credit_holder_t *holder, credit_entry_t *entry,
		      credit_grant_t *grant, int64_t now_us)
{
	if (!++holder->sender.next_id)
		holder->sender.next_id++;
	grant->id = holder->sender.next_id;
	grant->ask_sequence = 0;
	grant_ask(grant, &entry->resource, &holder->sender, now_us);
}

/* Presents every grant and ends the list with the owner's number. */
static void present_all(credit_holder_t *holder, const resource_t *resource,
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
		if (grant->state != GRANT_HELD && grant->state != GRANT_LAPSED)
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

	present_all(holder, resource, 0, now_us);
	LL_FOREACH (entry ? entry->grants : NULL, grant)
		if (grant->state == GRANT_ASKED ||
		    grant->state == GRANT_REFUSED)
			ask_again(holder, entry, grant, now_us);
}

void credit_holder_receive(credit_holder_t *holder, const credit_msg_t *message,
			   int64_t now_us)
{
	credit_entry_t *entry;
	credit_grant_t *grant = NULL;

	if (!credit_msg_valid(message))
		return;
	if (message->type == CREDIT_REFUSAL && !message->id) {
		present_all(holder, &message->resource, message->sequence,
			    now_us);
		return;
	}
	entry = credit_entry_find(holder, &message->resource);
	if (entry) {
		credit_entry_expire(holder, entry, now_us);
		grant = find(entry, message->id);
	}
	if (message->type == CREDIT_GRANT && grant)
		receive_grant(holder, entry, grant, message, now_us);
	else if (message->type == CREDIT_GRANT)
		refuse_grant(holder, message);
	else if (message->type == CREDIT_REFUSAL && grant)
		receive_refusal(holder, entry, grant, message, now_us);
}

static bool is_idle(const credit_entry_t *entry, int64_t now_us)
{
	return now_us - entry->last_draw_us >= IDLE_US;
}

/* Whether nobody has called for the request for a long time. */
static bool is_abandoned(const credit_entry_t *entry,
			 const credit_grant_t *grant, int64_t now_us)
{
	credit_use_t *use = NULL;

	if (grant->reserved)
		HASH_FIND(hh, entry->uses, &grant->use, sizeof(grant->use),
			  use);
	return now_us - (use ? use->last_us : entry->last_draw_us) >=
	       ABANDONED_US;
}

static void tick_held(credit_holder_t *holder, credit_entry_t *entry,
		      credit_grant_t *grant, int64_t now_us)
{
	bool rate = credit_entry_is_rate(entry);

	if (grant->reserved && credit_is_zero(grant->used) &&
	    is_abandoned(entry, grant, now_us)) {
		credit_entry_give_up(holder, entry, grant);
		return;
	}
	/* Rates are not renewed: what is left goes back before it expires. */
	if ((!rate && is_idle(entry, now_us)) ||
	    (rate && now_us >= grant->renew_us)) {
		if (!grant_shrink(grant, &entry->resource, &holder->sender)) {
			credit_entry_drop(entry, grant);
			return;
		}
	}
	if (rate)
		return;
	if (grant->ask_sequence ? now_us >= grant->repeat_us
				: now_us >= grant->renew_us)
		grant_ask(grant, &entry->resource, &holder->sender, now_us);
}

static void tick_grant(credit_holder_t *holder, credit_entry_t *entry,
		       credit_grant_t *grant, int64_t now_us)
{
	switch (grant->state) {
	case GRANT_ASKED:
	case GRANT_REFUSED:
		if (is_abandoned(entry, grant, now_us))
			credit_entry_give_up(holder, entry, grant);
		else if (grant->state == GRANT_ASKED &&
			 now_us >= grant->repeat_us)
			grant_ask(grant, &entry->resource, &holder->sender,
				  now_us);
		break;
	case GRANT_HELD:
		tick_held(holder, entry, grant, now_us);
		break;
	case GRANT_LAPSED:
		if (now_us >= grant->repeat_us)
			grant_ask(grant, &entry->resource, &holder->sender,
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
			credit_entry_drop_use(entry, use);
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
		/* The counts of a holder must not start again at 0. */
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
			else if (grant->state != GRANT_LAPSED)
				credit_entry_give_up(holder, entry, grant);
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
	/* Returns no grant, but carries the counts. */
	grant_return(0, resource, nothing, nothing, &holder->sender);
	/*
	 * The server may have restarted cold: what was granted before is no
	 * longer what it bears.
	 */
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
