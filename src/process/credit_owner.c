#include "process/credit_owner_state.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/mem.h"

/* Peers suspect a member after 1 s of silence (5.2), so ownership cannot
 * have moved during a shorter pause. */
#define PAUSE_US US_PER_S

/* Both sides of a cut notice it within one such period of each other; the
 * side without agreement waits for the other one to stop. */
#define CUT_SKEW_US US_PER_S

credit_owner_t *credit_owner_create(const char *vm_id)
{
	credit_owner_t *owner = mem_calloc(1, sizeof(*owner));

	mem_strlcpy(owner->vm_id, vm_id, sizeof(owner->vm_id));
	owner->share.units = owner->share.listed = 1;
	owner->share_before = owner->share;
	return owner;
}

void owned_clear_declared(owned_t *owned)
{
	owner_declared_t *declared, *next;

	LL_FOREACH_SAFE (owned->declared, declared, next)
		free(declared);
	owned->declared = NULL;
}

static void owned_destroy(credit_owner_t *owner, owned_t *owned)
{
	owner_grant_t *grant, *next;
	owner_work_t *work, *next_work;

	DL_FOREACH_SAFE (owned->grants, grant, next)
		free(grant);
	DL_FOREACH_SAFE (owned->lapsed, grant, next)
		free(grant);
	LL_FOREACH_SAFE (owned->work, work, next_work)
		free(work);
	owned_clear_declared(owned);
	HASH_DEL(owner->owned, owned);
	free(owned);
}

void credit_owner_destroy(credit_owner_t *owner)
{
	owned_t *owned, *next_owned;
	owner_member_t *member, *next_member;

	if (!owner)
		return;
	HASH_ITER (hh, owner->owned, owned, next_owned)
		owned_destroy(owner, owned);
	HASH_ITER (hh, owner->members, member, next_member) {
		HASH_DEL(owner->members, member);
		free(member);
	}
	credit_queue_clear(&owner->queue);
	free(owner);
}

owned_t *owned_find(const credit_owner_t *owner, const resource_t *resource)
{
	resource_t key;
	owned_t *owned;

	resource_set(&key, resource->kind, resource->name);
	HASH_FIND(hh, owner->owned, &key, sizeof(key), owned);
	return owned;
}

bool owned_is_rate(const owned_t *owned)
{
	return owned->resource.kind == RESOURCE_ACCOUNT;
}

static owner_member_t *get_member(credit_owner_t *owner, const char *vm_id)
{
	owner_member_t *member;

	HASH_FIND_STR(owner->members, vm_id, member);
	if (member)
		return member;
	member = mem_calloc(1, sizeof(*member));
	mem_strlcpy(member->vm_id, vm_id, sizeof(member->vm_id));
	HASH_ADD_STR(owner->members, vm_id, member);
	return member;
}

/* Members that left are remembered for as long as they may hold grants. */
static void set_members(credit_owner_t *owner, const credit_view_t *view,
			int64_t now_us)
{
	/* With every VM accounted for, those that left hold nothing. */
	bool accounted = view->agreed && view->counted_vms >= view->listed_vms;
	owner_member_t *member, *next;
	size_t i;

	/* A new process does not know which VMs were lost before. */
	if (!owner->members)
		owner->lost_us = now_us;
	HASH_ITER (hh, owner->members, member, next) {
		member->was_in_view = member->left_us == INT64_MAX;
		if (member->was_in_view)
			member->left_us = now_us;
	}
	for (i = 0; i < view->member_count; i++)
		get_member(owner, view->members[i])->left_us = INT64_MAX;
	HASH_ITER (hh, owner->members, member, next) {
		if (member->left_us == INT64_MAX)
			continue;
		if (member->was_in_view)
			owner->lost_us = now_us;
		if (accounted)
			member->left_us = now_us - QUARANTINE_US;
	}
}

void credit_owner_set_view(credit_owner_t *owner, const credit_view_t *view,
			   int64_t now_us)
{
	owner_share_t now = owner_share_at(owner, now_us), share;
	bool was_partial = owner_is_partial(owner, now_us);
	owned_t *owned, *next;

	share.listed = view->listed_vms > 0 ? view->listed_vms : 1;
	share.units = view->agreed ? view->counted_vms : 1;
	if (share.units > share.listed)
		share.units = share.listed;
	set_members(owner, view, now_us);
	owner->agreed = view->agreed;
	owner->share = share;
	HASH_ITER (hh, owner->owned, owned, next)
		owned_note_outside(owner, owned, was_partial);
	if (!owner_share_less(now, share)) {
		owner->share_from_us = 0;
		return;
	}
	if (now_us >= owner->share_from_us || owner_share_less(now, share))
		owner->share_before = now;
	owner->share_from_us = now_us + QUARANTINE_US;
}

static void start_quarantine(credit_owner_t *owner, owned_t *owned,
			     int64_t now_us)
{
	/* A rate needs none: a new owner starts without spent requests. */
	if (owned_is_rate(owned))
		return;
	owned->quarantine_until_us = now_us + QUARANTINE_US;
	if (!owner->agreed)
		owned->quarantine_until_us += CUT_SKEW_US;
	/* Lists that answer an earlier quarantine, perhaps of an earlier
	 * process of this VM, have another number. */
	owned->quarantine = (uint64_t)now_us;
	owned->solicit_us = now_us;
	owned_clear_declared(owned);
}

void credit_owner_add_resource(credit_owner_t *owner,
			       const resource_t *resource,
			       const credit_limit_t *limit, int64_t now_us)
{
	owned_t *owned = owned_find(owner, resource);

	if (owned) {
		owned->limit = *limit;
		return;
	}
	owned = mem_calloc(1, sizeof(*owned));
	resource_set(&owned->resource, resource->kind, resource->name);
	owned->limit = *limit;
	owned->ramp_slots = INT32_MAX;
	owned->rate_filled_us = now_us;
	start_quarantine(owner, owned, now_us);
	HASH_ADD(hh, owner->owned, resource, sizeof(owned->resource), owned);
}

void credit_owner_remove_resource(credit_owner_t *owner,
				  const resource_t *resource)
{
	owned_t *owned = owned_find(owner, resource);

	if (owned)
		owned_destroy(owner, owned);
}

bool credit_owner_owns(const credit_owner_t *owner, const resource_t *resource)
{
	return owned_find(owner, resource) != NULL;
}

void credit_owner_set_retired(credit_owner_t *owner, const resource_t *resource,
			      bool retired, int64_t now_us)
{
	owned_t *owned = owned_find(owner, resource);

	if (!owned || owned->retired == retired)
		return;
	owned->retired = retired;
	owned->recall_us = 0;
	if (retired)
		owned_recall(owner, owned, now_us);
}

void owned_set_amount(owned_t *owned, owner_grant_t *grant,
		      credit_amount_t amount)
{
	owned->granted = credit_sub(owned->granted, grant->amount);
	owned->granted = credit_add(owned->granted, amount);
	grant->amount = amount;
	if (!credit_is_zero(amount))
		return;
	DL_DELETE(owned->grants, grant);
	free(grant);
}

void owned_expire(owned_t *owned, int64_t now_us)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->grants, grant, next) {
		if (grant->expires_us > now_us)
			continue;
		owned_lapse(owned, grant, now_us);
	}
	owned_forget_lapsed(owned, now_us);
}

void owner_check_pause(credit_owner_t *owner, int64_t now_us)
{
	owned_t *owned, *next;

	if (owner->last_us && now_us - owner->last_us >= PAUSE_US)
		HASH_ITER (hh, owner->owned, owned, next)
			start_quarantine(owner, owned, now_us);
	owner->last_us = now_us;
}

static bool is_declared(const owned_t *owned, const char *vm_id)
{
	const owner_declared_t *declared;

	LL_FOREACH (owned->declared, declared)
		if (declared->complete && !strcmp(declared->holder, vm_id))
			return true;
	return false;
}

void owned_solicit(credit_owner_t *owner, const owned_t *owned,
		   const char *vm_id)
{
	credit_msg_t message = { .type = CREDIT_REFUSAL,
				 .resource = owned->resource,
				 .sequence = owned->quarantine };

	mem_strlcpy(message.holder, vm_id, sizeof(message.holder));
	credit_queue_add(&owner->queue, &message);
}

/* Whether every VM that may hold a grant has presented its grants. */
static bool all_declared(credit_owner_t *owner, owned_t *owned, int64_t now_us)
{
	bool all = owner->agreed && owner->members;
	bool solicit = owner->agreed && now_us >= owned->solicit_us;
	owner_member_t *member, *next;

	if (solicit)
		owned->solicit_us = now_us + SOLICIT_US;
	HASH_ITER (hh, owner->members, member, next) {
		if (is_declared(owned, member->vm_id))
			continue;
		all = false;
		if (solicit && member->left_us == INT64_MAX)
			owned_solicit(owner, owned, member->vm_id);
	}
	return all;
}

void owned_check_quarantine(credit_owner_t *owner, owned_t *owned,
			    int64_t now_us)
{
	if (!owned->quarantine_until_us ||
	    (now_us < owned->quarantine_until_us &&
	     !all_declared(owner, owned, now_us)))
		return;
	owned->quarantine_until_us = 0;
	owned_lose_sight(owner, owned, now_us);
	owned_clear_declared(owned);
}

static void forget_members(credit_owner_t *owner, int64_t now_us)
{
	owner_member_t *member, *next;

	HASH_ITER (hh, owner->members, member, next) {
		if (member->left_us == INT64_MAX ||
		    now_us - member->left_us < QUARANTINE_US)
			continue;
		HASH_DEL(owner->members, member);
		free(member);
	}
}

void credit_owner_tick(credit_owner_t *owner, int64_t now_us)
{
	owned_t *owned, *next;

	owner_check_pause(owner, now_us);
	forget_members(owner, now_us);
	HASH_ITER (hh, owner->owned, owned, next) {
		owned_expire(owned, now_us);
		owned_check_quarantine(owner, owned, now_us);
		if (!owned->quarantine_until_us)
			owned_solicit_lapsed(owner, owned, now_us);
		if (owned_is_rate(owned))
			owned_refill(owner, owned, now_us);
		else if (owned->grants &&
			 owned_over_limit(owner, owned, now_us))
			owned_recall(owner, owned, now_us);
	}
}

void owned_count_work(owned_t *owned, const credit_msg_t *message)
{
	owner_work_t *work;

	LL_FOREACH (owned->work, work)
		if (!strcmp(work->holder, message->holder))
			break;
	if (!work) {
		work = mem_calloc(1, sizeof(*work));
		mem_strlcpy(work->holder, message->holder,
			    sizeof(work->holder));
		LL_PREPEND(owned->work, work);
	} else if (work->incarnation == message->holder_incarnation) {
		if (message->completed < work->completed ||
		    message->failed < work->failed)
			return; /* an older message */
		owned->completed += message->completed - work->completed;
		owned->failed += message->failed - work->failed;
	}
	work->incarnation = message->holder_incarnation;
	work->completed = message->completed;
	work->failed = message->failed;
}

void credit_owner_take_outcomes(credit_owner_t *owner,
				const resource_t *resource, uint64_t *completed,
				uint64_t *failed)
{
	owned_t *owned = owned_find(owner, resource);

	*completed = owned ? owned->completed : 0;
	*failed = owned ? owned->failed : 0;
	if (owned)
		owned->completed = owned->failed = 0;
}

bool credit_owner_next(credit_owner_t *owner, credit_msg_t *message)
{
	return credit_queue_take(&owner->queue, message);
}

credit_amount_t credit_owner_granted(const credit_owner_t *owner,
				     const resource_t *resource)
{
	const owned_t *owned = owned_find(owner, resource);
	credit_amount_t nothing = { 0 };

	return owned ? owned->granted : nothing;
}

credit_amount_t credit_owner_free(const credit_owner_t *owner,
				  const resource_t *resource, int64_t now_us)
{
	const owned_t *owned = owned_find(owner, resource);
	credit_amount_t nothing = { 0 };

	return owned ? owned_free(owner, owned, now_us) : nothing;
}
