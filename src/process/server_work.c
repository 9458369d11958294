#include "process/server_work.h"

static void begin_reading(backend_t *server, int64_t read_us, int64_t now_us)
{
	backend_work_t *load = backend_work(server);

	load->readers++;
	if (load->busy_until_us < now_us)
		load->busy_until_us = now_us;
	load->busy_until_us += read_us;
}

static void end_reading(backend_t *server, int64_t now_us)
{
	backend_work_t *load = backend_work(server);

	load->readers--;
	if (!load->readers)
		load->busy_until_us = now_us;
}

void server_work_begin(server_work_t *work, const placement_t *placement,
		       int64_t kv_tokens, int64_t now_us)
{
	size_t i;

	work->phase = WORK_READING;
	work->part_count = placement->count;
	for (i = 0; i < placement->count; i++) {
		backend_t *server = placement->parts[i]->server;

		work->parts[i] = backend_ref(server);
		work->kv_tokens[i] = i ? 0 : kv_tokens;
		if (placement->shared_memory)
			work->kv_tokens[i] =
				kv_tokens / (int64_t)placement->count + 1;
		backend_work(server)->kv_tokens += work->kv_tokens[i];
		begin_reading(server, placement->read_us[i], now_us);
	}
}

void server_work_first_event(server_work_t *work, int64_t now_us)
{
	size_t i;

	if (work->phase != WORK_READING)
		return;
	work->phase = WORK_WRITING;
	for (i = 0; i < work->part_count; i++)
		end_reading(work->parts[i], now_us);
	backend_work(work->parts[0])->writers++;
}

void server_work_end(server_work_t *work, int64_t now_us)
{
	size_t i;

	for (i = 0; i < work->part_count; i++) {
		if (work->phase == WORK_READING)
			end_reading(work->parts[i], now_us);
		backend_work(work->parts[i])->kv_tokens -= work->kv_tokens[i];
	}
	if (work->phase == WORK_WRITING)
		backend_work(work->parts[0])->writers--;
	for (i = 0; i < work->part_count; i++)
		backend_unref(work->parts[i]);
	work->phase = WORK_NONE;
	work->part_count = 0;
}
