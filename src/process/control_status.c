#include <jansson.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/status.h"
#include "process/control.h"

/*
 * Without a reader the status is only renewed for the case that the control
 * task does not answer later. Once a second took a tenth of the processor
 * time of an idle node in front of 440 servers.
 */
#define INTERVAL_US (10 * US_PER_S)

struct control_status {
	control_t *control;
	int64_t due_us;
};

control_status_t *control_status_create(control_t *control)
{
	control_status_t *status = mem_calloc(1, sizeof(*status));

	status->control = control;
	return status;
}

void control_status_destroy(control_status_t *status)
{
	free(status);
}

static bool is_ready(const control_t *control)
{
	return inforce_document(control->inforce) &&
	       control_shutdown_phase(control->shutdown) == DRAIN_RUNNING;
}

static json_t *configuration(const control_t *control)
{
	const document_t *document = inforce_document(control->inforce);

	return json_pack("{s:I,s:s,s:b}", "version",
			 (json_int_t)inforce_version(control->inforce),
			 "change_id",
			 document ? document_change_id(document) : "",
			 "watching", control_members_watches(control->members));
}

void control_status_publish(control_status_t *status, int64_t now_us)
{
	const control_t *control = status->control;
	bool ready = is_ready(control);
	json_t *json = json_pack(
		"{s:s,s:s,s:I,s:s,s:b,s:b,s:i,s:i,s:o,s:o,s:o,s:o,s:{s:i,s:i}}",
		"vm", control->settings.vm_id, "data_centre",
		control->settings.data_centre, "incarnation",
		(json_int_t)control->incarnation, "phase",
		drain_phase_text(control_shutdown_phase(control->shutdown)),
		"ready", ready, "reconciler",
		control_orders_held(control->orders), "actions",
		control_actions_count(control->actions), "lost_streams",
		(int)control_orphans_count(control->orphans), "configuration",
		configuration(control), "members",
		control_members_status(control->members), "data_centres",
		control_members_data_centres(control->members), "servers",
		control_load_status(control->load, now_us), "queue", "waiting",
		dispatch_waiting(control->dispatch), "in_flight",
		dispatch_in_flight(control->dispatch));

	status_publish(json_dumps(json, JSON_COMPACT), ready);
	json_decref(json);
	status->due_us = now_us + INTERVAL_US;
}

void control_status_tick(control_status_t *status, int64_t now_us)
{
	bool ready = is_ready(status->control);

	/* Readiness must not lag: the load balancer asks for it. */
	if (now_us >= status->due_us || status_wanted() ||
	    ready != status_ready())
		control_status_publish(status, now_us);
}
