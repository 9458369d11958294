#include <stdlib.h>

#include <utlist.h>

#include "base/mem.h"
#include "process/credit_owner_state.h"

/* Time after which a refused holder repeats its request: a few round trips in
 * a data centre, and short against a time to first token of 780 ms. */
#define RETRY_US (20 * US_PER_MS)
#define RETRY_QUARANTINE_US (100 * US_PER_MS)
#define RETRY_RETIRED_US US_PER_S

/* A request that has been refused for this long is served next. Otherwise a
 * large reservation could wait forever while small requests take whatever is
 * returned. */
#define WAIT_US US_PER_S

/* Longest time without a break for which a waiting request blocks others. */
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

static owner_grant_t *find_grant(const owned_resource_t *owned,
				 const credit_msg_t *message)
{
	owner_grant_t *grant;

	DL_FOREACH (owned->grants, grant)
		if (owner_grant_matches(grant, message))
			return grant;
	return NULL;
}

static owner_grant_t *add_grant(owned_resource_t *owned,
				const credit_msg_t *message,
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

/* Sets the expiry of a new or renewed grant and sends the grant to its
 * holder. */
static void send_grant(credit_owner_t *owner, owned_resource_t *owned,
		       owner_grant_t *grant, const credit_msg_t *message,
		       int64_t now_us)
{
	bool recall = grant->recalled || owned_is_outdated(owned, grant) ||
		      owned_over_limit(owner, owned, now_us);

	if (owner_has_unreachable(owner, now_us) && !owned_is_rate(owned) &&
	    message->type != CREDIT_REQUEST)
		recall = true;

	grant->recalled = recall;
	grant->expires_us = now_us + CREDIT_LIFETIME_US + CREDIT_MARGIN_US;
	answer(owner, message, CREDIT_GRANT, grant->amount,
	       recall ? RECALL_RETRY_US : 0)
		->server_incarnation = grant->server_incarnation;
}

/* Returns the amount to grant: at most a quarter of the free amount, so that
 * one node does not hold a scarce resource as an idle block, but at least the
 * minimum for the use that requests it. */
static credit_amount_t grant_size(bool has_unreachable,
				  credit_amount_t free_amount,
				  credit_amount_t amount,
				  credit_amount_t minimum)
{
	/* The other side of a network partition learns of this side's load
	 * only from load reports, which do not show unused credits. */
	if (has_unreachable)
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

/* Returns true if the resource is reserved for another request, which has been
 * refused for at least WAIT_US. */
static bool is_reserved(owned_resource_t *owned, const credit_msg_t *message,
			int64_t now_us)
{
	owner_waiter_t *waiter = &owned->waiter;

	if (!waiter->set || is_waiter(waiter, message))
		return false;
	if (now_us - waiter->last_request_us >= WAIT_US)
		waiter->set = false; /* the holder has stopped requesting */
	else if (now_us - waiter->since_us >= WAIT_US + WAIT_HOLD_US)
		waiter->since_us = now_us;
	return waiter->set && now_us - waiter->since_us >= WAIT_US;
}

/* Stores the largest refused request as the waiter. Small requests need no such
 * reservation: they are served from whatever is returned. */
static void set_waiter(owned_resource_t *owned, const credit_msg_t *message,
		       int64_t now_us)
{
	owner_waiter_t *waiter = &owned->waiter;

	if (is_waiter(waiter, message)) {
		waiter->last_request_us = now_us;
		return;
	}
	if (waiter->set && now_us - waiter->last_request_us < WAIT_US &&
	    credit_fits(message->minimum, waiter->minimum))
		return;
	waiter->set = true;
	mem_strlcpy(waiter->holder, message->holder, sizeof(waiter->holder));
	waiter->incarnation = message->holder_incarnation;
	waiter->id = message->id;
	waiter->minimum = message->minimum;
	waiter->since_us = waiter->last_request_us = now_us;
}

/* Returns the time until a rate allows the minimum of a request. */
static int64_t rate_retry_us(const credit_owner_t *owner,
			     const owned_resource_t *owned,
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

static void refuse_full(credit_owner_t *owner, owned_resource_t *owned,
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
		set_waiter(owned, message, now_us);
	owned_recall(owner, owned, now_us);
	refuse(owner, message, RETRY_US);
}

static bool may_hold(const credit_owner_t *owner, const credit_msg_t *message)
{
	return owner->agreed || !strcmp(message->holder, owner->vm_id);
}

static void receive_request(credit_owner_t *owner, owned_resource_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t free_amount, size;

	if (grant) {
		send_grant(owner, owned, grant, message, now_us);
		return;
	}
	if (owned_is_rate(owned))
		owned_refill(owner, owned, now_us);
	free_amount = owned_free_amount(owner, owned, now_us);
	if (!may_hold(owner, message) || credit_is_zero(message->minimum) ||
	    !credit_fits(message->minimum, free_amount) ||
	    is_reserved(owned, message, now_us)) {
		refuse_full(owner, owned, message, now_us);
		return;
	}
	if (is_waiter(&owned->waiter, message))
		owned->waiter.set = false;
	size = grant_size(owner_has_unreachable(owner, now_us), free_amount,
			  message->amount, message->minimum);
	if (owned_is_rate(owned))
		owned->rate_tokens_us -= size.slots * US_PER_S;
	grant = add_grant(owned, message, size, now_us);
	send_grant(owner, owned, grant, message, now_us);
}

static void present(credit_owner_t *owner, owned_resource_t *owned,
		    const credit_msg_t *message, int64_t now_us)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t nothing = { 0 };

	if (credit_is_zero(message->amount))
		return;
	owned_reduce_expired(owned, message, nothing);
	if (!grant)
		grant = add_grant(owned, message, message->amount, now_us);
	else
		owned_set_amount(owned, grant,
				 credit_min(grant->amount, message->amount));
	grant->used = credit_min(grant->amount, message->minimum);
	grant->used_us = now_us;
	send_grant(owner, owned, grant, message, now_us);
}

static void receive_renewal(credit_owner_t *owner, owned_resource_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	if (owned_is_rate(owned))
		return;
	/* During quarantine, a renewal of an unknown grant presents a grant of
	 * an earlier owner, which may be in use. After quarantine such a grant
	 * has expired at its holder or is about to, so the renewal counts as a
	 * new request. */
	if (find_grant(owned, message) || owned->quarantine_until_us ||
	    (may_hold(owner, message) && !owned->retired &&
	     credit_fits(message->amount,
			 owned_free_amount(owner, owned, now_us))))
		present(owner, owned, message, now_us);
	else
		refuse(owner, message, RETRY_US);
}

static void receive_return(owned_resource_t *owned, const credit_msg_t *message)
{
	owner_grant_t *grant = find_grant(owned, message);
	credit_amount_t kept;

	if (is_waiter(&owned->waiter, message))
		owned->waiter.set = false;
	owned_reduce_expired(owned, message, message->minimum);
	if (!grant)
		return;
	kept = credit_min(grant->amount, message->minimum);
	if (owned_is_rate(owned))
		owned->rate_tokens_us +=
			(grant->amount.slots - kept.slots) * US_PER_S;
	owned_set_amount(owned, grant, kept);
}

static owner_declaration_t *get_declaration(owned_resource_t *owned,
					    const credit_msg_t *message)
{
	owner_declaration_t *declaration;

	LL_FOREACH (owned->declarations, declaration)
		if (!strcmp(declaration->holder, message->holder))
			return declaration;
	declaration = mem_calloc(1, sizeof(*declaration));
	mem_strlcpy(declaration->holder, message->holder,
		    sizeof(declaration->holder));
	LL_PREPEND(owned->declarations, declaration);
	return declaration;
}

/* Completes the declaration of each holder whose known grants are exactly those
 * of its list. Extra grants are not accepted: one could stand in for a missing
 * grant of the list. */
static void check_declarations(owned_resource_t *owned)
{
	owner_declaration_t *declaration;
	owner_grant_t *grant;

	LL_FOREACH (owned->declarations, declaration) {
		credit_amount_t digest = { 0 };

		DL_FOREACH (owned->grants, grant)
			if (grant->incarnation == declaration->incarnation &&
			    !strcmp(grant->holder, declaration->holder))
				digest = credit_digest(digest, grant->id);
		if (digest.slots != declaration->digest.slots ||
		    digest.kv_tokens != declaration->digest.kv_tokens)
			continue;
		declaration->complete = true;
		owned_drop_expired(owned, declaration->holder,
				   declaration->incarnation);
	}
}

static void receive_present(credit_owner_t *owner, owned_resource_t *owned,
			    const credit_msg_t *message, int64_t now_us)
{
	owner_declaration_t *declaration;

	if (owned_is_rate(owned))
		return;
	if (message->id) {
		present(owner, owned, message, now_us);
	} else if (message->sequence == owned->list_number) {
		declaration = get_declaration(owned, message);
		declaration->incarnation = message->holder_incarnation;
		declaration->digest = message->minimum;
	} else if (owned->quarantine_until_us) {
		owned_request_list(owner, owned, message->holder);
	}
	check_declarations(owned);
	if (!owned->quarantine_until_us)
		owned_clear_declarations(owned);
	owned_check_quarantine(owner, owned, now_us);
}

void credit_owner_receive(credit_owner_t *owner, const credit_msg_t *message,
			  int64_t now_us)
{
	owned_resource_t *owned;

	if (!credit_msg_valid(message) || !message->holder[0])
		return;
	owner_check_pause(owner, now_us);
	owned = owned_find(owner, &message->resource);
	if (!owned &&
	    (message->type == CREDIT_REQUEST || message->type == CREDIT_RENEW))
		refuse(owner, message, RETRY_QUARANTINE_US);
	if (!owned)
		return;
	owned_expire_grants(owned, now_us);
	if (owned->resource.kind == RESOURCE_SERVER)
		owned_count_outcomes(owned, message);
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
