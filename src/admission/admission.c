#include "admission/admission.h"

/* No request is deferred once this part of the time is over that its caller
 * waits for a first event: the rest suffices to be served in its turn. */
enum { WAIT_DIVISOR = 2 };

enum {
	/* Prompts shorter than this many usual prompts may be deferred, as
	 * those that are packed. Longer ones hold memory, and leases, that they
	 * do not use while they wait. */
	SHORT_PROMPTS = 2
};

static bool may_defer(const admission_query_t *query)
{
	if (!query->controls_load || !query->engine || query->has_events)
		return false;
	if (query->placement->count > 1 || query->placement->shared_memory ||
	    query->prompt_tokens >=
		    query->engine->usual_prompt_tokens * SHORT_PROMPTS)
		return false;
	return query->waited_us < query->wait_max_us / WAIT_DIVISOR;
}

static admission_cause_t cause_of(const admission_query_t *query)
{
	if (!may_defer(query))
		return ADMISSION_NO_CAUSE;
	if (query->placement->first_event_us > query->target_us)
		return ADMISSION_LATE;
	return ADMISSION_NO_CAUSE;
}

void admission_decide(const admission_query_t *query, admission_t *admission)
{
	*admission = (admission_t){ .action = ADMISSION_SEND,
				    .priority = query->priority,
				    .cause = cause_of(query) };
	if (admission->cause == ADMISSION_NO_CAUSE)
		return;
	admission->action = ADMISSION_DEFER;
	admission->priority = ADMISSION_PRIORITY_LAST;
}

const char *admission_cause_name(admission_cause_t cause)
{
	static const char *const names[] = {
		[ADMISSION_NO_CAUSE] = "no",
		[ADMISSION_LATE] = "late",
	};

	return names[cause];
}
