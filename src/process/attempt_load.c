#include "process/attempt_load.h"

#include <utlist.h>

static void begin_shard(local_prefill_t *shard, backend_t *server)
{
	local_load_t *load = backend_own_load(server);

	shard->server = backend_ref(server);
	load->kv_tokens += shard->kv_tokens;
	DL_APPEND(load->prefills, shard);
}

void attempt_load_begin(attempt_load_t *load, const placement_t *placement,
			int64_t kv_tokens, int64_t gap_us, int64_t due_at_us)
{
	size_t i;

	load->phase = ATTEMPT_PREFILL;
	load->shard_count = placement->count;
	load->decode.gap_us = gap_us;
	for (i = 0; i < placement->count; i++) {
		local_prefill_t *shard = &load->shards[i];

		shard->kv_tokens = i ? 0 : kv_tokens;
		if (placement->shared_memory)
			shard->kv_tokens =
				kv_tokens / (int64_t)placement->count + 1;
		shard->prefill_us = placement->prefill_us[i];
		shard->will_decode = !i;
		shard->gap_us = i ? 0 : gap_us;
		shard->due_at_us = due_at_us;
		shard->deferred = placement->deferred;
		begin_shard(shard, placement->shards[i]->server);
	}
}

static void end_prefill(attempt_load_t *load)
{
	size_t i;

	for (i = 0; i < load->shard_count; i++) {
		local_prefill_t *shard = &load->shards[i];

		DL_DELETE(backend_own_load(shard->server)->prefills, shard);
	}
}

void attempt_load_first_event(attempt_load_t *load)
{
	if (load->phase != ATTEMPT_PREFILL)
		return;
	end_prefill(load);
	load->phase = ATTEMPT_DECODE;
	DL_APPEND(backend_own_load(load->shards[0].server)->decodes,
		  &load->decode);
}

void attempt_load_end(attempt_load_t *load)
{
	size_t i;

	if (load->phase == ATTEMPT_PREFILL)
		end_prefill(load);
	if (load->phase == ATTEMPT_DECODE)
		DL_DELETE(backend_own_load(load->shards[0].server)->decodes,
			  &load->decode);
	for (i = 0; i < load->shard_count; i++) {
		backend_t *server = load->shards[i].server;

		backend_own_load(server)->kv_tokens -=
			load->shards[i].kv_tokens;
		backend_unref(server);
	}
	load->phase = ATTEMPT_IDLE;
	load->shard_count = 0;
}
