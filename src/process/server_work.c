#include "process/server_work.h"

#include <stddef.h>
#include <utlist.h>

/* A part that is overdue still takes this share of its prefill. */
#define OVERDUE_SHARE 0.15

static int64_t pending_us(const work_part_t *part, int64_t now_us)
{
	int64_t left_us = part->read_at_us - now_us;
	int64_t least_us = (int64_t)((double)part->read_us * OVERDUE_SHARE);

	if (left_us < least_us)
		return least_us;
	return left_us < part->read_us ? left_us : part->read_us;
}

server_load_t server_work_load(const backend_work_t *work, int64_t now_us)
{
	server_load_t load = { .kv_tokens = work->kv_tokens };
	const work_writer_t *writer;
	const work_part_t *part;

	DL_FOREACH (work->parts, part) {
		load.readers++;
		load.pending_us += pending_us(part, now_us);
	}
	DL_FOREACH (work->writers, writer) {
		load.writers++;
		if (writer->gap_us &&
		    (!load.gap_us || writer->gap_us < load.gap_us))
			load.gap_us = writer->gap_us;
	}
	return load;
}
