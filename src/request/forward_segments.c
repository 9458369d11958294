#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "request/forward_state.h"

/* Data that arrives now was sent no longer ago than this. */
#define TRANSIT_MAX_US (50 * US_PER_MS)

static segments_t segments_of(const forward_t *forward)
{
	return (segments_t){ forward->request.segments,
			     forward->request.segment_count, forward->content };
}

static segments_verdict_t judge(const forward_t *forward)
{
	gateway_t *gateway = forward->gateway;
	segments_t segments = segments_of(forward);

	return segment_table_judge(gateway->segments, &segments,
				   backends_nodes(gateway->backends),
				   clock_monotonic_us());
}

static const char *id_of(const forward_t *forward)
{
	return *forward->request.id ? forward->request.id : "-";
}

static const char *kind_of(cause_id_t cause)
{
	switch (cause.kind) {
	case CAUSE_SEGMENT:
		return "segment";
	case CAUSE_CONTENT:
		return "content";
	}
	return "-";
}

bool forward_check_segments(forward_t *forward)
{
	segments_verdict_t verdict = judge(forward);
	int64_t retry_ms = verdict.retry_us / US_PER_MS + 1;

	if (verdict.state == SEGMENTS_FREE)
		return true;
	log_event(EVENT_REQUEST_KEPT_BACK,
		  "request=%s %s=%" PRIx64 " state=%s crashes=%zu"
		  " age_ms=%" PRId64 " retry_after_ms=%" PRId64,
		  id_of(forward), kind_of(verdict.cause), verdict.cause.id,
		  verdict.state == SEGMENTS_BLOCKED ? "blocked" : "suspect",
		  verdict.crashes, verdict.crash_age_us / US_PER_MS, retry_ms);
	forward_refuse(forward, "prompt_crashes_servers", retry_ms);
	return false;
}

void forward_segments_sent(const forward_t *forward)
{
	segments_t segments = segments_of(forward);

	segment_table_sent(forward->gateway->segments, &segments,
			   clock_monotonic_us());
}

static uint32_t server_of(const forward_t *forward)
{
	return backend_start_hash(forward->attempt->load.shards[0].server);
}

static bool writes_on(const attempt_t *attempt, int64_t now_us)
{
	return attempt->first_event_us &&
	       now_us - attempt->first_event_us >= SEGMENT_WRITES_ON_US;
}

static void note_harmless(forward_t *forward, int64_t now_us)
{
	segments_t segments = segments_of(forward);
	attempt_t *attempt = forward->attempt;

	attempt->is_harmless = true;
	segment_table_note_harmless(forward->gateway->segments, &segments,
				    attempt->first_event_us
					    ? attempt->first_event_us
					    : attempt->sent_us,
				    now_us);
}

/* A request that was passed on is judged by the node that sent it to a server.
 */
static bool is_judged_here(const forward_t *forward)
{
	return !forward->attempt->relay_node;
}

void attempt_note_data(forward_t *forward)
{
	int64_t now_us = clock_monotonic_us();

	if (!is_judged_here(forward))
		return;
	segment_table_note_alive(forward->gateway->segments, server_of(forward),
				 now_us - TRANSIT_MAX_US, now_us);
	if (!forward->attempt->is_harmless &&
	    writes_on(forward->attempt, now_us))
		note_harmless(forward, now_us);
}

void attempt_note_broken(forward_t *forward)
{
	segments_t segments = segments_of(forward);
	int64_t now_us = clock_monotonic_us();

	if (!is_judged_here(forward))
		return;
	if (writes_on(forward->attempt, now_us))
		note_harmless(forward, now_us);
	else
		segment_table_note_crash(forward->gateway->segments, &segments,
					 server_of(forward), now_us);
	gateway_log_blocked(forward->gateway, id_of(forward));
}

void attempt_note_not_run(const forward_t *forward)
{
	segments_t segments = segments_of(forward);

	if (is_judged_here(forward))
		segment_table_note_not_run(forward->gateway->segments,
					   &segments, forward->attempt->sent_us,
					   clock_monotonic_us());
}

void attempt_note_unreachable(forward_t *forward)
{
	if (!is_judged_here(forward))
		return;
	attempt_note_not_run(forward);
	segment_table_note_dead(forward->gateway->segments, server_of(forward),
				clock_monotonic_us());
	gateway_log_blocked(forward->gateway, id_of(forward));
}

/* Watches the server of an answer that may have been broken off at its end. */
static void note_unclear(const forward_t *forward, int64_t now_us)
{
	const attempt_t *attempt = forward->attempt;
	gateway_t *gateway = forward->gateway;
	segments_t segments = segments_of(forward);

	segment_table_note_unclear(gateway->segments, &segments,
				   server_of(forward),
				   attempt->first_event_us
					   ? attempt->first_event_us
					   : attempt->sent_us,
				   now_us);
	if (segment_table_blames(gateway->segments, &segments))
		gateway_probe(gateway, attempt->load.shards[0].server);
}

void attempt_note_end(forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;
	int64_t now_us = clock_monotonic_us();

	if (!is_judged_here(forward) || attempt->is_harmless)
		return;
	if (attempt->is_framed || writes_on(attempt, now_us))
		note_harmless(forward, now_us);
	else
		note_unclear(forward, now_us);
}
