#include "process/choice.h"

#include <stdlib.h>
#include <string.h>

backend_t *choice_server(const choice_t *choice, size_t index)
{
	return choice->placement.shards[index]->server;
}

void choice_clear(choice_t *choice)
{
	size_t i;

	for (i = 0; i < choice->placement.count; i++)
		backend_unref(choice_server(choice, i));
	choice->placement.count = 0;
}

/* Copies the selected candidates into the choice, because the caller frees the
 * list of all candidates. */
static void copy_candidates(choice_t *choice, int64_t now_us)
{
	size_t i;

	for (i = 0; i < choice->placement.count; i++) {
		candidate_t *copy = &choice->candidates[i];
		backend_t *server;

		*copy = *choice->placement.shards[i];
		choice->placement.shards[i] = copy;
		server = backend_ref(copy->server);
		choice->generations[i] = backend_generation(server);
		choice->cold[i] = backend_is_cold(server, now_us);
		choice->limited[i] = backend_is_limited(server);
	}
}

placement_result_t choice_make(choice_t *choice, backends_t *backends,
			       const backends_query_t *wanted,
			       const placement_query_t *query)
{
	candidate_t *candidates;
	size_t count = backends_candidates(backends, wanted, &candidates);
	placement_result_t result;

	choice_clear(choice);
	choice->capacity = admission_capacity(candidates, count);
	result = placement_choose(candidates, count, query, &choice->placement);
	if (result != PLACEMENT_CHOSEN)
		choice->placement.count = 0;
	copy_candidates(choice, wanted->now_us);
	free(candidates);
	return result;
}

bool choice_is_valid(const choice_t *choice, int64_t now_us)
{
	size_t i;

	for (i = 0; i < choice->placement.count; i++) {
		const backend_t *server = choice_server(choice, i);

		if (!backend_usable(server, now_us) ||
		    backend_generation(server) != choice->generations[i] ||
		    (backend_is_cold(server, now_us) && !choice->cold[i]) ||
		    (backend_is_limited(server) && !choice->limited[i]))
			return false;
	}
	return true;
}
