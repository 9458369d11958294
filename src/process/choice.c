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

/* Copies a selected candidate into the choice, because the caller frees the
 * list of all candidates. */
static void copy_candidate(choice_t *choice, size_t index, int64_t now_us)
{
	candidate_t *copy = &choice->candidates[index];
	backend_t *server;

	*copy = *choice->placement.shards[index];
	choice->placement.shards[index] = copy;
	server = backend_ref(copy->server);
	choice->generations[index] = backend_generation(server);
	choice->cold[index] = backend_is_cold(server, now_us);
	choice->limited[index] = backend_is_limited(server);
}

placement_result_t choice_make(choice_t *choice, backends_t *backends,
			       const backends_query_t *wanted,
			       const placement_query_t *query)
{
	candidate_t *candidates;
	size_t count = backends_candidates(backends, wanted, &candidates), i;
	placement_result_t result;

	choice_clear(choice);
	choice->capacity = admission_capacity(candidates, count);
	result = placement_choose(candidates, count, query, &choice->placement);
	if (result != PLACEMENT_CHOSEN)
		choice->placement.count = 0;
	for (i = 0; i < choice->placement.count; i++)
		copy_candidate(choice, i, wanted->now_us);
	free(candidates);
	return result;
}

backend_t *choice_replace(choice_t *choice, size_t index, backends_t *backends,
			  const backends_query_t *wanted,
			  const placement_query_t *query)
{
	backend_t *old = choice_server(choice, index), *server = NULL;
	placement_t before = choice->placement;
	candidate_t *candidates;
	size_t count = backends_candidates(backends, wanted, &candidates);

	if (placement_replace(candidates, count, query, index,
			      &choice->placement) &&
	    backend_take(choice_server(choice, index), wanted->service,
			 wanted->now_us)) {
		copy_candidate(choice, index, wanted->now_us);
		backend_unref(old);
		server = choice_server(choice, index);
	} else {
		choice->placement = before;
	}
	free(candidates);
	return server;
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
