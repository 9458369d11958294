#include <inttypes.h>

#include "base/log.h"
#include "base/metrics.h"
#include "process/gateway_state.h"

static void set_metrics(const gateway_t *gateway)
{
	size_t suspects, blocked;

	blocked = segment_table_count(gateway->segments, CAUSE_SEGMENT,
				      &suspects);
	metrics_set(METRIC_SEGMENTS_BLOCKED, (int64_t)blocked);
	metrics_set(METRIC_SEGMENTS_SUSPECT, (int64_t)suspects);
	blocked = segment_table_count(gateway->segments, CAUSE_CONTENT,
				      &suspects);
	metrics_set(METRIC_CONTENTS_BLOCKED, (int64_t)blocked);
}

/* Asks a server whose answer had an unclear end whether it is alive. */
static void probe_unclear(gateway_t *gateway, int64_t now_us)
{
	backend_t *server = NULL;
	uint32_t hash;

	if (!segment_table_to_probe(gateway->segments, &hash, now_us))
		return;
	while ((server = backends_next(gateway->backends, server)))
		if (backend_start_hash(server) == hash)
			gateway_probe(gateway, server);
}

void gateway_check_crashes(gateway_t *gateway, int64_t now_us)
{
	segment_table_expire(gateway->segments, now_us);
	gateway_log_blocked(gateway, "settled");
	probe_unclear(gateway, now_us);
	set_metrics(gateway);
}

void gateway_log_blocked(gateway_t *gateway, const char *source)
{
	cause_id_t cause;

	while (segment_table_next_blocked(gateway->segments, &cause))
		switch (cause.kind) {
		case CAUSE_SEGMENT:
			log_event(EVENT_SEGMENT_BLOCKED,
				  "segment=%" PRIx64 " source=%s", cause.id,
				  source);
			break;
		case CAUSE_CONTENT:
			log_event(EVENT_CONTENT_BLOCKED,
				  "content=%" PRIx64 " source=%s", cause.id,
				  source);
			break;
		}
}
