#include <utlist.h>

#include "base/mem.h"
#include "process/credit_owner_state.h"

/* While some VMs are unreachable, both sides of a network partition grant what
 * a server's load report shows as free. A side accepts one load report per
 * REPORT_PERIOD_US, uses the report until REPORT_AGE_US after it was taken, and
 * grants one third of its share of the free amount. So the sum granted from
 * reports that are in use at the same time is free in each of them. */
#define REPORT_PERIOD_US (500 * US_PER_MS)
#define REPORT_AGE_US (3 * REPORT_PERIOD_US)
#define REPORT_ROUNDS (REPORT_AGE_US / REPORT_PERIOD_US)

bool limit_share_less(limit_share_t a, limit_share_t b)
{
	return (int64_t)a.counted * b.listed < (int64_t)b.counted * a.listed;
}

limit_share_t owner_limit_share(const credit_owner_t *owner, int64_t now_us)
{
	return now_us < owner->share_change_us ? owner->previous_share
					       : owner->share;
}

static int64_t scale_by_share(int64_t amount, limit_share_t share)
{
	if (share.counted >= share.listed)
		return amount;
	return amount / share.listed * share.counted;
}

credit_amount_t owned_full_limit(const owned_resource_t *owned)
{
	credit_amount_t limit = owned->limit.amount;

	if (owned->reported && owned->report_kv_total > 0 &&
	    owned->report_kv_total < limit.kv_tokens)
		limit.kv_tokens = owned->report_kv_total;
	if (owned->slow_start_slots < limit.slots)
		limit.slots = owned->slow_start_slots;
	return limit;
}

credit_amount_t owned_limit(const credit_owner_t *owner,
			    const owned_resource_t *owned, int64_t now_us)
{
	limit_share_t share = owner_limit_share(owner, now_us);
	credit_amount_t limit = owned_full_limit(owned);

	limit.kv_tokens = scale_by_share(limit.kv_tokens, share);
	limit.slots = (int32_t)scale_by_share(limit.slots, share);
	return limit;
}

/* Returns the granted amount that may be in use but missing in the load report:
 * the whole grant, or only the part that the holder said was unused if its
 * message was received before the report was taken. */
static credit_amount_t unreported(const owned_resource_t *owned)
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

bool owner_has_unreachable(const credit_owner_t *owner, int64_t now_us)
{
	limit_share_t share = owner_limit_share(owner, now_us);

	return !owner->agreed || share.counted < share.listed;
}

/* Returns the amount that is free by the server's load report. */
static credit_amount_t reported_free(const credit_owner_t *owner,
				     const owned_resource_t *owned,
				     int64_t now_us)
{
	limit_share_t share = owner_limit_share(owner, now_us);
	credit_amount_t nothing = { 0 }, free_amount;

	if (!owned->reported || owned->report_taken_us <= owned->last_expiry_us)
		return nothing;
	free_amount = credit_sub(owned_full_limit(owned), owned->report_used);
	if (!owner_has_unreachable(owner, now_us))
		return credit_sub(free_amount, unreported(owned));
	if (now_us - owned->report_taken_us >= REPORT_AGE_US)
		return nothing;
	free_amount.kv_tokens =
		scale_by_share(free_amount.kv_tokens, share) / REPORT_ROUNDS;
	free_amount.slots = (int32_t)(scale_by_share(free_amount.slots, share) /
				      REPORT_ROUNDS);
	return credit_sub(free_amount, unreported(owned));
}

/* Returns the free amount while some VMs are unreachable. What these VMs cannot
 * have in use is free in any case; the rest of this side's share is free only
 * if the server's load report shows it as free. */
static credit_amount_t partitioned_free(const credit_owner_t *owner,
					const owned_resource_t *owned,
					credit_amount_t share_free,
					int64_t now_us)
{
	credit_amount_t known, reported = { 0 };

	known = credit_sub(owned_full_limit(owned), owned->unreachable);
	known = credit_sub(known, owned->granted);
	known = credit_sub(known,
			   owned_expired_use(owner, owned, true, now_us));
	if (owned->resource.kind == RESOURCE_SERVER)
		reported = reported_free(owner, owned, now_us);
	return credit_min(share_free, credit_max(known, reported));
}

credit_amount_t owned_free_amount(const credit_owner_t *owner,
				  const owned_resource_t *owned, int64_t now_us)
{
	credit_amount_t nothing = { 0 }, free_amount = { 0 };
	credit_amount_t expired_use, by_report;

	if (owned->retired || owned->quarantine_until_us)
		return nothing;
	if (owned_is_rate(owned)) {
		free_amount.slots = (int32_t)(owned->rate_tokens_us / US_PER_S);
		return free_amount;
	}
	free_amount =
		credit_sub(owned_limit(owner, owned, now_us), owned->granted);
	if (owner_has_unreachable(owner, now_us))
		return partitioned_free(owner, owned, free_amount, now_us);
	expired_use = owned_expired_use(owner, owned, false, now_us);
	if (credit_is_zero(expired_use))
		return free_amount;
	/* Both bounds are safe, so the larger applies: all expired grants are
	 * still in use, or the load report shows what is in use. */
	by_report = reported_free(owner, owned, now_us);
	return credit_min(free_amount,
			  credit_max(credit_sub(free_amount, expired_use),
				     by_report));
}

bool owned_over_limit(const credit_owner_t *owner,
		      const owned_resource_t *owned, int64_t now_us)
{
	if (owned_is_rate(owned))
		return false;
	return owned->retired ||
	       !credit_fits(owned->granted, owned_limit(owner, owned, now_us));
}

int64_t owned_rate(const credit_owner_t *owner, const owned_resource_t *owned,
		   int64_t now_us)
{
	return scale_by_share(owned->limit.requests_per_s,
			      owner_limit_share(owner, now_us));
}

void owned_refill(const credit_owner_t *owner, owned_resource_t *owned,
		  int64_t now_us)
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
	owned_resource_t *owned = owned_find(owner, resource);
	bool restarted;

	if (!owned)
		return;
	restarted = incarnation != owned->server_incarnation;
	if (restarted || slots < owned->slow_start_slots)
		owned->recall_us = 0;
	owned->slow_start_slots = slots;
	owned->server_incarnation = incarnation;
	if (restarted || owned_over_limit(owner, owned, now_us))
		owned_recall(owner, owned, now_us);
}

void credit_owner_apply_report(credit_owner_t *owner,
			       const load_report_t *report, int64_t now_us)
{
	int64_t earliest_us;
	resource_t resource;
	owned_resource_t *owned;

	resource_set(&resource, RESOURCE_SERVER, report->server);
	owned = owned_find(owner, &resource);
	if (!owned)
		return;
	earliest_us =
		owned->report_taken_us +
		(owner_has_unreachable(owner, now_us) ? REPORT_PERIOD_US : 0);
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

bool owned_is_outdated(const owned_resource_t *owned,
		       const owner_grant_t *grant)
{
	return grant->server_incarnation != owned->server_incarnation;
}

void owned_recall(credit_owner_t *owner, owned_resource_t *owned,
		  int64_t now_us)
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
		/* A new grant: the use that requested it may not have drawn
		 * from it yet. */
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
