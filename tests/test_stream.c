/**
 * Tests of the position of a stream, of the splitter for server-sent events and
 * of the parser for the chunks of an engine.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "connection/engine.h"
#include "request/sse.h"
#include "request/stream.h"

static const stream_id_t own_id = { "vm", 7, 1, 1 };

/*
 * One step of a case: a chunk (LAST has a finish reason), an end marker, the
 * start of an attempt or a resumption. NONE ends the steps.
 */
typedef struct {
	enum { NONE, CHUNK, LAST, END, ATTEMPT, RESUME } step;
	uint64_t request;
	uint32_t attempt;
	int64_t offset, tokens;
	stream_result_t result; /* expected result of the step */
	int64_t position; /* expected position after the step, in tokens */
} step_t;

static const struct {
	const char *failure; /* what the case guards against */
	step_t steps[12];
} sequences[] = {
	{ "an answer in order that is not complete",
	  { { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 1, 3, STREAM_DELIVER, 4 },
	    { LAST, 1, 1, 4, 1, STREAM_DELIVER, 5 },
	    { END, 0, 0, 0, 0, STREAM_COMPLETE, 5 } } },
	{ "a chunk of another request or attempt",
	  { { CHUNK, 2, 1, 0, 1, STREAM_DROP_OTHER_REQUEST, 0 },
	    { CHUNK, 1, 2, 0, 1, STREAM_DROP_OTHER_ATTEMPT, 0 },
	    { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 } } },
	{ "a repeated or delayed chunk",
	  { { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 0, 1, STREAM_DROP_REPEATED, 1 },
	    { CHUNK, 1, 1, 1, 1, STREAM_DELIVER, 2 },
	    { CHUNK, 1, 1, 0, 1, STREAM_DROP_REPEATED, 2 } } },
	{ "a missing chunk",
	  { { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 2, 1, STREAM_DROP_AHEAD, 1 },
	    { LAST, 1, 1, 3, 1, STREAM_DROP_AHEAD, 1 },
	    { END, 0, 0, 0, 0, STREAM_LOST, 1 },
	    { RESUME, 0, 0, 0, 0, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 1, 2, STREAM_DELIVER, 3 },
	    { LAST, 1, 1, 3, 1, STREAM_DELIVER, 4 },
	    { END, 0, 0, 0, 0, STREAM_COMPLETE, 4 } } },
	{ "a stream that continues after a missing chunk",
	  { { CHUNK, 1, 1, 1, 1, STREAM_DROP_AHEAD, 0 },
	    { CHUNK, 1, 1, 2, 1, STREAM_DROP_AHEAD, 0 },
	    { CHUNK, 1, 1, 3, 1, STREAM_DROP_AHEAD, 0 },
	    { CHUNK, 1, 1, 4, 1, STREAM_LOST, 0 } } },
	{ "a resumption for each stray chunk",
	  { { CHUNK, 1, 1, 1, 1, STREAM_DROP_AHEAD, 0 },
	    { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 2, 1, STREAM_DROP_AHEAD, 1 },
	    { CHUNK, 1, 1, 1, 1, STREAM_DELIVER, 2 },
	    { CHUNK, 1, 1, 3, 1, STREAM_DROP_AHEAD, 2 },
	    { CHUNK, 1, 1, 2, 1, STREAM_DELIVER, 3 },
	    { CHUNK, 1, 1, 4, 1, STREAM_DROP_AHEAD, 3 } } },
	{ "the end marker of another stream",
	  { { END, 0, 0, 0, 0, STREAM_LOST, 0 },
	    { CHUNK, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { END, 0, 0, 0, 0, STREAM_LOST, 1 } } },
	{ "chunks after the end",
	  { { LAST, 1, 1, 0, 1, STREAM_DELIVER, 1 },
	    { CHUNK, 1, 1, 1, 1, STREAM_DROP_AFTER_END, 1 },
	    { CHUNK, 1, 1, 1, 0, STREAM_DELIVER, 1 }, /* usage */
	    { END, 0, 0, 0, 0, STREAM_COMPLETE, 1 },
	    { CHUNK, 1, 1, 1, 1, STREAM_DROP_AFTER_END, 1 },
	    { END, 0, 0, 0, 0, STREAM_DROP_AFTER_END, 1 } } },
	{ "a new attempt that repeats or skips tokens",
	  { { CHUNK, 1, 1, 0, 2, STREAM_DELIVER, 2 },
	    { ATTEMPT, 0, 2, 0, 0, STREAM_DELIVER, 2 },
	    { CHUNK, 1, 1, 2, 1, STREAM_DROP_OTHER_ATTEMPT, 2 },
	    { CHUNK, 1, 2, 0, 1, STREAM_DROP_REPEATED, 2 },
	    { LAST, 1, 2, 2, 1, STREAM_DELIVER, 3 },
	    { END, 0, 0, 0, 0, STREAM_COMPLETE, 3 } } },
};

static stream_result_t take_step(stream_t *stream, const step_t *step)
{
	stream_id_t id = own_id;

	id.request = step->request;
	id.attempt = step->attempt;
	switch (step->step) {
	case END:
		return stream_end_marker(stream);
	case ATTEMPT:
		id.request = own_id.request;
		stream_attempt(stream, &id);
		return STREAM_DELIVER;
	case RESUME:
		stream_resume(stream);
		return STREAM_DELIVER;
	default:
		return stream_chunk(stream, &id, step->offset, step->tokens,
				    step->step == LAST);
	}
}

/* Guards against an answer with missing, repeated or foreign tokens. */
static void tracks_the_position(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(sequences); i++) {
		const step_t *step = sequences[i].steps;
		stream_t stream;

		stream_init(&stream);
		stream_attempt(&stream, &own_id);
		for (; step->step != NONE; step++) {
			stream_result_t result = take_step(&stream, step);

			if (result != step->result ||
			    stream.next_tokens != step->position)
				fail_msg("%s: step %td: %d at %lld",
					 sequences[i].failure,
					 step - sequences[i].steps, (int)result,
					 (long long)stream.next_tokens);
		}
	}
}

/* Data of the events that the handler received, each followed by '|'. */
static char joined[1024];

/* Handler that stops after *context events. */
static bool join(void *context, const sse_event_t *event)
{
	int *left = context;

	strncat(joined, event->data, event->data_size);
	strncat(joined, "|", 2);
	return --*left > 0;
}

/*
 * Guards against events that are lost or changed because their bytes arrive in
 * two pieces.
 */
static void splits_events_in_any_two_pieces(void **state)
{
	static const char text[] = "data: one\n\ndata:two\r\n\r\n: note\n\n"
				   "event: x\ndata: three\n\ndata: cut";
	size_t split, size = strlen(text);

	for (split = 0; split <= size; split++) {
		sse_t sse = { .held = NULL };
		int left = 100;

		joined[0] = '\0';
		sse_feed(&sse, text, split, join, &left);
		sse_feed(&sse, text + split, size - split, join, &left);
		assert_string_equal(joined, "one|two||three|");
		sse_clear(&sse);
	}
}

/* Guards against a handler that is called again after it returned false. */
static void stops_after_handler_returns_false(void **state)
{
	sse_t sse = { .held = NULL };
	int left = 1;

	joined[0] = '\0';
	assert_int_equal(sse_feed(&sse, "data: a\n\ndata: b\n\n", 18, join,
				  &left),
			 SSE_STOPPED);
	assert_string_equal(joined, "a|");
	sse_clear(&sse);
}

/* Guards against an event without an end that uses up the memory. */
static void bounds_the_size_of_an_event(void **state)
{
	static char piece[SSE_EVENT_MAX_BYTES / 4 + 1];
	sse_t sse = { .held = NULL };
	int left = 100, i;

	memset(piece, 'x', sizeof(piece));
	for (i = 0; i < 3; i++)
		assert_int_equal(sse_feed(&sse, piece, sizeof(piece), join,
					  &left),
				 SSE_OK);
	assert_int_equal(sse_feed(&sse, piece, sizeof(piece), join, &left),
			 SSE_TOO_LONG);
	sse_clear(&sse);
}

#define ID "\"stream_id\":\"vm.7.1.1\""

/* Data of one event and the expected chunk. */
static const struct {
	const char *data;
	bool valid;
	engine_event_type_t type;
	int64_t offset, tokens;
	const char *text, *reason;
} events[] = {
	{ "[DONE]", true, ENGINE_EVENT_DONE, 0, 0, "", "" },
	{ "{" ID ",\"offset\":4,\"choices\":[{\"text\":\"a\\nb\"}]}", true,
	  ENGINE_EVENT_CHUNK, 4, 1, "a\nb", "" },
	{ "{" ID ",\"offset\":4,\"tokens\":3,\"choices\":[{\"delta\":"
	  "{\"content\":\"\\u00e9\"},\"finish_reason\":\"stop\"}]}",
	  true, ENGINE_EVENT_CHUNK, 4, 3, "\xc3\xa9", "stop" },
	{ "{" ID ",\"offset\":0,\"choices\":[{\"delta\":{\"role\":\"x\"}}]}",
	  true, ENGINE_EVENT_CHUNK, 0, 0, "", "" },
	{ "{\"usage\":{}}", true, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{" ID "}", false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{\"offset\":1}", false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{" ID ",\"offset\":-1}", false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{\"stream_id\":\"x\",\"offset\":1}", false, ENGINE_EVENT_OTHER, 0, 0,
	  "", "" },
	{ "{" ID ",\"offset\":1,\"tokens\":-1}", false, ENGINE_EVENT_OTHER, 0,
	  0, "", "" },
	{ "{" ID ",\"offset\":1,\"choices\":[{\"text\":"
	  "\"a text beyond the buffer\"}]}",
	  false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{" ID ",\"offset\":1,\"choices\":[{\"finish_reason\":"
	  "\"a reason beyond its buffer\"}]}",
	  false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "{\"a\":", false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
	{ "[1]", false, ENGINE_EVENT_OTHER, 0, 0, "", "" },
};

/* Guards against a malformed chunk that is accepted as a chunk of an answer. */
static void reads_chunks(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(events); i++) {
		engine_chunk_t chunk;
		char buffer[16];
		err_t err = { 0 };
		bool valid = engine_parse_event(events[i].data,
						strlen(events[i].data), buffer,
						sizeof(buffer), &chunk, &err);

		if (valid != events[i].valid)
			fail_msg("case %zu: %s", i, err.message);
		if (!valid) {
			assert_int_equal(err.layer, ERR_LAYER_ENGINE);
			continue;
		}
		assert_int_equal(chunk.type, events[i].type);
		assert_int_equal(chunk.offset_tokens, events[i].offset);
		assert_int_equal(chunk.tokens, events[i].tokens);
		assert_int_equal(chunk.text_size_bytes, strlen(events[i].text));
		assert_memory_equal(chunk.text, events[i].text,
				    strlen(events[i].text));
		assert_string_equal(chunk.finish_reason, events[i].reason);
	}
}

#define CHUNK "{" ID ",\"offset\":4"
#define CHOICE(members) CHUNK ",\"choices\":[{" members "}]}"

/*
 * The usual form of a chunk and forms that differ a little, some of them
 * invalid.
 */
static const char *const chunk_forms[] = {
	CHOICE("\"text\":\"a\""),
	CHOICE("\"index\":0,\"text\":\"a b\",\"finish_reason\":null"),
	CHOICE("\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\""),
	CHOICE("\"text\":\"\",\"finish_reason\":\"\""),
	CHOICE("\"finish_reason\":\"a reason of twenty-three\""),
	CHOICE("\"finish_reason\":\"a reason that is cut at its end\""),
	CHOICE("\"finish_reason\":0"),
	CHOICE("\"text\":\"a\",\"text\":\"b\""),
	CHOICE("\"text\":\"a\",\"delta\":{\"content\":\"b\"}"),
	CHOICE("\"text\":null,\"delta\":{\"content\":\"b\"}"),
	CHOICE("\"delta\":{\"content\":\"a\",\"content\":\"b\"}"),
	CHOICE("\"delta\":{}"),
	CHOICE("\"delta\":{\"content\":null}"),
	CHOICE("\"text\":\"exactly 16 bytes\""),
	CHOICE("\"text\":\"17 bytes are over\""),
	CHOICE("\"text\":\"\\\"\\\\\""),
	CHOICE("\"text\":\"\\u0000\""),
	CHOICE("\"text\":\"\xc3\xa9\""),
	CHOICE("\"text\":\"\xc3\""),
	CHOICE("\"text\":\"a\tb\""),
	CHOICE("\"text\":\"a\x7f\""),
	CHOICE("\"text\":\"a\","),
	CHOICE("\"text\":\"a"),
	CHOICE("\"text\":\"a\"}],\"choices\":[{\"text\":\"b\""),
	CHOICE("\"text\":\"a\"},{\"text\":\"b\""),
	CHOICE(""),
	CHOICE("\"index\":01"),
	CHOICE("\"index\":-1"),
	CHOICE("\"index\":1.5"),
	CHUNK "}",
	CHUNK ",}",
	CHUNK ",\"choices\":[]}",
	CHUNK ",\"choices\":{}}",
	CHUNK ",\"choices\":null}",
	CHUNK ",\"tokens\":0}",
	CHUNK ",\"tokens\":2147483647}",
	CHUNK ",\"tokens\":2147483648}",
	CHUNK ",\"tokens\":\"2\"}",
	CHUNK ",\"tokens\":2e0}",
	CHUNK ",\"tokens\":null}",
	CHUNK ",\"offset\":5}",
	CHUNK "," ID "}",
	CHUNK ",\"stream_id\":\"vm.7.1.2\"}",
	CHUNK ",\"id\":\"x\",\"object\":\"y\",\"model\":\"z\",\"created\":1}",
	CHUNK ",\"id\":1}",
	CHUNK ",\"created\":1.5}",
	CHUNK ",\"usage\":{}}",
	CHUNK "}}",
	CHUNK "} x",
	CHUNK,
	" " CHUNK "}",
	"{ " ID ",\"offset\":4}",
	"{" ID ",\"offset\":0}",
	"{" ID ",\"offset\":-0}",
	"{" ID ",\"offset\":00}",
	"{" ID ",\"offset\":04}",
	"{" ID ",\"offset\":}",
	"{" ID ",\"offset\":4.0}",
	"{" ID ",\"offset\":999999999999999999}",
	"{" ID ",\"offset\":9223372036854775807}",
	"{" ID ",\"offset\":9223372036854775808}",
	"{" ID ",\"offset\":99999999999999999999}",
	"{\"offset\":4," ID "}",
	"{\"offset\":4}",
	"{\"stream_id\":\"\",\"offset\":4}",
	"{\"stream_id\":\"vm.7.1\",\"offset\":4}",
	"{\"stream_id\":\"vm.7.1.g\",\"offset\":4}",
	"{\"stream_id\":\"vm.7.1.1ffffffff\",\"offset\":4}",
	"{\"stream_id\":\"v\\u006d.7.1.1\",\"offset\":4}",
	"{\"stream_id\":null,\"offset\":4}",
	"{}",
	"{",
	"",
};

/*
 * Guards against a fast parser for the usual form of a chunk that disagrees
 * with the JSON library. Each form is parsed as it stands and with a space at
 * its end, which only the library accepts.
 */
static void fast_parser_agrees_with_library(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(chunk_forms); i++) {
		engine_chunk_t chunks[2];
		char buffers[2][16], data[512];
		size_t size = strlen(chunk_forms[i]);
		bool valid[2];
		int j;

		assert_true(size + 2 < sizeof(data));
		snprintf(data, sizeof(data), "%s ", chunk_forms[i]);
		for (j = 0; j < 2; j++)
			valid[j] = engine_parse_event(data, size + (size_t)j,
						      buffers[j],
						      sizeof(buffers[j]),
						      &chunks[j], NULL);
		if (valid[0] != valid[1])
			fail_msg("%s: valid %d, library %d", chunk_forms[i],
				 valid[0], valid[1]);
		if (!valid[0])
			continue;
		if (chunks[0].type != chunks[1].type ||
		    !stream_id_equal(&chunks[0].stream_id,
				     &chunks[1].stream_id) ||
		    chunks[0].offset_tokens != chunks[1].offset_tokens ||
		    chunks[0].tokens != chunks[1].tokens ||
		    chunks[0].text_size_bytes != chunks[1].text_size_bytes ||
		    memcmp(chunks[0].text, chunks[1].text,
			   chunks[0].text_size_bytes) != 0 ||
		    strcmp(chunks[0].finish_reason, chunks[1].finish_reason) !=
			    0)
			fail_msg("%s: fast parser and library differ",
				 chunk_forms[i]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(tracks_the_position),
		cmocka_unit_test(splits_events_in_any_two_pieces),
		cmocka_unit_test(stops_after_handler_returns_false),
		cmocka_unit_test(bounds_the_size_of_an_event),
		cmocka_unit_test(reads_chunks),
		cmocka_unit_test(fast_parser_agrees_with_library),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
