#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/control.h"
#include "request/claim.h"

/*
 * Time between two pages of a sweep. The platform limits a page to about 1 MB;
 * a single claim may hold an answer of 700 kB. At one page per second a sweep
 * reads at most 1 MB/s.
 */
#define PAGE_INTERVAL_US US_PER_S
/* Time from the end of a sweep to the start of the next sweep. */
#define SWEEP_INTERVAL_US (600 * US_PER_S)

struct control_sweep {
	control_t *control;
	bool page_pending; /**< a request for a page is in progress */
	int64_t due_us; /**< time of the next request for a page */
	int64_t remaining; /**< claims of this sweep that are not removed */
	/** Where the next page starts, from the platform; empty: first page. */
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

/* Ignores failures: the next sweep tries to delete the claim again. */
static void on_deleted(void *context, platform_status_t status,
		       const platform_object_t *object)
{
}

/* Deletes the claim in @p object if it is old enough, or else counts it. */
static void remove_old(control_sweep_t *sweep, const platform_object_t *object)
{
	claim_record_t record;
	bool removable;
	err_t err;

	if (!claim_record_decode(object->spec, &record, &err)) {
		log_event(EVENT_CLAIM_MALFORMED, "name=%s problem=\"%s\"",
			  object->name, err.message);
		sweep->remaining++;
		return;
	}
	removable = claim_removable(&record, clock_wall_us());
	claim_record_clear(&record);
	if (removable)
		platform_delete(sweep->control->platform, PLATFORM_CLAIMS,
				object->name, object->version, on_deleted,
				NULL);
	else
		sweep->remaining++;
}

static void on_page(void *context, platform_status_t status,
		    const platform_page_t *page)
{
	control_sweep_t *sweep = context;
	size_t i;

	sweep->page_pending = false;
	sweep->due_us = clock_monotonic_us() + PAGE_INTERVAL_US;
	if (status != PLATFORM_OK) {
		/*
		 * The platform forgets the position of a page after a while.
		 * The sweep then restarts at the first page.
		 */
		if (status == PLATFORM_CONFLICT) {
			*sweep->next = '\0';
			sweep->remaining = 0;
		}
		return;
	}
	for (i = 0; i < page->count; i++)
		remove_old(sweep, &page->objects[i]);
	mem_strlcpy(sweep->next, page->next, sizeof(sweep->next));
	if (*page->next)
		return;
	control_actions_swept(sweep->control->actions, sweep->remaining);
	sweep->remaining = 0;
	sweep->due_us = clock_monotonic_us() + SWEEP_INTERVAL_US;
}

void control_sweep_tick(control_sweep_t *sweep, int64_t now_us)
{
	if (sweep->page_pending || now_us < sweep->due_us)
		return;
	sweep->due_us = now_us + PAGE_INTERVAL_US;
	if (!control_members_sweeps(sweep->control->members))
		return;
	sweep->page_pending = true;
	platform_list(sweep->control->platform, PLATFORM_CLAIMS, sweep->next,
		      false, on_page, sweep);
}
