#include "admission/promises.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"
#include "base/units.h"

/* A request that arrives this much before its time returns in time: clocks of
 * callers are coarse, and other nodes hear of a promise with a delay. */
#define EARLY_US (100 * US_PER_MS)
/* A promise expires this long after its time: a caller that did not return by
 * then has given up. */
#define EXPIRY_US (2 * US_PER_S)
/* Random part of the time until a retry, as a fraction of it; spreads the
 * callers that a burst refused. */
#define JITTER_SHARE 0.25
/* Callers ignore a Retry-After above this fraction of the time left. */
#define LEFT_DIVISOR 3
/* Steps in which the prefill before a new promise is found; each adds the
 * promises that return while the one before is waited for. */
enum { BEFORE_STEPS = 8 };

typedef struct {
	uint64_t content; /* hash key */
	uint32_t service_hash;
	int64_t return_us;
	int64_t prefill_us;
	bool is_used; /* kept until it expires, against late announcements */
	bool is_announced; /* made or used at this node */
	bool is_own; /* made at this node */
	uint32_t listed; /* times that it was announced */
	UT_hash_handle hh;
} entry_t;

struct promises {
	entry_t *entries;
};

promises_t *promises_create(void)
{
	return mem_calloc(1, sizeof(promises_t));
}

static void remove_entry(promises_t *promises, entry_t *entry)
{
	HASH_DEL(promises->entries, entry);
	free(entry);
}

void promises_destroy(promises_t *promises)
{
	entry_t *entry, *next;

	if (!promises)
		return;
	HASH_ITER (hh, promises->entries, entry, next)
		remove_entry(promises, entry);
	free(promises);
}

static bool is_expired(const entry_t *entry, int64_t now_us)
{
	return now_us - entry->return_us > EXPIRY_US;
}

static entry_t *find(const promises_t *promises, uint64_t content,
		     int64_t now_us)
{
	entry_t *entry;

	HASH_FIND(hh, promises->entries, &content, sizeof(content), entry);
	return entry && !is_expired(entry, now_us) ? entry : NULL;
}

/* @return entry of a content, whose old state is cleared; NULL: no room */
static entry_t *renew(promises_t *promises, uint64_t content, int64_t now_us)
{
	entry_t *entry;

	HASH_FIND(hh, promises->entries, &content, sizeof(content), entry);
	if (entry)
		remove_entry(promises, entry);
	if (HASH_COUNT(promises->entries) >= PROMISES_MAX)
		promises_expire(promises, now_us);
	if (HASH_COUNT(promises->entries) >= PROMISES_MAX)
		return NULL;
	entry = mem_calloc(1, sizeof(*entry));
	entry->content = content;
	HASH_ADD(hh, promises->entries, content, sizeof(entry->content), entry);
	return entry;
}

int64_t promises_prefill_us(const promises_t *promises,
			    const promised_query_t *query, int64_t now_us)
{
	const entry_t *entry;
	int64_t sum_us = 0;

	for (entry = promises->entries; entry; entry = entry->hh.next)
		if (!entry->is_used && entry->content != query->except &&
		    entry->service_hash == query->service_hash &&
		    !is_expired(entry, now_us) &&
		    entry->return_us - now_us <= query->within_us)
			sum_us += entry->prefill_us;
	return sum_us;
}

/* @return time until the backlog and the prefill promised to others are done */
static double wait_us(const refusal_t *refusal, int64_t promised_us)
{
	return (double)refusal->backlog_us +
	       (double)promised_us / (double)refusal->servers;
}

/* @return prefill of the promises that return before a request which waits for
 * the backlog and for that prefill has been served */
static int64_t prefill_before_us(const promises_t *promises,
				 const refusal_t *refusal, int64_t now_us)
{
	int64_t sum_us = 0, last_us = -1;
	int step;

	for (step = 0; step < BEFORE_STEPS && sum_us != last_us; step++) {
		double longest_us =
			wait_us(refusal, sum_us) * (1 + JITTER_SHARE);
		promised_query_t query = {
			.service_hash = refusal->service_hash,
			.except = refusal->content,
			.within_us = time_to_us(longest_us) + refusal->serve_us,
		};

		last_us = sum_us;
		sum_us = promises_prefill_us(promises, &query, now_us);
	}
	return sum_us;
}

static int64_t at_most(int64_t value, int64_t max)
{
	return value < max ? value : max;
}

static int64_t at_least(int64_t value, int64_t min)
{
	return value > min ? value : min;
}

/* @return the longest useful time until a retry */
static int64_t retry_max_us(const refusal_t *refusal)
{
	int64_t third_us = refusal->left_us / LEFT_DIVISOR;
	int64_t spare_us = refusal->left_us - refusal->serve_us;

	return at_least(spare_us > 0 ? at_most(third_us, spare_us) : third_us,
			US_PER_MS);
}

static int64_t retry_us(const refusal_t *refusal, int64_t promised_us)
{
	double us = wait_us(refusal, promised_us);
	double random = (double)(refusal->salt >> 40) / (1 << 24);

	if (us < (double)refusal->least_us)
		us = (double)refusal->least_us;
	return at_most(time_to_us(us * (1 + JITTER_SHARE * random)),
		       retry_max_us(refusal));
}

promise_t promises_add(promises_t *promises, const refusal_t *refusal,
		       int64_t now_us)
{
	entry_t *entry = find(promises, refusal->content, now_us);
	promise_t promise = { .result = PROMISE_SHARED };

	if (entry && !entry->is_used) {
		/* The node that made it may have died. */
		entry->is_announced = true;
		promise.retry_us = at_most(at_least(entry->return_us - now_us,
						    refusal->least_us),
					   retry_max_us(refusal));
		return promise;
	}
	promise.promised_us = prefill_before_us(promises, refusal, now_us);
	promise.retry_us = retry_us(refusal, promise.promised_us);
	promise.result = PROMISE_LATE;
	if (refusal->left_us <= refusal->serve_us ||
	    wait_us(refusal, promise.promised_us) >
		    (double)retry_max_us(refusal))
		return promise;
	entry = renew(promises, refusal->content, now_us);
	promise.result = entry ? PROMISE_MADE : PROMISE_FULL;
	if (!entry)
		return promise;
	entry->service_hash = refusal->service_hash;
	entry->return_us = now_us + promise.retry_us;
	entry->prefill_us = at_least(refusal->prefill_us, US_PER_MS);
	entry->is_announced = entry->is_own = true;
	return promise;
}

return_t promises_take(promises_t *promises, uint64_t content, int64_t now_us)
{
	entry_t *entry = find(promises, content, now_us);

	if (!entry || entry->is_used)
		return RETURN_NONE;
	if (now_us < entry->return_us - EARLY_US)
		return RETURN_EARLY;
	entry->is_used = entry->is_announced = true;
	entry->listed = 0;
	return RETURN_TAKEN;
}

/* A promise that is heard of twice differs by the delays of the announcements.
 * The earliest time is the most exact one. */
static void merge(entry_t *entry, const promise_report_t *report,
		  int64_t return_us)
{
	if (!report->prefill_us && return_us >= entry->return_us - EARLY_US)
		entry->is_used = true;
	else if (report->prefill_us && return_us < entry->return_us)
		entry->return_us = return_us;
}

/* @return true if the promise was used, and its request was refused again and
 * has a new one. That it was used may not be known here. */
static bool is_followed(const entry_t *entry, const promise_report_t *report,
			int64_t return_us, int64_t now_us)
{
	return report->prefill_us && return_us > entry->return_us + EARLY_US &&
	       (entry->is_used || now_us >= entry->return_us - EARLY_US);
}

void promises_receive(promises_t *promises, const promise_report_t *report,
		      int64_t now_us)
{
	int64_t return_us = now_us + report->return_in_us;
	entry_t *entry;

	if (!report->content || -report->return_in_us > EXPIRY_US)
		return;
	entry = find(promises, report->content, now_us);
	if (entry && is_followed(entry, report, return_us, now_us))
		entry = NULL;
	if (entry && !entry->is_used) {
		merge(entry, report, return_us);
		return;
	}
	if (entry)
		return;
	entry = renew(promises, report->content, now_us);
	if (!entry)
		return;
	entry->service_hash = report->service_hash;
	entry->return_us = return_us;
	entry->prefill_us = report->prefill_us;
	entry->is_used = !report->prefill_us;
}

static bool is_listed_before(const entry_t *a, const entry_t *b)
{
	if (a->listed != b->listed)
		return a->listed < b->listed;
	return a->return_us < b->return_us;
}

/* Inserts into a sorted list of at most @p max entries. */
static size_t insert(entry_t **sorted, size_t count, size_t max, entry_t *entry)
{
	size_t i = count < max ? count : max;

	if (count < max)
		count++;
	for (; i > 0 && is_listed_before(entry, sorted[i - 1]); i--)
		if (i < count)
			sorted[i] = sorted[i - 1];
	if (i < count)
		sorted[i] = entry;
	return count;
}

size_t promises_list(promises_t *promises, promise_report_t *reports,
		     size_t max, int64_t now_us)
{
	entry_t *sorted[ANNOUNCED_PROMISES_MAX], *entry;
	size_t i, count = 0;

	if (max > ANNOUNCED_PROMISES_MAX)
		max = ANNOUNCED_PROMISES_MAX;
	for (entry = promises->entries; entry; entry = entry->hh.next)
		if (entry->is_announced && !is_expired(entry, now_us))
			count = insert(sorted, count, max, entry);
	for (i = 0; i < count; i++) {
		sorted[i]->listed++;
		reports[i] = (promise_report_t){
			.content = sorted[i]->content,
			.service_hash = sorted[i]->service_hash,
			.return_in_us = sorted[i]->return_us - now_us,
			.prefill_us =
				sorted[i]->is_used ? 0 : sorted[i]->prefill_us,
		};
	}
	return count;
}

size_t promises_expire(promises_t *promises, int64_t now_us)
{
	entry_t *entry, *next;
	size_t unused = 0;

	HASH_ITER (hh, promises->entries, entry, next) {
		if (!is_expired(entry, now_us))
			continue;
		unused += entry->is_own && !entry->is_used;
		remove_entry(promises, entry);
	}
	return unused;
}

size_t promises_open_count(const promises_t *promises)
{
	const entry_t *entry;
	size_t count = 0;

	for (entry = promises->entries; entry; entry = entry->hh.next)
		count += !entry->is_used;
	return count;
}
