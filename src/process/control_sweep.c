#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/control.h"
#include "request/claim.h"

/*
 * The platform sizes the pages, by about 1 MB; a claim may hold an answer of
 * 700 kB. At a page a second a sweep reads at most 1 MB a second.
 */
#define PAGE_INTERVAL_US US_PER_S
#define SWEEP_INTERVAL_US (600 * US_PER_S)

struct control_sweep {
	control_t *control;
	bool reading;
	int64_t due_us;
	int64_t found; /* claims that stay, in the pages of this sweep */
	char next[PLATFORM_NEXT_SIZE_BYTES];
};

control_sweep_t *control_sweep_create(control_t *control)
{
	control_sweep_t *sweep = mem_calloc(1, sizeof(*sweep));

	sweep->control = control;
	return sweep;
}

void control_sweep_destroy(control_sweep_t *sweep)
{
	free(sweep);
}

/* A claim that could not be deleted is found again by the next sweep. */
static void on_deleted(void *context, platform_status_t status,
		       const platform_object_t *object)
{
}

/* Removes the claim of @p object if it is old; counts it otherwise. */
static void remove_old(control_sweep_t *sweep, const platform_object_t *object)
{
	claim_record_t record;
	bool removable;
	err_t err;

	if (!claim_record_decode(object->spec, &record, &err)) {
		log_event(EVENT_CLAIM_MALFORMED, "name=%s problem=\"%s\"",
			  object->name, err.message);
		sweep->found++;
		return;
	}
	removable = claim_removable(&record, clock_wall_us());
	claim_record_clear(&record);
	if (removable)
		platform_delete(sweep->control->platform, PLATFORM_CLAIMS,
				object->name, object->version, on_deleted,
				NULL);
	else
		sweep->found++;
}

static void on_page(void *context, platform_status_t status,
		    const platform_page_t *page)
{
	control_sweep_t *sweep = context;
	size_t i;

	sweep->reading = false;
	sweep->due_us = clock_monotonic_us() + PAGE_INTERVAL_US;
	if (status != PLATFORM_OK) {
		/* The platform forgets where a page starts after a while. */
		if (status == PLATFORM_CONFLICT) {
			*sweep->next = '\0';
			sweep->found = 0;
		}
		return;
	}
	for (i = 0; i < page->count; i++)
		remove_old(sweep, &page->objects[i]);
	mem_strlcpy(sweep->next, page->next, sizeof(sweep->next));
	if (*page->next)
		return;
	control_actions_swept(sweep->control->actions, sweep->found);
	sweep->found = 0;
	sweep->due_us = clock_monotonic_us() + SWEEP_INTERVAL_US;
}

void control_sweep_tick(control_sweep_t *sweep, int64_t now_us)
{
	if (sweep->reading || now_us < sweep->due_us)
		return;
	sweep->due_us = now_us + PAGE_INTERVAL_US;
	if (!control_members_sweeps(sweep->control->members))
		return;
	sweep->reading = true;
	platform_list(sweep->control->platform, PLATFORM_CLAIMS, sweep->next,
		      false, on_page, sweep);
}
