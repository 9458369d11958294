/*
 * Amounts that may still be in use on a server although no grant covers them:
 * grants that expired without being returned, and grants of unreachable VMs.
 * These amounts count against the limit until their holders present them again,
 * the server's load report shows that they are not in use, or
 * EXPIRED_USE_MAX_US pass.
 */
#include <stdlib.h>

#include <utlist.h>

#include "process/credit_owner_state.h"

/* A holder that resumes within this time presents what it still uses. */
#define EXPIRED_USE_MAX_US (30 * US_PER_S)

/* Streams of stopped VMs end with their connections, or are cancelled by the
 * orphan cleanup after its grace period of 5 s. */
#define UNREACHABLE_USE_MAX_US (10 * US_PER_S)

/* A new owner waits this long for the first load report of a server: 4 times
 * the period of load reports. */
#define FIRST_REPORT_US (2 * US_PER_S)

static bool is_member(const credit_owner_t *owner, const char *vm_id)
{
	const owner_member_t *member;

	HASH_FIND_STR(owner->members, vm_id, member);
	return member && member->left_us == INT64_MAX;
}

void owned_expire_grant(owned_resource_t *owned, owner_grant_t *grant,
			int64_t now_us)
{
	DL_DELETE(owned->grants, grant);
	owned->granted = credit_sub(owned->granted, grant->amount);
	if (owned_is_rate(owned)) {
		free(grant);
		return;
	}
	grant->expires_us = now_us + EXPIRED_USE_MAX_US;
	DL_APPEND(owned->expired, grant);
	owned->last_expiry_us = now_us;
}

void owned_drop_expired(owned_resource_t *owned, const char *holder,
			uint64_t incarnation)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->expired, grant, next) {
		if (grant->incarnation != incarnation ||
		    strcmp(grant->holder, holder) != 0)
			continue;
		DL_DELETE(owned->expired, grant);
		free(grant);
	}
}

void owned_request_expired(credit_owner_t *owner, owned_resource_t *owned,
			   int64_t now_us)
{
	const owner_grant_t *grant, *earlier;

	if (!owned->expired || now_us < owned->list_request_us)
		return;
	owned->list_request_us = now_us + LIST_RETRY_US;
	/* With a new number, lists sent for an earlier request do not count:
	 * they say nothing about grants that expired since. */
	owned->list_number = (uint64_t)now_us;
	DL_FOREACH (owned->expired, grant) {
		DL_FOREACH (owned->expired, earlier)
			if (!strcmp(earlier->holder, grant->holder))
				break;
		if (earlier == grant && is_member(owner, grant->holder))
			owned_request_list(owner, owned, grant->holder);
	}
}

void owned_age_out_expired(owned_resource_t *owned, int64_t now_us)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->expired, grant, next) {
		if (grant->expires_us > now_us)
			continue;
		DL_DELETE(owned->expired, grant);
		free(grant);
	}
}

void owned_reduce_expired(owned_resource_t *owned, const credit_msg_t *message,
			  credit_amount_t kept)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->expired, grant, next) {
		if (!owner_grant_matches(grant, message))
			continue;
		grant->amount = credit_min(grant->amount, kept);
		if (!credit_is_zero(grant->amount))
			continue;
		DL_DELETE(owned->expired, grant);
		free(grant);
	}
}

void owned_assume_unreachable(const credit_owner_t *owner,
			      owned_resource_t *owned, int64_t now_us)
{
	owned->unreachable =
		credit_sub(owned_full_limit(owned), owned->granted);
	owned->unreachable_until_us = 0;
	owned->last_expiry_us = now_us;
	if (owned->resource.kind == RESOURCE_SERVER &&
	    now_us - owner->last_left_us < UNREACHABLE_USE_MAX_US)
		owned->unreachable_until_us = now_us + UNREACHABLE_USE_MAX_US;
	owned->first_report_us = now_us + FIRST_REPORT_US;
}

void owned_count_unreachable(const credit_owner_t *owner,
			     owned_resource_t *owned, bool keep_larger)
{
	credit_amount_t sum = { 0 };
	const owner_grant_t *grant;

	DL_FOREACH (owned->grants, grant)
		if (!is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	DL_FOREACH (owned->expired, grant)
		if (!is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	owned->unreachable = keep_larger ? credit_max(owned->unreachable, sum)
					 : sum;
}

credit_amount_t owned_expired_use(const credit_owner_t *owner,
				  const owned_resource_t *owned,
				  bool members_only, int64_t now_us)
{
	credit_amount_t sum = { 0 };
	const owner_grant_t *grant;
	bool may_run = now_us < owned->unreachable_until_us;

	DL_FOREACH (owned->expired, grant)
		if (!members_only || is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	if (!owned->reported && now_us >= owned->first_report_us)
		may_run = false;
	if (may_run && !members_only)
		sum = credit_add(sum, owned->unreachable);
	if (owned->reported && owned->report_taken_us > owned->last_expiry_us)
		sum = credit_min(sum, owned->report_used);
	return sum;
}
