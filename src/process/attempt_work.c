#include "process/attempt_work.h"

#include <utlist.h>

static void begin_part(local_prefill_t *part, backend_t *server)
{
	local_load_t *work = backend_own_load(server);

	part->server = backend_ref(server);
	work->kv_tokens += part->kv_tokens;
	DL_APPEND(work->parts, part);
}

void attempt_load_begin(attempt_load_t *work, const placement_t *placement,
			int64_t kv_tokens, int64_t gap_us, int64_t due_at_us)
{
	size_t i;

	work->phase = WORK_READING;
	work->part_count = placement->count;
	work->writer.gap_us = gap_us;
	for (i = 0; i < placement->count; i++) {
		local_prefill_t *part = &work->parts[i];

		part->kv_tokens = i ? 0 : kv_tokens;
		if (placement->shared_memory)
			part->kv_tokens =
				kv_tokens / (int64_t)placement->count + 1;
		part->read_us = placement->read_us[i];
		part->writes = !i;
		part->gap_us = i ? 0 : gap_us;
		part->due_at_us = due_at_us;
		begin_part(part, placement->parts[i]->server);
	}
}

static void end_reading(attempt_load_t *work)
{
	size_t i;

	for (i = 0; i < work->part_count; i++) {
		local_prefill_t *part = &work->parts[i];

		DL_DELETE(backend_own_load(part->server)->parts, part);
	}
}

void attempt_load_first_event(attempt_load_t *work)
{
	if (work->phase != WORK_READING)
		return;
	end_reading(work);
	work->phase = WORK_WRITING;
	DL_APPEND(backend_own_load(work->parts[0].server)->writers,
		  &work->writer);
}

void attempt_load_end(attempt_load_t *work)
{
	size_t i;

	if (work->phase == WORK_READING)
		end_reading(work);
	if (work->phase == WORK_WRITING)
		DL_DELETE(backend_own_load(work->parts[0].server)->writers,
			  &work->writer);
	for (i = 0; i < work->part_count; i++) {
		backend_t *server = work->parts[i].server;

		backend_own_load(server)->kv_tokens -= work->parts[i].kv_tokens;
		backend_unref(server);
	}
	work->phase = WORK_NONE;
	work->part_count = 0;
}
