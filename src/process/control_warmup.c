#include <stdlib.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/control.h"
#include "process/warmup.h"

typedef struct {
	UT_hash_handle hh;
	char server[NAME_SIZE_BYTES];
	warmup_t ramp;
	bool retired;
	bool cold; /* as the newest report says */
	int64_t report_us; /* when its figures were taken; 0: none */
	int64_t failed_us; /* last failure of a request */
} entry_t;

struct control_warmup {
	control_t *control;
	entry_t *entries;
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

/* Requests that holders may have on the server, with their blocks. */
static int32_t in_flight(const control_warmup_t *warmup, const entry_t *entry)
{
	resource_t resource;

	set_resource(&resource, entry);
	return credit_owner_granted(warmup->control->owner, &resource).slots;
}

static void limit(control_warmup_t *warmup, const entry_t *entry)
{
	resource_t resource;

	set_resource(&resource, entry);
	credit_owner_set_slow_start(warmup->control->owner, &resource,
				    warmup_limit(&entry->ramp),
				    entry->ramp.incarnation,
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
		warmup_start(&entry->ramp, conf->cold_requests,
			     conf->max_requests);
	} else {
		warmup_configure(&entry->ramp, conf->cold_requests,
				 conf->max_requests);
	}
	if (entry->retired && !retired)
		warmup_reset(&entry->ramp, WARMUP_RESTORED,
			     in_flight(warmup, entry));
	entry->retired = retired;
	limit(warmup, entry);
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

	if (!entry || report->taken_us < entry->report_us)
		return;
	entry->report_us = report->taken_us;
	entry->cold = report->cold;
	warmup_report(&entry->ramp, report, in_flight(warmup, entry));
	limit(warmup, entry);
}

/*
 * Completed requests let the ramp grow only while the newest report says that
 * the server is not cold, and was taken after the last failure. A run with
 * three nodes showed why: two requests that ended between two reports raised
 * the limit of a cold server from 2 to 3, and it failed.
 */
static bool is_evidence(const entry_t *entry)
{
	return entry->report_us > entry->failed_us && !entry->cold;
}

static void take_work(control_warmup_t *warmup, entry_t *entry, int64_t now_us)
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
		warmup_reset(&entry->ramp, WARMUP_STREAM_FAILED, running);
	}
	if (is_evidence(entry))
		warmup_completed(&entry->ramp,
				 completed < INT32_MAX ? (int32_t)completed
						       : INT32_MAX,
				 running);
	limit(warmup, entry);
}

void control_warmup_tick(control_warmup_t *warmup, int64_t now_us)
{
	entry_t *entry;

	for (entry = warmup->entries; entry; entry = entry->hh.next)
		take_work(warmup, entry, now_us);
}
