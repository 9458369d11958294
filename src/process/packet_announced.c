#include "process/packet_announced.h"

#include "base/units.h"

/* Percent of a slowdown factor of 1. */
#define PERCENT 100.0
/* Bounds of what other nodes state. */
enum { COUNT_MAX = 1000000, SAMPLES_MAX = 1000 };
#define SLOWDOWN_MAX_PERCENT 10000

static int64_t at_most(int64_t value, int64_t max)
{
	return value < max ? value : max;
}

/* @return milliseconds, rounded up; 0 for negative times */
static uint32_t to_ms(int64_t us)
{
	int64_t ms = (us + US_PER_MS - 1) / US_PER_MS;

	return ms > 0 ? (uint32_t)at_most(ms, UINT32_MAX) : 0;
}

static void pack_accounts(const announcement_t *message,
			  packed_announced_t *packed,
			  Work__Announcement *announcement)
{
	size_t i;

	for (i = 0; i < message->account_count; i++) {
		const account_report_t *report = &message->accounts[i];
		Work__AccountLoad *account = &packed->accounts[i];

		work__account_load__init(account);
		account->service = report->service_hash;
		account->account = report->account_hash;
		account->count = (uint32_t)report->count;
		packed->account_pointers[i] = account;
	}
	announcement->n_accounts = message->account_count;
	announcement->accounts = packed->account_pointers;
}

static void pack_paces(const announcement_t *message,
		       packed_announced_t *packed,
		       Work__Announcement *announcement)
{
	size_t i;

	for (i = 0; i < message->pace_count; i++) {
		const pace_report_t *report = &message->paces[i];
		Work__Pace *pace = &packed->paces[i];

		work__pace__init(pace);
		pace->server = report->server_hash;
		pace->percent = (uint32_t)(report->slowdown * PERCENT + 0.5);
		pace->samples = (uint32_t)report->samples;
		pace->age_ms = to_ms(report->age_us);
		packed->pace_pointers[i] = pace;
	}
	announcement->n_paces = message->pace_count;
	announcement->paces = packed->pace_pointers;
}

void packet_pack_announced(const announcement_t *message,
			   packed_announced_t *packed,
			   Work__Announcement *announcement)
{
	pack_accounts(message, packed, announcement);
	pack_paces(message, packed, announcement);
}

void packet_unpack_announced(const Work__Announcement *announcement,
			     announcement_t *message)
{
	size_t i;

	for (i = 0; i < announcement->n_accounts && i < ANNOUNCED_ACCOUNTS_MAX;
	     i++) {
		const Work__AccountLoad *account = announcement->accounts[i];

		message->accounts[i] = (account_report_t){
			.service_hash = account->service,
			.account_hash = account->account,
			.count = (int32_t)at_most(account->count, COUNT_MAX),
		};
	}
	message->account_count = i;
	for (i = 0; i < announcement->n_paces && i < ANNOUNCED_PACES_MAX; i++) {
		const Work__Pace *pace = announcement->paces[i];
		int64_t percent = at_most(pace->percent, SLOWDOWN_MAX_PERCENT);

		message->paces[i] = (pace_report_t){
			.server_hash = pace->server,
			.slowdown = percent > PERCENT
					    ? (double)percent / PERCENT
					    : 1,
			.samples = (int32_t)at_most(pace->samples, SAMPLES_MAX),
			.age_us = (int64_t)pace->age_ms * US_PER_MS,
		};
	}
	message->pace_count = i;
}
