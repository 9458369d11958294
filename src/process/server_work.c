#include "process/server_work.h"

#include <stddef.h>
#include <utlist.h>

server_load_t local_load_sum(const local_load_t *work, int64_t now_us)
{
	server_load_t load = { .kv_tokens = work->kv_tokens };
	const local_decode_t *writer;
	const local_prefill_t *part;

	DL_FOREACH (work->parts, part) {
		load.readers++;
		load.starting += part->writes;
		load.pending_us += part->read_us;
		forecast_min_us(&load.gap_us, part->gap_us);
		if (part->due_at_us)
			forecast_min_us(&load.due_us, part->due_at_us - now_us);
	}
	DL_FOREACH (work->writers, writer) {
		load.writers++;
		forecast_min_us(&load.gap_us, writer->gap_us);
	}
	return load;
}
