#include "process/attempt_load.h"

#include <utlist.h>

static void begin_shard(local_prefill_t *shard, backend_t *server)
{
	local_load_t *work = backend_own_load(server);

	shard->server = backend_ref(server);
	work->kv_tokens += shard->kv_tokens;
	DL_APPEND(work->parts, shard);
}

void attempt_load_begin(attempt_load_t *work, const placement_t *placement,
			int64_t kv_tokens, int64_t gap_us, int64_t due_at_us)
{
	size_t i;

	work->phase = ATTEMPT_PREFILL;
	work->part_count = placement->count;
	work->writer.gap_us = gap_us;
	for (i = 0; i < placement->count; i++) {
		local_prefill_t *shard = &work->parts[i];

		shard->kv_tokens = i ? 0 : kv_tokens;
		if (placement->shared_memory)
			shard->kv_tokens =
				kv_tokens / (int64_t)placement->count + 1;
		shard->read_us = placement->read_us[i];
		shard->writes = !i;
		shard->gap_us = i ? 0 : gap_us;
		shard->due_at_us = due_at_us;
		begin_shard(shard, placement->parts[i]->server);
	}
}

static void end_prefill(attempt_load_t *work)
{
	size_t i;

	for (i = 0; i < work->part_count; i++) {
		local_prefill_t *shard = &work->parts[i];

		DL_DELETE(backend_own_load(shard->server)->parts, shard);
	}
}

void attempt_load_first_event(attempt_load_t *work)
{
	if (work->phase != ATTEMPT_PREFILL)
		return;
	end_prefill(work);
	work->phase = ATTEMPT_DECODE;
	DL_APPEND(backend_own_load(work->parts[0].server)->writers,
		  &work->writer);
}

void attempt_load_end(attempt_load_t *work)
{
	size_t i;

	if (work->phase == ATTEMPT_PREFILL)
		end_prefill(work);
	if (work->phase == ATTEMPT_DECODE)
		DL_DELETE(backend_own_load(work->parts[0].server)->writers,
			  &work->writer);
	for (i = 0; i < work->part_count; i++) {
		backend_t *server = work->parts[i].server;

		backend_own_load(server)->kv_tokens -= work->parts[i].kv_tokens;
		backend_unref(server);
	}
	work->phase = ATTEMPT_IDLE;
	work->part_count = 0;
}
