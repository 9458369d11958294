#include "process/credit_owner_state.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/mem.h"

/* Other nodes suspect a member after 1 s of silence (requirements, 5.2), so no
 * other node becomes owner during a shorter pause. */
#define PAUSE_US US_PER_S

/* Both sides of a network partition detect the partition within this time of
 * each other. A node without an agreed view waits this much longer, until the
 * other side has stopped granting by the old view. */
#define PARTITION_SKEW_US US_PER_S

credit_owner_t *credit_owner_create(const char *vm_id)
{
	credit_owner_t *owner = mem_calloc(1, sizeof(*owner));

	mem_strlcpy(owner->vm_id, vm_id, sizeof(owner->vm_id));
	owner->share.counted = owner->share.listed = 1;
	owner->previous_share = owner->share;
	return owner;
}

void owned_clear_declarations(owned_resource_t *owned)
{
	owner_declaration_t *declaration, *next;

	LL_FOREACH_SAFE (owned->declarations, declaration, next)
		free(declaration);
	owned->declarations = NULL;
}

static void owned_destroy(credit_owner_t *owner, owned_resource_t *owned)
{
	owner_grant_t *grant, *next;
	owner_outcomes_t *outcomes, *next_outcomes;

	DL_FOREACH_SAFE (owned->grants, grant, next)
		free(grant);
	DL_FOREACH_SAFE (owned->expired, grant, next)
		free(grant);
	LL_FOREACH_SAFE (owned->outcomes, outcomes, next_outcomes)
		free(outcomes);
	owned_clear_declarations(owned);
	HASH_DEL(owner->resources, owned);
	free(owned);
}

void credit_owner_destroy(credit_owner_t *owner)
{
	owned_resource_t *owned, *next_owned;
	owner_member_t *member, *next_member;

	if (!owner)
		return;
	HASH_ITER (hh, owner->resources, owned, next_owned)
		owned_destroy(owner, owned);
	HASH_ITER (hh, owner->members, member, next_member) {
		HASH_DEL(owner->members, member);
		free(member);
	}
	credit_queue_clear(&owner->queue);
	free(owner);
}

owned_resource_t *owned_find(const credit_owner_t *owner,
			     const resource_t *resource)
{
	resource_t key;
	owned_resource_t *owned;

	resource_set(&key, resource->kind, resource->name);
	HASH_FIND(hh, owner->resources, &key, sizeof(key), owned);
	return owned;
}

bool owned_is_rate(const owned_resource_t *owned)
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

/* Members that left the view stay listed while they may hold grants. */
static void set_members(credit_owner_t *owner, const credit_view_t *view,
			int64_t now_us)
{
	/* If all listed VMs are counted, VMs that left hold no grants. */
	bool accounted = view->agreed && view->counted_vms >= view->listed_vms;
	owner_member_t *member, *next;
	size_t i;

	/* A new process does not know which VMs left the view before, and
	 * assumes that one left now. */
	if (!owner->members)
		owner->last_left_us = now_us;
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
			owner->last_left_us = now_us;
		if (accounted)
			member->left_us = now_us - QUARANTINE_US;
	}
}

void credit_owner_set_view(credit_owner_t *owner, const credit_view_t *view,
			   int64_t now_us)
{
	limit_share_t now = owner_limit_share(owner, now_us), share;
	bool had_unreachable = owner_has_unreachable(owner, now_us);
	owned_resource_t *owned, *next;

	share.listed = view->listed_vms > 0 ? view->listed_vms : 1;
	share.counted = view->agreed ? view->counted_vms : 1;
	if (share.counted > share.listed)
		share.counted = share.listed;
	set_members(owner, view, now_us);
	owner->agreed = view->agreed;
	owner->share = share;
	HASH_ITER (hh, owner->resources, owned, next)
		owned_count_unreachable(owner, owned, had_unreachable);
	if (!limit_share_less(now, share)) {
		owner->share_change_us = 0;
		return;
	}
	if (now_us >= owner->share_change_us || limit_share_less(now, share))
		owner->previous_share = now;
	owner->share_change_us = now_us + QUARANTINE_US;
}

static void start_quarantine(credit_owner_t *owner, owned_resource_t *owned,
			     int64_t now_us)
{
	/* A rate needs no quarantine: a new owner has no requests to grant at
	 * first, and gains them at the configured rate. */
	if (owned_is_rate(owned))
		return;
	owned->quarantine_until_us = now_us + QUARANTINE_US;
	if (!owner->agreed)
		owned->quarantine_until_us += PARTITION_SKEW_US;
	/* A list requested in an earlier quarantine, perhaps by an earlier
	 * process of this VM, has another number. */
	owned->list_number = (uint64_t)now_us;
	owned->list_request_us = now_us;
	owned_clear_declarations(owned);
}

void credit_owner_add_resource(credit_owner_t *owner,
			       const resource_t *resource,
			       const credit_limit_t *limit, int64_t now_us)
{
	owned_resource_t *owned = owned_find(owner, resource);

	if (owned) {
		owned->limit = *limit;
		return;
	}
	owned = mem_calloc(1, sizeof(*owned));
	resource_set(&owned->resource, resource->kind, resource->name);
	owned->limit = *limit;
	owned->slow_start_slots = INT32_MAX;
	owned->rate_filled_us = now_us;
	start_quarantine(owner, owned, now_us);
	HASH_ADD(hh, owner->resources, resource, sizeof(owned->resource),
		 owned);
}

void credit_owner_remove_resource(credit_owner_t *owner,
				  const resource_t *resource)
{
	owned_resource_t *owned = owned_find(owner, resource);

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
	owned_resource_t *owned = owned_find(owner, resource);

	if (!owned || owned->retired == retired)
		return;
	owned->retired = retired;
	owned->recall_us = 0;
	if (retired)
		owned_recall(owner, owned, now_us);
}

void owned_set_amount(owned_resource_t *owned, owner_grant_t *grant,
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

void owned_expire_grants(owned_resource_t *owned, int64_t now_us)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->grants, grant, next) {
		if (grant->expires_us > now_us)
			continue;
		owned_expire_grant(owned, grant, now_us);
	}
	owned_age_out_expired(owned, now_us);
}

void owner_check_pause(credit_owner_t *owner, int64_t now_us)
{
	owned_resource_t *owned, *next;

	if (owner->last_call_us && now_us - owner->last_call_us >= PAUSE_US)
		HASH_ITER (hh, owner->resources, owned, next)
			start_quarantine(owner, owned, now_us);
	owner->last_call_us = now_us;
}

static bool has_declared(const owned_resource_t *owned, const char *vm_id)
{
	const owner_declaration_t *declaration;

	LL_FOREACH (owned->declarations, declaration)
		if (declaration->complete &&
		    !strcmp(declaration->holder, vm_id))
			return true;
	return false;
}

void owned_request_list(credit_owner_t *owner, const owned_resource_t *owned,
			const char *vm_id)
{
	credit_msg_t message = { .type = CREDIT_REFUSAL,
				 .resource = owned->resource,
				 .sequence = owned->list_number };

	mem_strlcpy(message.holder, vm_id, sizeof(message.holder));
	credit_queue_add(&owner->queue, &message);
}

/* Requests missing lists. Returns true if every VM that may hold a grant has
 * presented its grants. */
static bool all_declared(credit_owner_t *owner, owned_resource_t *owned,
			 int64_t now_us)
{
	bool all = owner->agreed && owner->members;
	bool request_lists = owner->agreed && now_us >= owned->list_request_us;
	owner_member_t *member, *next;

	if (request_lists)
		owned->list_request_us = now_us + LIST_RETRY_US;
	HASH_ITER (hh, owner->members, member, next) {
		if (has_declared(owned, member->vm_id))
			continue;
		all = false;
		if (request_lists && member->left_us == INT64_MAX)
			owned_request_list(owner, owned, member->vm_id);
	}
	return all;
}

void owned_check_quarantine(credit_owner_t *owner, owned_resource_t *owned,
			    int64_t now_us)
{
	if (!owned->quarantine_until_us ||
	    (now_us < owned->quarantine_until_us &&
	     !all_declared(owner, owned, now_us)))
		return;
	owned->quarantine_until_us = 0;
	owned_assume_unreachable(owner, owned, now_us);
	owned_clear_declarations(owned);
}

static void expire_members(credit_owner_t *owner, int64_t now_us)
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
	owned_resource_t *owned, *next;

	owner_check_pause(owner, now_us);
	expire_members(owner, now_us);
	HASH_ITER (hh, owner->resources, owned, next) {
		owned_expire_grants(owned, now_us);
		owned_check_quarantine(owner, owned, now_us);
		if (!owned->quarantine_until_us)
			owned_request_expired(owner, owned, now_us);
		if (owned_is_rate(owned))
			owned_refill(owner, owned, now_us);
		else if (owned->grants &&
			 owned_over_limit(owner, owned, now_us))
			owned_recall(owner, owned, now_us);
	}
}

void owned_count_outcomes(owned_resource_t *owned, const credit_msg_t *message)
{
	owner_outcomes_t *outcomes;

	LL_FOREACH (owned->outcomes, outcomes)
		if (!strcmp(outcomes->holder, message->holder))
			break;
	if (!outcomes) {
		outcomes = mem_calloc(1, sizeof(*outcomes));
		mem_strlcpy(outcomes->holder, message->holder,
			    sizeof(outcomes->holder));
		LL_PREPEND(owned->outcomes, outcomes);
	} else if (outcomes->incarnation == message->holder_incarnation) {
		if (message->completed < outcomes->completed ||
		    message->failed < outcomes->failed)
			return; /* delayed, older message */
		owned->completed += message->completed - outcomes->completed;
		owned->failed += message->failed - outcomes->failed;
	}
	outcomes->incarnation = message->holder_incarnation;
	outcomes->completed = message->completed;
	outcomes->failed = message->failed;
}

void credit_owner_take_outcomes(credit_owner_t *owner,
				const resource_t *resource, uint64_t *completed,
				uint64_t *failed)
{
	owned_resource_t *owned = owned_find(owner, resource);

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
	const owned_resource_t *owned = owned_find(owner, resource);
	credit_amount_t nothing = { 0 };

	return owned ? owned->granted : nothing;
}

credit_amount_t credit_owner_free_amount(const credit_owner_t *owner,
					 const resource_t *resource,
					 int64_t now_us)
{
	const owned_resource_t *owned = owned_find(owner, resource);
	credit_amount_t nothing = { 0 };

	return owned ? owned_free_amount(owner, owned, now_us) : nothing;
}
