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
	credit_owner_ramp(warmup->control->owner, &resource,
			  warmup_limit(&entry->ramp), clock_monotonic_us());
}

void control_warmup_own(control_warmup_t *warmup, const server_conf_t *conf,
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

void control_warmup_disown(control_warmup_t *warmup, const char *server)
{
	entry_t *entry = find(warmup, server);

	if (!entry)
		return;
	HASH_DEL(warmup->entries, entry);
	free(entry);
}

void control_warmup_report(control_warmup_t *warmup,
			   const load_report_t *report)
{
	entry_t *entry = find(warmup, report->server);

	if (!entry)
		return;
	warmup_report(&entry->ramp, report, in_flight(warmup, entry));
	limit(warmup, entry);
}

void control_warmup_progress(control_warmup_t *warmup,
			     const server_progress_t *progress)
{
	entry_t *entry = find(warmup, progress->server);
	int32_t running;

	if (!entry)
		return;
	running = in_flight(warmup, entry);
	if (progress->refused)
		warmup_reset(&entry->ramp, WARMUP_CONNECTION_REFUSED, running);
	if (progress->failed)
		warmup_reset(&entry->ramp, WARMUP_STREAM_FAILED, running);
	if (progress->completed)
		warmup_completed(&entry->ramp, progress->completed, running);
	limit(warmup, entry);
}

bool control_warmup_is_warm(const control_warmup_t *warmup, const char *server)
{
	const entry_t *entry = find(warmup, server);

	return entry && warmup_limit(&entry->ramp) >= entry->ramp.max_requests;
}
