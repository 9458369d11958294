#include "admission/admission.h"

/* No request is deferred once this part of the time is over that its caller
 * waits for a first event: the rest suffices to be served in its turn. */
enum { WAIT_DIVISOR = 2 };

/* A service is short of capacity if fewer slots than this part of all are free.
 * Nodes know of the requests of others up to 200 ms late, in which about a
 * tenth of the slots changes hands when streams take 2 s: as long as so many
 * are free, no caller waits for a slot. */
enum { RESERVE_DIVISOR = 10 };

/* One in so many requests of a less urgent kind is not deferred for its kind,
 * so that the kind keeps a part of the capacity: with it, a kind that sends 15
 * of 100 requests at half more than the capacity is served 0.37 times as often
 * as all, without it 0.21 times (tests/test_admission.c). */
enum { KEPT_DIVISOR = 4 };

admission_capacity_t admission_capacity(const candidate_t *candidates,
					size_t count)
{
	admission_capacity_t capacity = { 0, 0 };
	size_t i;

	for (i = 0; i < count; i++) {
		const server_load_t *load = &candidates[i].load;
		int32_t running =
			load->prefilling + load->decoding - load->deferred;

		if (candidates[i].fallback)
			continue;
		capacity.slots += candidates[i].slots;
		if (running < candidates[i].slots)
			capacity.free += candidates[i].slots - running;
	}
	return capacity;
}

/* What is kept free is not shared: an account is above its share before the
 * last slots are taken. */
account_use_t admission_use(const admission_query_t *query)
{
	int64_t slots = query->capacity.slots;

	return account_load_use(query->accounts, query->service, query->account,
				slots - slots / RESERVE_DIVISOR);
}

static bool is_short(const admission_capacity_t *capacity)
{
	return capacity->free * RESERVE_DIVISOR < capacity->slots;
}

static bool is_above_share(const admission_query_t *query)
{
	account_use_t use;

	if (!query->account)
		return false;
	use = admission_use(query);
	return use.held >= use.share;
}

static bool may_defer(const admission_query_t *query)
{
	if (!query->controls_load || !query->engine || query->has_events)
		return false;
	/* Long prompts hold memory, and leases, that they do not use while they
	 * wait. */
	if (query->placement->count > 1 || query->placement->shared_memory ||
	    !placement_is_short_prompt(query->engine, query->prompt_tokens))
		return false;
	return query->waited_us < query->wait_max_us / WAIT_DIVISOR;
}

static admission_cause_t cause_of(const admission_query_t *query)
{
	if (!may_defer(query))
		return ADMISSION_NO_CAUSE;
	if (query->placement->first_event_us > query->target_us)
		return ADMISSION_LATE;
	if (!is_short(&query->capacity))
		return ADMISSION_NO_CAUSE;
	if (is_above_share(query))
		return ADMISSION_ACCOUNT;
	if (query->ranks_below > 0 && query->salt % KEPT_DIVISOR)
		return ADMISSION_KIND;
	return ADMISSION_NO_CAUSE;
}

void admission_decide(const admission_query_t *query, admission_t *admission)
{
	*admission = (admission_t){ .action = ADMISSION_SEND,
				    .priority = query->priority,
				    .cause = cause_of(query) };
	if (admission->cause == ADMISSION_NO_CAUSE)
		return;
	admission->action = ADMISSION_DEFER;
	admission->priority = ADMISSION_PRIORITY_LAST;
}

const char *admission_cause_name(admission_cause_t cause)
{
	static const char *const names[] = {
		[ADMISSION_NO_CAUSE] = "no",
		[ADMISSION_LATE] = "late",
		[ADMISSION_ACCOUNT] = "account",
		[ADMISSION_KIND] = "kind",
	};

	return names[cause];
}
