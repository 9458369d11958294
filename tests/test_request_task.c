/** Request task: streams, answers and outcomes seen by a caller. */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "lib/fixture.h"

static fixture_t fixture;
static answer_t answer;

static const char prompt[] =
	"{\"model\":\"chat\",\"prompt\":\"hello\",\"stream\":true,"
	"\"max_tokens\":3}";

static void serve_three(server_call_t *call, size_t index)
{
	const char *id = serve_stream_id(call);

	serve_stream(call);
	serve_chunk(call, id, 0, "a ", false);
	serve_chunk(call, id, 1, "b ", false);
	serve_chunk(call, id, 2, "c ", true);
	serve_done(call);
}

/* Guards against an answer that is changed or cut on its way. */
static void relays_a_stream_to_its_end_marker(void **state)
{
	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_three;
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	fixture_wait(&fixture, &answer);
	assert_int_equal(answer.status, 200);
	assert_string_equal(answer.content_type, "text/event-stream");
	assert_non_null(strstr(answer.body, "\"text\":\"c \""));
	assert_non_null(strstr(answer.body, "data: [DONE]\n\n"));
	assert_non_null(fixture_message(&fixture, TASK_MSG_FIRST_TOKEN, 0));
	assert_int_equal(fixture_message(&fixture, TASK_MSG_FINISHED, 0)
				 ->as.finished.end,
			 ATTEMPT_COMPLETE);
	fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(relays_a_stream_to_its_end_marker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
