#include "request/stream.h"

#include <string.h>

void stream_init(stream_t *stream)
{
	memset(stream, 0, sizeof(*stream));
}

void stream_attempt(stream_t *stream, const stream_id_t *id)
{
	stream->id = *id;
	stream->attempt_delivered = false;
	stream->ahead_chunks = 0;
}

void stream_resume(stream_t *stream)
{
	stream->ahead_chunks = 0;
}

static stream_result_t drop(stream_t *stream, stream_result_t reason)
{
	stream->dropped++;
	return reason;
}

static bool same_request(const stream_id_t *a, const stream_id_t *b)
{
	return a->request == b->request && a->incarnation == b->incarnation &&
	       !strcmp(a->vm_id, b->vm_id);
}

stream_result_t stream_chunk(stream_t *stream, const stream_id_t *id,
			     int64_t offset_tokens, int64_t tokens, bool finish)
{
	if (!same_request(&stream->id, id))
		return drop(stream, STREAM_DROP_OTHER_REQUEST);
	if (stream->id.attempt != id->attempt)
		return drop(stream, STREAM_DROP_OTHER_ATTEMPT);
	if (stream->complete)
		return drop(stream, STREAM_DROP_AFTER_END);
	if (offset_tokens < stream->next_tokens)
		return drop(stream, STREAM_DROP_REPEATED);
	if (offset_tokens > stream->next_tokens) {
		stream->ahead_chunks++;
		return drop(stream, stream->ahead_chunks < STREAM_AHEAD_MAX
					    ? STREAM_DROP_AHEAD
					    : STREAM_LOST);
	}
	/* After the finish reason only chunks without tokens may follow, such
	 * as the usage. */
	if (stream->finished && (tokens || finish))
		return drop(stream, STREAM_DROP_AFTER_END);
	stream->ahead_chunks = 0;
	stream->next_tokens += tokens;
	stream->attempt_delivered = true;
	stream->finished = stream->finished || finish;
	return STREAM_DELIVER;
}

stream_result_t stream_end_marker(stream_t *stream)
{
	if (stream->complete)
		return drop(stream, STREAM_DROP_AFTER_END);
	if (!stream->finished)
		return STREAM_LOST;
	stream->complete = true;
	return STREAM_COMPLETE;
}
