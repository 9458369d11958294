#include <stdlib.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/control.h"
#include "process/warmup.h"

/** Slow start of a server whose credits this node owns. */
typedef struct {
	UT_hash_handle hh;
	char server[NAME_SIZE_BYTES];
	warmup_t slow_start;
	bool retired;
	bool cold; /**< the newest load report says that the server is cold */
	/** When the server measured the newest load report; 0: no report. */
	int64_t report_taken_us;
	int64_t failed_us; /**< last failure of a request; 0: none */
} entry_t;

struct control_warmup {
	control_t *control;
	entry_t *entries; /**< hash table by server */
};

control_warmup_t *control_warmup_create(control_t *control)
{
	control_warmup_t *warmup = mem_calloc(1, sizeof(*warmup));

	warmup->control = control;
	return warmup;
}

void control_warmup_destroy(control_warmup_t *warmup)
{
	entry_t *entry, *next;

	if (!warmup)
		return;
	entry = warmup->entries;
	HASH_CLEAR(hh, warmup->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	free(warmup);
}

static entry_t *find(const control_warmup_t *warmup, const char *server)
{
	entry_t *entry;

	HASH_FIND_STR(warmup->entries, server, entry);
	return entry;
}

static void set_resource(resource_t *resource, const entry_t *entry)
{
	resource->kind = RESOURCE_SERVER;
	mem_strlcpy(resource->name, entry->server, sizeof(resource->name));
}

/*
 * @return requests that credit holders may have on the server, which includes
 *         unused credits of their blocks
 */
static int32_t in_flight(const control_warmup_t *warmup, const entry_t *entry)
{
	resource_t resource;

	set_resource(&resource, entry);
	return credit_owner_granted(warmup->control->owner, &resource).slots;
}

/* Limits the grants of the server to the limit of the slow start. */
static void set_limit(control_warmup_t *warmup, const entry_t *entry)
{
	resource_t resource;

	set_resource(&resource, entry);
	credit_owner_set_slow_start(warmup->control->owner, &resource,
				    warmup_limit(&entry->slow_start),
				    entry->slow_start.incarnation,
				    clock_monotonic_us());
}

void control_warmup_add(control_warmup_t *warmup, const server_conf_t *conf,
			bool retired)
{
	entry_t *entry = find(warmup, conf->name);

	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		mem_strlcpy(entry->server, conf->name, sizeof(entry->server));
		HASH_ADD_STR(warmup->entries, server, entry);
		warmup_start(&entry->slow_start, conf->cold_requests,
			     conf->max_requests);
	} else {
		warmup_configure(&entry->slow_start, conf->cold_requests,
				 conf->max_requests);
	}
	if (entry->retired && !retired)
		warmup_reset(&entry->slow_start, WARMUP_RESTORED,
			     in_flight(warmup, entry));
	entry->retired = retired;
	set_limit(warmup, entry);
}

void control_warmup_remove(control_warmup_t *warmup, const char *server)
{
	entry_t *entry = find(warmup, server);

	if (!entry)
		return;
	HASH_DEL(warmup->entries, entry);
	free(entry);
}

void control_warmup_apply_report(control_warmup_t *warmup,
				 const load_report_t *report)
{
	entry_t *entry = find(warmup, report->server);

	if (!entry || report->taken_us < entry->report_taken_us)
		return;
	entry->report_taken_us = report->taken_us;
	entry->cold = report->cold;
	warmup_update(&entry->slow_start, report, in_flight(warmup, entry));
	set_limit(warmup, entry);
}

/*
 * @return true if completed requests may raise the limit: the newest load
 *         report says that the server is not cold, and was taken after the last
 *         failure. Without this rule, two requests that ended between two
 *         reports raised the limit of a cold server from 2 to 3, and the server
 *         failed.
 */
static bool may_grow(const entry_t *entry)
{
	return entry->report_taken_us > entry->failed_us && !entry->cold;
}

/* Adjusts the limit to the requests that ended since the last call. */
static void apply_outcomes(control_warmup_t *warmup, entry_t *entry,
			   int64_t now_us)
{
	resource_t resource;
	uint64_t completed, failed;
	int32_t running;

	set_resource(&resource, entry);
	credit_owner_take_outcomes(warmup->control->owner, &resource,
				   &completed, &failed);
	if (!completed && !failed)
		return;
	running = in_flight(warmup, entry);
	if (failed) {
		entry->failed_us = now_us;
		warmup_reset(&entry->slow_start, WARMUP_STREAM_FAILED, running);
	}
	if (may_grow(entry))
		warmup_count_completed(
			&entry->slow_start,
			completed < INT32_MAX ? (int32_t)completed : INT32_MAX,
			running);
	set_limit(warmup, entry);
}

void control_warmup_tick(control_warmup_t *warmup, int64_t now_us)
{
	entry_t *entry;

	for (entry = warmup->entries; entry; entry = entry->hh.next)
		apply_outcomes(warmup, entry, now_us);
}
