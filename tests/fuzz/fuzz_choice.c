/**
 * Fuzzes changes of servers against choices and attempts that outlive a
 * listing: entries are added, changed, removed and restarted while leases are
 * requested, granted or refused, and attempts are sent, answered or cancelled.
 * Each step is two bytes of input. Checks that no server is used after it is
 * freed, that no server leaks, and that a valid choice has only servers that
 * accept requests.
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "process/attempt_load.h"
#include "process/choice.h"

enum { SERVERS = 8, REQUESTS = 6, DATA_CENTRES = 2 };

typedef struct {
	choice_t choice;
	bool chosen; /* choice has servers */
	attempt_load_t load;
	bool sent; /* load is counted on the servers */
} request_t;

static const service_conf_t service = {
	.name = "m",
	.cold_requests_per_s = 10,
	.engine = { .present = true,
		    .kv_capacity_tokens = 10000,
		    .steps_per_iteration = 10,
		    .chunk_tokens = 2048,
		    .step_us = 1000,
		    .prefill_token_us = 5 },
};
static int64_t now_us;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void end(request_t *request)
{
	if (request->sent)
		attempt_load_end(&request->load);
	request->sent = false;
	choice_clear(&request->choice);
	request->chosen = false;
}

static void put_server(backends_t *backends, uint8_t value)
{
	backend_entry_t entry = { .slots = 4 };

	snprintf(entry.id, sizeof(entry.id), "i-%d", value % SERVERS);
	entry.service = service.name;
	snprintf(entry.address, sizeof(entry.address), "10.0.0.%d:80",
		 value / 64);
	snprintf(entry.data_centre, sizeof(entry.data_centre), "c%d",
		 value % DATA_CENTRES);
	entry.state = value & 8 ? BACKEND_DRAINING : BACKEND_READY;
	entry.cold_left_ms = value & 16 ? 1000 : 0;
	entry.born_ms = value & 32;
	backends_update(backends, &entry, now_us);
}

static void choose(backends_t *backends, request_t *request, uint8_t value)
{
	backends_query_t wanted = { .service = &service, .now_us = now_us };
	placement_query_t query = { .engine = &service.engine,
				    .prompt_tokens = value * 100 + 1,
				    .output_tokens = 100,
				    .objective_us = US_PER_S,
				    .target_us = US_PER_S,
				    .limit_us = 10 * US_PER_S,
				    .nodes = 3,
				    .salt = value };

	end(request);
	request->chosen = choice_make(&request->choice, backends, &wanted,
				      &query) == PLACEMENT_CHOSEN;
}

/* The lease was granted: sends the request, or ends it if its choice is no
 * longer valid. */
static void on_granted(request_t *request)
{
	size_t i;

	if (!request->chosen || request->sent)
		return;
	if (!choice_is_valid(&request->choice, now_us)) {
		end(request);
		return;
	}
	for (i = 0; i < request->choice.placement.count; i++)
		if (!backend_usable(choice_server(&request->choice, i), now_us))
			abort();
	attempt_load_begin(&request->load, &request->choice.placement, 500,
			   US_PER_S, now_us + US_PER_S);
	request->sent = true;
}

static void note(request_t *request, uint8_t value)
{
	if (request->sent)
		backend_note(request->load.shards[0].server,
			     (evidence_t)(value % (EVIDENCE_GONE + 1)), now_us);
}

static void step(backends_t *backends, request_t *requests, uint8_t what,
		 uint8_t value)
{
	request_t *request = &requests[value % REQUESTS];
	char name[16];

	snprintf(name, sizeof(name), "i-%d", value % SERVERS);
	switch (what % 11) {
	case 0:
	case 1:
		put_server(backends, value);
		return;
	case 2:
		backends_remove(backends, name,
				value & 8 ? now_us + US_PER_S : 0);
		return;
	case 3:
		backends_begin_listing(backends, false);
		put_server(backends, value);
		backends_end_listing(backends, value & 8 ? now_us + 1 : 0);
		return;
	case 4:
		backends_evacuate(backends, value & 1 ? "c1" : "c0", value & 2);
		return;
	case 5:
	case 6:
		choose(backends, request, value);
		return;
	case 7:
		on_granted(request);
		return;
	case 8:
		if (request->sent)
			attempt_load_first_event(&request->load);
		return;
	case 9:
		note(request, value);
		end(request);
		return;
	default:
		now_us += value * US_PER_MS;
		backends_expire(backends, now_us);
		return;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const backends_conf_t conf = { .data_centre = "c0",
					      .cold_factor = 1,
					      .cold_slack = 3,
					      .drain_us = US_PER_S };
	static const uint64_t nodes[] = { 1 };
	backends_t *backends = backends_create(&conf);
	request_t *requests = mem_calloc(REQUESTS, sizeof(*requests));
	size_t i;

	now_us = US_PER_S;
	backends_set_nodes(backends, nodes, 1, nodes[0], 0);
	for (i = 0; i + 1 < size; i += 2)
		step(backends, requests, data[i], data[i + 1]);
	for (i = 0; i < REQUESTS; i++)
		end(&requests[i]);
	free(requests);
	backends_destroy(backends);
	return 0;
}
