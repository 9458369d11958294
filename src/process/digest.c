#include "process/digest.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"

/*
 * Minimum time between messages: more frequent ones would cost more traffic
 * than the figures are worth.
 */
#define INTERVAL_US (250 * US_PER_MS)
/* Time after which unchanged figures are repeated, in case of message loss. */
#define REPEAT_US (5 * US_PER_S)
/*
 * Change of the prefill backlog that is worth a message: a tenth of the time
 * to first token of 780 ms that the service promises.
 */
#define PREFILL_STEP_US (80 * US_PER_MS)

/* Urgency of a report, in per cent of change since the last report sent. */
enum {
	/** First report, restart, or changed cold state, role or models. */
	URGENCY_NEW_STATE = 1000,
	URGENCY_DUE = 5 /**< least change that is worth a message */
};

typedef struct {
	UT_hash_handle hh;
	char server[NAME_SIZE_BYTES];
	load_report_t newest, sent;
	bool sent_to_all; /**< false: never sent, or a member joined since */
	int64_t sent_us; /**< time when `sent` was sent */
	int64_t urgency; /**< only valid during digest_take() */
} entry_t;

struct digest {
	entry_t *entries;
	/** Unused budget, as the time to send it at DIGEST_BYTES_PER_S. */
	int64_t budget_us;
	int64_t taken_us; /**< when reports were last selected */
	int64_t refilled_us; /**< last refill of the budget */
};

digest_t *digest_create(void)
{
	return mem_calloc(1, sizeof(digest_t));
}

void digest_destroy(digest_t *digest)
{
	entry_t *entry, *next;

	if (!digest)
		return;
	entry = digest->entries;
	HASH_CLEAR(hh, digest->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	free(digest);
}

void digest_update(digest_t *digest, const load_report_t *report)
{
	entry_t *entry;

	HASH_FIND_STR(digest->entries, report->server, entry);
	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		mem_strlcpy(entry->server, report->server,
			    sizeof(entry->server));
		HASH_ADD_STR(digest->entries, server, entry);
	}
	entry->newest = *report;
}

void digest_drop(digest_t *digest, const char *server)
{
	entry_t *entry;

	HASH_FIND_STR(digest->entries, server, entry);
	if (!entry)
		return;
	HASH_DEL(digest->entries, entry);
	free(entry);
}

void digest_resend(digest_t *digest)
{
	entry_t *entry, *next;

	for (entry = digest->entries; entry; entry = next) {
		next = entry->hh.next;
		entry->sent_to_all = false;
	}
}

static int64_t per_cent(int64_t before, int64_t after, int64_t whole)
{
	int64_t change = after > before ? after - before : before - after;

	if (whole < 1)
		whole = 1;
	return change > whole ? 100 : change * 100 / whole;
}

static int64_t greater(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* @return the largest change of a figure, in per cent */
static int64_t change_of(const load_report_t *sent, const load_report_t *newest)
{
	int64_t step_tokens =
		newest->prefill_tokens_per_s * PREFILL_STEP_US / US_PER_S;
	int64_t change = per_cent(sent->kv_used_tokens, newest->kv_used_tokens,
				  newest->kv_total_tokens);

	change = greater(change,
			 per_cent(sent->running + sent->queued,
				  newest->running + newest->queued,
				  greater(sent->running + sent->queued, 8)));
	/*
	 * A change of the prefill backlog by one step counts as 5%, which is
	 * worth a message (URGENCY_DUE). Ten steps or more count as 50%.
	 */
	return greater(change, per_cent(sent->prefill_queued_tokens,
					newest->prefill_queued_tokens,
					10 * step_tokens) /
				       2);
}

static int64_t urgency_of(const entry_t *entry, int64_t now_us)
{
	const load_report_t *sent = &entry->sent, *newest = &entry->newest;
	int64_t age_us = now_us - entry->sent_us;

	if (!entry->sent_to_all || sent->incarnation != newest->incarnation ||
	    sent->cold != newest->cold || sent->role != newest->role ||
	    sent->shares_kv != newest->shares_kv ||
	    sent->model_count != newest->model_count ||
	    memcmp(sent->models, newest->models, sizeof(sent->models)) != 0)
		return URGENCY_NEW_STATE;
	if (age_us >= REPEAT_US)
		return URGENCY_DUE + age_us / REPEAT_US;
	return change_of(sent, newest);
}

static entry_t *most_urgent(digest_t *digest)
{
	entry_t *entry, *next, *best = NULL;

	for (entry = digest->entries; entry; entry = next) {
		next = entry->hh.next;
		if (entry->urgency >= URGENCY_DUE &&
		    (!best || entry->urgency > best->urgency))
			best = entry;
	}
	return best;
}

static void refill(digest_t *digest, int64_t now_us)
{
	digest->budget_us += now_us - digest->refilled_us;
	digest->refilled_us = now_us;
	if (digest->budget_us > US_PER_S)
		digest->budget_us = US_PER_S;
}

/* @return the time, in us, in which the budget grows by these bytes */
static int64_t cost_us(size_t bytes, size_t receivers)
{
	return (int64_t)(bytes * receivers) * US_PER_S / DIGEST_BYTES_PER_S;
}

size_t digest_take(digest_t *digest, size_t receivers, int64_t now_us,
		   load_report_t *reports, size_t capacity)
{
	int64_t entry_cost_us = cost_us(DIGEST_ENTRY_BYTES, receivers);
	entry_t *entry, *next;
	size_t count = 0;

	if (!receivers || now_us - digest->taken_us < INTERVAL_US)
		return 0;
	digest->taken_us = now_us;
	refill(digest, now_us);
	for (entry = digest->entries; entry; entry = next) {
		next = entry->hh.next;
		entry->urgency = urgency_of(entry, now_us);
	}
	/*
	 * The last report may overdraw the budget. Otherwise nothing could be
	 * sent to so many receivers that one report costs more than the budget
	 * can hold.
	 */
	while (count < capacity && digest->budget_us > 0 &&
	       (entry = most_urgent(digest))) {
		if (!count)
			digest->budget_us -=
				cost_us(DIGEST_HEADER_BYTES, receivers);
		digest->budget_us -= entry_cost_us;
		entry->urgency = 0;
		entry->sent_to_all = true;
		entry->sent = entry->newest;
		entry->sent_us = now_us;
		reports[count++] = entry->newest;
	}
	return count;
}
