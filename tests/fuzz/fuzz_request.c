/**
 * Fuzzes the parsers of what callers and engines send: bodies, paths, keys,
 * load reports and event streams. The first byte chooses the parser.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/engine.h"
#include "request/parse.h"
#include "request/sse.h"
#include "request/stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses the data again with a space at its end, which only the JSON library
 * accepts. Guards against a fast parser that disagrees with the library.
 */
static void compare_parsers(const sse_event_t *event, bool valid,
			    const engine_chunk_t *chunk)
{
	size_t size = event->data_size + 1;
	char *data = mem_calloc(size, 1), text[256];
	engine_chunk_t other;
	bool same;

	memcpy(data, event->data, event->data_size);
	data[size - 1] = ' ';
	same = engine_parse_event(data, size, text, sizeof(text), &other,
				  NULL) == valid;
	if (same && valid)
		same = other.type == chunk->type &&
		       stream_id_equal(&other.stream_id, &chunk->stream_id) &&
		       other.offset_tokens == chunk->offset_tokens &&
		       other.tokens == chunk->tokens &&
		       other.text_size_bytes == chunk->text_size_bytes &&
		       !memcmp(other.text, chunk->text,
			       chunk->text_size_bytes) &&
		       !strcmp(other.finish_reason, chunk->finish_reason);
	if (!same)
		abort();
	free(data);
}

static bool on_event(void *context, const sse_event_t *event)
{
	stream_t *stream = context;
	int64_t before = stream->next_tokens;
	engine_chunk_t chunk;
	char text[256];
	err_t err;
	bool valid = engine_parse_event(event->data, event->data_size, text,
					sizeof(text), &chunk, &err);

	if (!valid || chunk.type != ENGINE_EVENT_DONE)
		compare_parsers(event, valid, &chunk);
	if (!valid)
		return true;
	if (chunk.type == ENGINE_EVENT_DONE) {
		stream_end_marker(stream);
		return !stream->complete;
	}
	if (chunk.text_size_bytes > sizeof(text))
		abort();
	if (chunk.type == ENGINE_EVENT_CHUNK)
		stream_chunk(stream, &chunk.stream_id, chunk.offset_tokens,
			     chunk.tokens, chunk.finish_reason[0]);
	if (stream->next_tokens < before)
		abort();
	return true;
}

/*
 * Feeds a stream in two pieces. The events must be the same wherever the input
 * is split.
 */
static void feed_stream(const char *text, size_t size, size_t split)
{
	sse_t sse = { .held = NULL };
	stream_t stream;

	stream_init(&stream);
	mem_strlcpy(stream.id.vm_id, "vm", sizeof(stream.id.vm_id));
	if (sse_feed(&sse, text, split, on_event, &stream) == SSE_OK)
		sse_feed(&sse, text + split, size - split, on_event, &stream);
	sse_clear(&sse);
}

static void read_body(const char *text, size_t size, bool chat)
{
	completion_t completion;
	err_t err;

	if (!parse_completion(text, size, chat, "acme", &completion, &err))
		return;
	if (completion.prompt_tokens < 0 || completion.max_tokens < 1)
		abort();
	completion_clear(&completion);
}

static void read_headers(const char *text)
{
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	endpoint_t endpoint;
	err_t err;

	parse_endpoint("POST", text, &endpoint, &err);
	parse_bearer(text);
	if (parse_idempotency_key(text, true, key, &err) &&
	    strcmp(key, text) != 0)
		abort();
}

static void read_reports(const char *text, size_t size)
{
	load_report_t report;
	err_t err;

	engine_parse_load(text, size, &report, &err);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (size < 2)
		return 0;
	text = mem_copy(data + 2, size - 2);
	size -= 2;
	switch (data[0] % 4) {
	case 0:
		feed_stream(text, size, size ? data[1] % size : 0);
		break;
	case 1:
		read_body(text, size, data[1] & 1);
		break;
	case 2:
		read_headers(text);
		break;
	default:
		read_reports(text, size);
	}
	free(text);
	return 0;
}
