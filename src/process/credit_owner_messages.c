#include <stdlib.h>

#include <utlist.h>

#include "base/mem.h"
#include "process/credit_owner_state.h"

/* A refused holder asks again after this time: a few round trips within a
 * data centre, and short against a time to first token of 780 ms. */
#define RETRY_US (20 * US_PER_MS)
#define RETRY_QUARANTINE_US (100 * US_PER_MS)
#define RETRY_RETIRED_US US_PER_S

/* A request that was refused for this long is served next: until then large
 * reservations could wait for good while small ones take what is returned. */
#define WAIT_US US_PER_S

/* A waiting request blocks the others for at most this long at a time. */
#define WAIT_HOLD_US (5 * US_PER_S)

static credit_msg_t *answer(credit_owner_t *owner, const credit_msg_t *message,
			    credit_msg_type_t type, credit_amount_t amount,
			    int64_t retry_after_us)
{
	credit_msg_t reply = *message;

	reply.type = type;
	reply.amount = amount;
	reply.lifetime_us = type == CREDIT_GRANT ? CREDIT_LIFETIME_US : 0;
	reply.retry_after_us = retry_after_us;
	return credit_queue_add(&owner->queue, &reply);
}

static void refuse(credit_owner_t *owner, const credit_msg_t *message,
		   int64_t retry_after_us)
{
	answer(owner, message, CREDIT_REFUSAL, message->amount, retry_after_us);
}

bool owner_grant_matches(const owner_grant_t *grant,
			 const credit_msg_t *message)
{
	return grant->id == message->id &&
	       grant->incarnation == message->holder_incarnation &&
	       !strcmp(grant->holder, message->holder);
}

static owner_grant_t *find_grant(const owned_t *owned,
				 const credit_msg_t *message)
{
	owner_grant_t *grant;

	DL_FOREACH (owned->grants, grant)
		if (owner_grant_matches(grant, message))
			return grant;
	return NULL;
}

static owner_grant_t *add_grant(owned_t *owned, const credit_msg_t *message,
				credit_amount_t amount, int64_t now_us)
{
	owner_grant_t *grant = mem_calloc(1, sizeof(*grant));

	mem_strlcpy(grant->holder, message->holder, sizeof(grant->holder));
	grant->incarnation = message->holder_incarnation;
	grant->id = message->id;
	grant->amount = amount;
	grant->server_incarnation = message->type == CREDIT_REQUEST
					    ? owned->server_incarnation
					    : message->server_incarnation;
	grant->granted_us = now_us;
	owned->granted = credit_add(owned->granted, amount);
	DL_APPEND(owned->grants, grant);
	return grant;
}

/* Extends a grant and tells its holder. */
static void extend(credit_owner_t *owner, owned_t *owned, owner_grant_t *grant,
		   const credit_msg_t *message, int64_t now_us)
{
	bool close = grant->recalled || owned_is_outdated(owned, grant) ||
		     owned_over_limit(owner, owned, now_us);

	if (owner_is_partial(owner, now_us) && !owned_is_rate(owned) &&
	    message->type != CREDIT_REQUEST)
		close = true;

	grant->recalled = close;
	grant->expires_us = now_us + CREDIT_LIFETIME_US + CREDIT_MARGIN_US;
	answer(owner, message, CREDIT_GRANT, grant->amount,
	       close ? RECALL_RETRY_US : 0)
		->server_incarnation = grant->server_incarnation;
}

/* A share of what is free, so that a scarce resource is not held by one node
 * as an idle block; always enough for the use that asks. */
static credit_amount_t grant_size(bool partial, credit_amount_t free_amount,
				  credit_amount_t amount,
				  credit_amount_t minimum)
{
	/* Work on the other side of a cut is counted by reports, which do not
	 * show the unused part of blocks. */
	if (partial)
		return minimum;
	free_amount.kv_tokens /= 4;
	free_amount.slots /= 4;
	return credit_max(minimum, credit_min(amount, free_amount));
}

static bool is_waiter(const owner_waiter_t *waiter, const credit_msg_t *message)
{
	return waiter->set && waiter->id == message->id &&
	       waiter->incarnation == message->holder_incarnation &&
	       !strcmp(waiter->holder, message->holder);
}

/* Whether the resource is kept for a request that has waited long. */
static bool is_kept(owned_t *owned, const credit_msg_t *message, int64_t now_us)
{
	owner_waiter_t *waiter = &owned->waiter;

	if (!waiter->set || is_waiter(waiter, message))
		return false;
	if (now_us - waiter->last_us >= WAIT_US)
		waiter->set = false; /* no longer asks */
	else if (now_us - waiter->since_us >= WAIT_US + WAIT_HOLD_US)
		waiter->since_us = now_us;
	return waiter->set && now_us - waiter->since_us >= WAIT_US;
}

/* Remembers the largest refused request, since small ones are served from
 * whatever is returned. */
static void wait_next(owned_t *owned, const credit_msg_t *message,
		      int64_t now_us)
{
	owner_waiter_t *waiter = &owned->waiter;

	if (is_waiter(waiter, message)) {
		waiter->last_us = now_us;
		return;
	}
	if (waiter->set && now_us - waiter->last_us < WAIT_US &&
	    credit_fits(message->minimum, waiter->minimum))
		return;
	waiter->set = true;
	mem_strlcpy(waiter->holder, message->holder, sizeof(waiter->holder));
	waiter->incarnation = message->holder_incarnation;
	waiter->id = message->id;
	waiter->minimum = message->minimum;
	waiter->since_us = waiter->last_us = now_us;
}

/* Time until a rate allows the smallest amount asked for. */
static int64_t rate_retry_us(const credit_owner_t *owner, const owned_t *owned,
			     const credit_msg_t *message, int64_t now_us)
{
	int64_t missing =
		message->minimum.slots * US_PER_S - owned->rate_tokens_us;
	int64_t rate = owned_rate(owner, owned, now_us);
	int64_t wait_us = rate > 0 ? missing / rate : US_PER_S;

	if (wait_us < RETRY_US)
		return RETRY_US;
	return wait_us < US_PER_S ? wait_us : US_PER_S;
}

static void refuse_full(credit_owner_t *owner, owned_t *owned,
			const credit_msg_t *message, int64_t now_us)
{
	if (owned->retired) {
		refuse(owner, message, RETRY_RETIRED_US);
		return;
	}
	if (owned->quarantine_until_us) {
		refuse(owner, message, RETRY_QUARANTINE_US);
		return;
	}
	if (owned_is_rate(owned)) {
		refuse(owner, message,
		       rate_retry_us(owner, owned, message, now_us));
		return;
	}
	if (credit_fits(message->minimum, owned_limit(owner, owned, now_us)))
		wait_next(owned, message, now_us);
	owned_recall(owner, owned, now_us);
	refuse(owner, message, RETRY_US);
}

static bool may_hold(const credit_owner_t *owner, const credit_msg_t *message)
{
	return owner->agreed || !strcmp(message->holder, owner->vm_id);
}

static void receive_request(credit_owner_t *owner, owned_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t free_amount, size;

	if (grant) {
		extend(owner, owned, grant, message, now_us);
		return;
	}
	if (owned_is_rate(owned))
		owned_refill(owner, owned, now_us);
	free_amount = owned_free(owner, owned, now_us);
	if (!may_hold(owner, message) || credit_is_zero(message->minimum) ||
	    !credit_fits(message->minimum, free_amount) ||
	    is_kept(owned, message, now_us)) {
		refuse_full(owner, owned, message, now_us);
		return;
	}
	if (is_waiter(&owned->waiter, message))
		owned->waiter.set = false;
	size = grant_size(owner_is_partial(owner, now_us), free_amount,
			  message->amount, message->minimum);
	if (owned_is_rate(owned))
		owned->rate_tokens_us -= size.slots * US_PER_S;
	grant = add_grant(owned, message, size, now_us);
	extend(owner, owned, grant, message, now_us);
}

static void present(credit_owner_t *owner, owned_t *owned,
		    const credit_msg_t *message, int64_t now_us)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t nothing = { 0 };

	if (credit_is_zero(message->amount))
		return;
	owned_lapsed_kept(owned, message, nothing);
	if (!grant)
		grant = add_grant(owned, message, message->amount, now_us);
	else
		owned_set_amount(owned, grant,
				 credit_min(grant->amount, message->amount));
	grant->used = credit_min(grant->amount, message->minimum);
	grant->used_us = now_us;
	extend(owner, owned, grant, message, now_us);
}

static void receive_renewal(credit_owner_t *owner, owned_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	if (owned_is_rate(owned))
		return;
	/* An unknown grant counts as presented while earlier owners' grants
	 * may be in use; later it has expired at its holder or is about to,
	 * so it is a new request. */
	if (find_grant(owned, message) || owned->quarantine_until_us ||
	    (may_hold(owner, message) && !owned->retired &&
	     credit_fits(message->amount, owned_free(owner, owned, now_us))))
		present(owner, owned, message, now_us);
	else
		refuse(owner, message, RETRY_US);
}

static void receive_return(owned_t *owned, const credit_msg_t *message)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t kept;

	if (is_waiter(&owned->waiter, message))
		owned->waiter.set = false;
	owned_lapsed_kept(owned, message, message->minimum);
	if (!grant)
		return;
	kept = credit_min(grant->amount, message->minimum);
	if (owned_is_rate(owned))
		owned->rate_tokens_us +=
			(grant->amount.slots - kept.slots) * US_PER_S;
	owned_set_amount(owned, grant, kept);
}

static owner_declared_t *get_declared(owned_t *owned,
				      const credit_msg_t *message)
{
	owner_declared_t *declared;

	LL_FOREACH (owned->declared, declared)
		if (!strcmp(declared->holder, message->holder))
			return declared;
	declared = mem_calloc(1, sizeof(*declared));
	mem_strlcpy(declared->holder, message->holder,
		    sizeof(declared->holder));
	LL_PREPEND(owned->declared, declared);
	return declared;
}

/* A holder has declared what it holds once exactly the grants of its list are
 * known: with others counted in, a missing one could go unnoticed. */
static void check_declared(owned_t *owned)
{
	owner_declared_t *declared;
	owner_grant_t *grant;

	LL_FOREACH (owned->declared, declared) {
		credit_amount_t digest = { 0 };

		DL_FOREACH (owned->grants, grant)
			if (grant->incarnation == declared->incarnation &&
			    !strcmp(grant->holder, declared->holder))
				digest = credit_digest(digest, grant->id);
		if (digest.slots != declared->digest.slots ||
		    digest.kv_tokens != declared->digest.kv_tokens)
			continue;
		declared->complete = true;
		owned_drop_lapsed(owned, declared->holder,
				  declared->incarnation);
	}
}

static void receive_present(credit_owner_t *owner, owned_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	owner_declared_t *declared;

	if (owned_is_rate(owned))
		return;
	if (message->id) {
		present(owner, owned, message, now_us);
	} else if (message->sequence == owned->quarantine) {
		declared = get_declared(owned, message);
		declared->incarnation = message->holder_incarnation;
		declared->digest = message->minimum;
	} else if (owned->quarantine_until_us) {
		owned_solicit(owner, owned, message->holder);
	}
	check_declared(owned);
	if (!owned->quarantine_until_us)
		owned_clear_declared(owned);
	owned_check_quarantine(owner, owned, now_us);
}

void credit_owner_receive(credit_owner_t *owner, const credit_msg_t *message,
			  int64_t now_us)
{
	owned_t *owned;

	if (!credit_msg_valid(message) || !message->holder[0])
		return;
	owner_check_pause(owner, now_us);
	owned = owned_find(owner, &message->resource);
	if (!owned &&
	    (message->type == CREDIT_REQUEST || message->type == CREDIT_RENEW))
		refuse(owner, message, RETRY_QUARANTINE_US);
	if (!owned)
		return;
	owned_expire(owned, now_us);
	if (owned->resource.kind == RESOURCE_SERVER)
		owned_count_work(owned, message);
	switch (message->type) {
	case CREDIT_REQUEST:
		receive_request(owner, owned, message, now_us);
		break;
	case CREDIT_RENEW:
		receive_renewal(owner, owned, message, now_us);
		break;
	case CREDIT_RETURN:
		receive_return(owned, message);
		break;
	case CREDIT_PRESENT:
		receive_present(owner, owned, message, now_us);
		break;
	case CREDIT_GRANT:
	case CREDIT_REFUSAL:
		break;
	}
}
