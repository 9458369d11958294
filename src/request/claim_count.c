#include "request/claim_count.h"

#include <string.h>

#include "request/claim.h"

#define HOUR_US (3600 * US_PER_S)

static void expire_old_counts(claim_count_t *count, int64_t now_us)
{
	int64_t hour = now_us / HOUR_US;

	if (hour - count->hour >= CLAIM_COUNT_HOURS) {
		memset(count->created, 0, sizeof(count->created));
		count->hour = hour;
	}
	while (count->hour < hour)
		count->created[++count->hour % CLAIM_COUNT_HOURS] = 0;
	/* The last sweep is out of date: another node sweeps by now. */
	if (now_us - count->last_sweep_us >= CLAIM_RETENTION_US)
		count->sweep_claims = 0;
}

void claim_count_add(claim_count_t *count, int64_t now_us)
{
	expire_old_counts(count, now_us);
	count->created[count->hour % CLAIM_COUNT_HOURS]++;
}

void claim_count_swept(claim_count_t *count, int64_t claims, int64_t now_us)
{
	expire_old_counts(count, now_us);
	memset(count->created, 0, sizeof(count->created));
	count->sweep_claims = claims;
	count->last_sweep_us = now_us;
}

bool claim_count_admit(claim_count_t *count, int64_t open, int32_t nodes,
		       int64_t max, int64_t now_us)
{
	int64_t created = open;
	size_t i;

	expire_old_counts(count, now_us);
	for (i = 0; i < CLAIM_COUNT_HOURS; i++)
		created += count->created[i];
	return claim_admit(count->sweep_claims, created, nodes, max);
}
