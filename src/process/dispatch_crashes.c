#include <string.h>
#include <xxhash.h>

#include "process/dispatch_state.h"

static segments_t causes_of(const entry_t *request)
{
	return (segments_t){ NULL, 0, request->submit.content };
}

/* @return hash of a server and its start */
static uint32_t hash_of(const server_t *server)
{
	return XXH32(server->name, strlen(server->name), 0) ^
	       XXH32(&server->incarnation, sizeof(server->incarnation), 0);
}

bool dispatch_next_blocked(dispatch_t *dispatch, uint64_t *content)
{
	cause_id_t cause;

	if (!segment_table_next_blocked(dispatch->crashes, &cause))
		return false;
	*content = cause.id;
	return true;
}

bool crashes_keep_back(dispatch_t *dispatch, entry_t *request, int64_t now_us)
{
	/* Each node judges by what it saw itself. */
	static uint64_t own = 1;
	static const limit_nodes_t nodes = { .hashes = &own,
					     .count = 1,
					     .own = 1 };
	segments_t causes = causes_of(request);
	segments_verdict_t verdict =
		segment_table_judge(dispatch->crashes, &causes, &nodes, now_us);

	switch (verdict.state) {
	case SEGMENTS_FREE:
		return false;
	case SEGMENTS_SUSPECT:
		return true;
	case SEGMENTS_BLOCKED:
		break;
	}
	dispatch_refuse(dispatch, request, REFUSAL_CRASHES_SERVERS,
			(int32_t)(verdict.retry_us / US_PER_S) + 1, now_us);
	return true;
}

void crashes_sent(dispatch_t *dispatch, const entry_t *request, int64_t now_us)
{
	segments_t causes = causes_of(request);

	segment_table_sent(dispatch->crashes, &causes, now_us);
}

static bool writes_on(const entry_t *request, int64_t now_us)
{
	return request->first_token_us &&
	       now_us - request->first_token_us >= SEGMENT_WRITES_ON_US;
}

void crashes_attempt_ended(dispatch_t *dispatch, const entry_t *request,
			   attempt_end_t end, int64_t now_us)
{
	segments_t causes = causes_of(request);
	uint32_t server = hash_of(request->sends[0].server);

	if (end == ATTEMPT_COMPLETE)
		segment_table_note_alive(dispatch->crashes, server, now_us,
					 now_us);
	if (end == ATTEMPT_COMPLETE || writes_on(request, now_us))
		segment_table_note_harmless(dispatch->crashes, &causes,
					    request->first_token_us
						    ? request->first_token_us
						    : request->chosen_us,
					    now_us);
	else if (end == ATTEMPT_BROKEN)
		segment_table_note_crash(dispatch->crashes, &causes, server,
					 now_us);
}
