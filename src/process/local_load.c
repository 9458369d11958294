#include "process/local_load.h"

#include <stddef.h>
#include <utlist.h>

server_load_t local_load_sum(const local_load_t *local, int64_t now_us)
{
	server_load_t load = { .kv_tokens = local->kv_tokens };
	const local_decode_t *decode;
	const local_prefill_t *prefill;

	DL_FOREACH (local->prefills, prefill) {
		load.prefilling++;
		load.decode_pending += prefill->will_decode;
		load.deferred += prefill->deferred;
		load.backlog_us += prefill->prefill_us;
		forecast_min_us(&load.gap_us, prefill->gap_us);
		if (prefill->due_at_us)
			forecast_min_us(&load.target_us,
					prefill->due_at_us - now_us);
	}
	DL_FOREACH (local->decodes, decode) {
		load.decoding++;
		forecast_min_us(&load.gap_us, decode->gap_us);
	}
	return load;
}
