#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "request/forward_state.h"

/* Longest lists of helpers and of segments in a log line; longer ones are
 * truncated. */
enum { HELPERS_TEXT_BYTES = 400, SEGMENTS_TEXT_BYTES = 200 };
enum { RECEIVER_TEXT_BYTES = NAME_SIZE_BYTES + 8 };

static const char *id_of(const forward_t *forward)
{
	return *forward->request.id ? forward->request.id : "-";
}

/* Joins the ids of the servers that prefill the other prompt shards by commas.
 */
static void format_helper_ids(const placement_t *placement, char *text,
			      size_t size)
{
	size_t i, used = 0;

	mem_strlcpy(text, "-", size);
	for (i = 1; i < placement->count && used < size; i++) {
		const candidate_t *shard = placement->shards[i];

		used += (size_t)snprintf(text + used, size - used, "%s%s",
					 i > 1 ? "," : "",
					 backend_entry(shard->server)->id);
	}
}

/* Joins the ids of the segments of the prompt by commas. */
static void format_segments(const caller_request_t *request, char *text,
			    size_t size)
{
	size_t i, used = 0;

	mem_strlcpy(text, "-", size);
	for (i = 0; i < request->segment_count && used < size; i++)
		used += (size_t)snprintf(text + used, size - used, "%s%" PRIx64,
					 i ? "," : "", request->segments[i]);
}

void forward_log_placed(const forward_t *forward)
{
	char helpers[HELPERS_TEXT_BYTES], segments[SEGMENTS_TEXT_BYTES];
	const placement_t *placement = &forward->choice.placement;
	const candidate_t *first = placement->shards[0];
	const backend_entry_t *entry = backend_entry(first->server);

	format_helper_ids(placement, helpers, sizeof(helpers));
	format_segments(&forward->request, segments, sizeof(segments));
	log_event(EVENT_REQUEST_PLACED,
		  "request=%s server=%s data_centre=%s parts=%zu"
		  " prompt=%" PRId64 " predicted_ms=%" PRId64
		  " late_weight=%.2f readers=%d writers=%d gap_ms=%" PRId64
		  " pending_ms=%" PRId64 " kv=%" PRId64
		  " pace=%.2f doubtful=%d after_event=%s helpers=%s"
		  " content=%" PRIx64 " leaves=%s segments=%s rank=%d"
		  " deferred=%s",
		  id_of(forward), entry->id, entry->data_centre,
		  placement->count, forward->request.prompt_tokens,
		  placement->first_event_us / US_PER_MS,
		  placement->missed_weight, first->load.prefilling,
		  first->load.decoding, first->load.gap_us / US_PER_MS,
		  first->load.backlog_us / US_PER_MS, first->load.kv_tokens,
		  first->slowdown, first->fallback,
		  *forward->last_event_id ? forward->last_event_id : "-",
		  helpers, forward->content,
		  placement_leaves_name(placement->leaves), segments,
		  forward_rank(forward),
		  admission_cause_name(forward->admission.cause));
}

void forward_log_busy(const forward_t *forward, const char *reason)
{
	const placement_t *placement = &forward->choice.placement;

	log_event(EVENT_REQUEST_BUSY,
		  "request=%s reason=%s prompt=%" PRId64
		  " predicted_ms=%" PRId64
		  " late_weight=%.2f room_in_ms=%" PRId64,
		  id_of(forward), reason, forward->request.prompt_tokens,
		  placement->first_event_us / US_PER_MS,
		  placement->missed_weight, placement->retry_in_us / US_PER_MS);
}

/* Names the server, or the node, to which the attempt was sent. */
static void format_receiver(const forward_t *forward,
			    char receiver[RECEIVER_TEXT_BYTES])
{
	if (forward->attempt && forward->attempt->relay_node)
		snprintf(receiver, RECEIVER_TEXT_BYTES, "node=%016" PRIx64,
			 forward->attempt->relay_node);
	else
		snprintf(receiver, RECEIVER_TEXT_BYTES, "server=%s",
			 backend_entry(forward->tried[forward->tried_count - 1])
				 ->id);
}

void forward_log_failed(const forward_t *forward, failure_t failure)
{
	static const char *const names[] = {
		[FAILURE_UNREACHABLE] = "unreachable",
		[FAILURE_NOT_RUN] = "not-run",
		[FAILURE_BROKEN] = "broken",
		[FAILURE_SILENT] = "silent",
		[FAILURE_SERVER_ERROR] = "server-error",
	};
	char receiver[RECEIVER_TEXT_BYTES];

	format_receiver(forward, receiver);
	metrics_add(METRIC_ATTEMPTS_FAILED, 1);
	log_event(EVENT_ATTEMPT_FAILED,
		  "request=%s %s end=%s events=%" PRId64 " total_ms=%" PRId64,
		  id_of(forward), receiver, names[failure],
		  forward->event_count,
		  (clock_monotonic_us() - forward->received_us) / US_PER_MS);
}
