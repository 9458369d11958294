#include <utlist.h>

#include "base/mem.h"
#include "process/credit_owner_state.h"

/* With a part of the VMs out of sight, both sides of a cut grant what a report
 * shows as free. A side takes one report per REPORT_PERIOD_US, uses it until
 * it is REPORT_AGE_US old, and takes the third of its share of what is free:
 * all that is granted by reports that overlap is then free in each of them. */
#define REPORT_PERIOD_US (500 * US_PER_MS)
#define REPORT_AGE_US (3 * REPORT_PERIOD_US)
#define REPORT_ROUNDS (REPORT_AGE_US / REPORT_PERIOD_US)

bool owner_share_less(owner_share_t a, owner_share_t b)
{
	return (int64_t)a.units * b.listed < (int64_t)b.units * a.listed;
}

owner_share_t owner_share_at(const credit_owner_t *owner, int64_t now_us)
{
	return now_us < owner->share_from_us ? owner->share_before
					     : owner->share;
}

static int64_t share_of(int64_t amount, owner_share_t share)
{
	if (share.units >= share.listed)
		return amount;
	return amount / share.listed * share.units;
}

credit_amount_t owned_full_limit(const owned_t *owned)
{
	credit_amount_t limit = owned->limit.amount;

	if (owned->reported && owned->report_kv_total > 0 &&
	    owned->report_kv_total < limit.kv_tokens)
		limit.kv_tokens = owned->report_kv_total;
	if (owned->ramp_slots < limit.slots)
		limit.slots = owned->ramp_slots;
	return limit;
}

credit_amount_t owned_limit(const credit_owner_t *owner, const owned_t *owned,
			    int64_t now_us)
{
	owner_share_t share = owner_share_at(owner, now_us);
	credit_amount_t limit = owned_full_limit(owned);

	limit.kv_tokens = share_of(limit.kv_tokens, share);
	limit.slots = (int32_t)share_of(limit.slots, share);
	return limit;
}

/* What may be in use without showing in the report: all of a grant, until its
 * holder said before the report was taken what it uses of it. */
static credit_amount_t unreported(const owned_t *owned)
{
	credit_amount_t sum = { 0 };
	const owner_grant_t *grant;

	DL_FOREACH (owned->grants, grant)
		if (grant->used_us && grant->used_us < owned->report_taken_us)
			sum = credit_add(sum, credit_sub(grant->amount,
							 grant->used));
		else
			sum = credit_add(sum, grant->amount);
	return sum;
}

bool owner_is_partial(const credit_owner_t *owner, int64_t now_us)
{
	owner_share_t share = owner_share_at(owner, now_us);

	return !owner->agreed || share.units < share.listed;
}

/* What is free by the server's report. */
static credit_amount_t reported_free(const credit_owner_t *owner,
				     const owned_t *owned, int64_t now_us)
{
	owner_share_t share = owner_share_at(owner, now_us);
	credit_amount_t nothing = { 0 }, room;

	if (!owned->reported || owned->report_taken_us <= owned->lapsed_us)
		return nothing;
	room = credit_sub(owned_full_limit(owned), owned->report_used);
	if (!owner_is_partial(owner, now_us))
		return credit_sub(room, unreported(owned));
	if (now_us - owned->report_taken_us >= REPORT_AGE_US)
		return nothing;
	room.kv_tokens = share_of(room.kv_tokens, share) / REPORT_ROUNDS;
	room.slots = (int32_t)(share_of(room.slots, share) / REPORT_ROUNDS);
	return credit_sub(room, unreported(owned));
}

/* With VMs out of sight: what they cannot have in use is free in any case,
 * the rest of this side's share by the server's report. */
static credit_amount_t partial_free(const credit_owner_t *owner,
				    const owned_t *owned,
				    credit_amount_t share_free, int64_t now_us)
{
	credit_amount_t known, reported = { 0 };

	known = credit_sub(owned_full_limit(owned), owned->outside);
	known = credit_sub(known, owned->granted);
	known = credit_sub(known, owned_lapsed(owner, owned, true, now_us));
	if (owned->resource.kind == RESOURCE_SERVER)
		reported = reported_free(owner, owned, now_us);
	return credit_min(share_free, credit_max(known, reported));
}

credit_amount_t owned_free(const credit_owner_t *owner, const owned_t *owned,
			   int64_t now_us)
{
	credit_amount_t nothing = { 0 }, free_amount = { 0 };
	credit_amount_t lapsed, by_report;

	if (owned->retired || owned->quarantine_until_us)
		return nothing;
	if (owned_is_rate(owned)) {
		free_amount.slots = (int32_t)(owned->rate_tokens_us / US_PER_S);
		return free_amount;
	}
	free_amount =
		credit_sub(owned_limit(owner, owned, now_us), owned->granted);
	if (owner_is_partial(owner, now_us))
		return partial_free(owner, owned, free_amount, now_us);
	lapsed = owned_lapsed(owner, owned, false, now_us);
	if (credit_is_zero(lapsed))
		return free_amount;
	/* Either bound holds: all that lapsed still runs, or the report shows
	 * what runs. */
	by_report = reported_free(owner, owned, now_us);
	return credit_min(free_amount,
			  credit_max(credit_sub(free_amount, lapsed),
				     by_report));
}

bool owned_over_limit(const credit_owner_t *owner, const owned_t *owned,
		      int64_t now_us)
{
	if (owned_is_rate(owned))
		return false;
	return owned->retired ||
	       !credit_fits(owned->granted, owned_limit(owner, owned, now_us));
}

int64_t owned_rate(const credit_owner_t *owner, const owned_t *owned,
		   int64_t now_us)
{
	return share_of(owned->limit.requests_per_s,
			owner_share_at(owner, now_us));
}

void owned_refill(const credit_owner_t *owner, owned_t *owned, int64_t now_us)
{
	int64_t rate = owned_rate(owner, owned, now_us);
	int64_t elapsed_us = now_us - owned->rate_filled_us;
	int64_t burst = rate > 0 ? rate : 1;

	owned->rate_filled_us = now_us;
	if (elapsed_us > US_PER_S)
		elapsed_us = US_PER_S;
	if (elapsed_us > 0)
		owned->rate_tokens_us += rate * elapsed_us;
	if (owned->rate_tokens_us > burst * US_PER_S)
		owned->rate_tokens_us = burst * US_PER_S;
}

void credit_owner_set_slow_start(credit_owner_t *owner,
				 const resource_t *resource, int32_t slots,
				 uint64_t incarnation, int64_t now_us)
{
	owned_t *owned = owned_find(owner, resource);
	bool restarted;

	if (!owned)
		return;
	restarted = incarnation != owned->server_incarnation;
	if (restarted || slots < owned->ramp_slots)
		owned->recall_us = 0;
	owned->ramp_slots = slots;
	owned->server_incarnation = incarnation;
	if (restarted || owned_over_limit(owner, owned, now_us))
		owned_recall(owner, owned, now_us);
}

void credit_owner_apply_report(credit_owner_t *owner,
			       const load_report_t *report, int64_t now_us)
{
	int64_t earliest_us;
	resource_t resource;
	owned_t *owned;

	resource_set(&resource, RESOURCE_SERVER, report->server);
	owned = owned_find(owner, &resource);
	if (!owned)
		return;
	earliest_us = owned->report_taken_us +
		      (owner_is_partial(owner, now_us) ? REPORT_PERIOD_US : 0);
	if (owned->reported && report->taken_us < earliest_us)
		return;
	owned->reported = true;
	owned->report_kv_total = report->kv_total_tokens;
	owned->report_used.kv_tokens = report->kv_used_tokens;
	owned->report_used.slots = report->running + report->queued;
	owned->report_taken_us = report->taken_us;
	if (owned_over_limit(owner, owned, now_us))
		owned_recall(owner, owned, now_us);
}

bool owned_is_outdated(const owned_t *owned, const owner_grant_t *grant)
{
	return grant->server_incarnation != owned->server_incarnation;
}

void owned_recall(credit_owner_t *owner, owned_t *owned, int64_t now_us)
{
	credit_msg_t message = { .type = CREDIT_REFUSAL };
	bool over = owned_over_limit(owner, owned, now_us);
	owner_grant_t *grant;

	if (now_us < owned->recall_us || owned_is_rate(owned))
		return;
	owned->recall_us = now_us + RECALL_RETRY_US;
	message.resource = owned->resource;
	message.retry_after_us = RECALL_RETRY_US;
	DL_FOREACH (owned->grants, grant) {
		/* The use that asked for a new grant may not have drawn yet. */
		if (grant->recalled ||
		    (!over && !owned_is_outdated(owned, grant) &&
		     now_us - grant->granted_us < RECALL_RETRY_US))
			continue;
		grant->recalled = true;
		message.id = grant->id;
		message.holder_incarnation = grant->incarnation;
		mem_strlcpy(message.holder, grant->holder,
			    sizeof(message.holder));
		credit_queue_add(&owner->queue, &message);
	}
}
