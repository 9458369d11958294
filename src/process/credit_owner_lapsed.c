/*
 * Amounts that may still be in use on a server although no grant covers them:
 * grants that expired in use, and what VMs out of sight may hold. They count
 * against the limit until their holders present them again, the server's
 * report rules them out, or LAPSED_MAX_US pass.
 */
#include <stdlib.h>

#include <utlist.h>

#include "process/credit_owner_state.h"

/* A holder that goes on within this time presents what it still uses. */
#define LAPSED_MAX_US (30 * US_PER_S)

/* Streams of VMs that are gone end with their connections, or are cancelled
 * by the janitor after its grace period of 5 s. */
#define UNKNOWN_MAX_US (10 * US_PER_S)

/* A new owner waits this long for the first report of a server: four times
 * the period of reports. */
#define FIRST_REPORT_US (2 * US_PER_S)

static bool is_member(const credit_owner_t *owner, const char *vm_id)
{
	const owner_member_t *member;

	HASH_FIND_STR(owner->members, vm_id, member);
	return member && member->left_us == INT64_MAX;
}

void owned_lapse(owned_t *owned, owner_grant_t *grant, int64_t now_us)
{
	DL_DELETE(owned->grants, grant);
	owned->granted = credit_sub(owned->granted, grant->amount);
	if (owned_is_rate(owned)) {
		free(grant);
		return;
	}
	grant->expires_us = now_us + LAPSED_MAX_US;
	DL_APPEND(owned->lapsed, grant);
	owned->lapsed_us = now_us;
}

void owned_drop_lapsed(owned_t *owned, const char *holder, uint64_t incarnation)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->lapsed, grant, next) {
		if (grant->incarnation != incarnation ||
		    strcmp(grant->holder, holder) != 0)
			continue;
		DL_DELETE(owned->lapsed, grant);
		free(grant);
	}
}

void owned_solicit_lapsed(credit_owner_t *owner, owned_t *owned, int64_t now_us)
{
	const owner_grant_t *grant, *earlier;

	if (!owned->lapsed || now_us < owned->solicit_us)
		return;
	owned->solicit_us = now_us + SOLICIT_US;
	/* A list that answers this counts only what expires later. */
	owned->quarantine = (uint64_t)now_us;
	DL_FOREACH (owned->lapsed, grant) {
		DL_FOREACH (owned->lapsed, earlier)
			if (!strcmp(earlier->holder, grant->holder))
				break;
		if (earlier == grant && is_member(owner, grant->holder))
			owned_solicit(owner, owned, grant->holder);
	}
}

void owned_forget_lapsed(owned_t *owned, int64_t now_us)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->lapsed, grant, next) {
		if (grant->expires_us > now_us)
			continue;
		DL_DELETE(owned->lapsed, grant);
		free(grant);
	}
}

void owned_lapsed_kept(owned_t *owned, const credit_msg_t *message,
		       credit_amount_t kept)
{
	owner_grant_t *grant, *next;

	DL_FOREACH_SAFE (owned->lapsed, grant, next) {
		if (!owner_grant_matches(grant, message))
			continue;
		grant->amount = credit_min(grant->amount, kept);
		if (!credit_is_zero(grant->amount))
			continue;
		DL_DELETE(owned->lapsed, grant);
		free(grant);
	}
}

void owned_lose_sight(const credit_owner_t *owner, owned_t *owned,
		      int64_t now_us)
{
	owned->outside = credit_sub(owned_full_limit(owned), owned->granted);
	owned->unknown_until_us = 0;
	owned->lapsed_us = now_us;
	if (owned->resource.kind == RESOURCE_SERVER &&
	    now_us - owner->lost_us < UNKNOWN_MAX_US)
		owned->unknown_until_us = now_us + UNKNOWN_MAX_US;
	owned->first_report_us = now_us + FIRST_REPORT_US;
}

void owned_note_outside(const credit_owner_t *owner, owned_t *owned, bool add)
{
	credit_amount_t sum = { 0 };
	const owner_grant_t *grant;

	DL_FOREACH (owned->grants, grant)
		if (!is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	DL_FOREACH (owned->lapsed, grant)
		if (!is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	owned->outside = add ? credit_max(owned->outside, sum) : sum;
}

credit_amount_t owned_lapsed(const credit_owner_t *owner, const owned_t *owned,
			     bool members_only, int64_t now_us)
{
	credit_amount_t sum = { 0 };
	const owner_grant_t *grant;
	bool unknown = now_us < owned->unknown_until_us;

	DL_FOREACH (owned->lapsed, grant)
		if (!members_only || is_member(owner, grant->holder))
			sum = credit_add(sum, grant->amount);
	if (!owned->reported && now_us >= owned->first_report_us)
		unknown = false;
	if (unknown && !members_only)
		sum = credit_add(sum, owned->outside);
	if (owned->reported && owned->report_taken_us > owned->lapsed_us)
		sum = credit_min(sum, owned->report_used);
	return sum;
}
