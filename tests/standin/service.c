/**
 * Stand-in for a plain service. A request with the body `{"action":"ID"}` is
 * an action, which the history records; the query argument `call` names a
 * lookup. POST /standin/fault with a JSON object injects faults:
 *   lose_answers  runs the next N calls, but closes their connections without
 *                 an answer
 *   refuse        refuses the next N calls before they run
 *   slow_ms       delays each answer by this time, in ms
 *   stall_after   sends so many bytes in place of each answer, and no end;
 *                 0: whole answers
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"
#include "lib_http.h"

/* Longer than any time limit of the tests that use stall_after. */
enum { STALL_MS = 20000 };

static char *name = NULL;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t lose_answers, refuse, slow_ms, stall_after, running, executed,
	incarnation;

static enum MHD_Result set_fault(http_request_t *request)
{
	json_t *fault = http_body_json(request);

	http_read_fault(fault, "lose_answers", &lose_answers);
	http_read_fault(fault, "refuse", &refuse);
	http_read_fault(fault, "slow_ms", &slow_ms);
	http_read_fault(fault, "stall_after", &stall_after);
	json_decref(fault);
	return http_reply(request, fault ? 200 : 400, "{}");
}

static enum MHD_Result report_load(http_request_t *request)
{
	return http_reply_json(
		request, 200,
		json_pack("{s:I,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:[],s:s,s:b,s:I}",
			  "incarnation", incarnation, "cold", 0, "kv_total",
			  (json_int_t)0, "kv_used", (json_int_t)0, "running",
			  running, "queued", (json_int_t)0,
			  "prefill_tokens_queued", (json_int_t)0,
			  "prefill_tokens_per_s", (json_int_t)0, "models",
			  "role", "both", "shares_kv", 0, "time_us",
			  clock_monotonic_us()));
}

/* Runs one call. @return false if a fault loses the answer. */
static bool execute(http_request_t *request, char answer[256])
{
	json_t *body = http_body_json(request);
	const char *action = http_json_string(body, "action", NULL);
	const char *call = http_argument(request, "call");

	history_event("execute", "%s=\"%s\" method=%s",
		      action ? "action" : "call",
		      action ? action : (call ? call : ""), request->method);
	executed++;
	snprintf(answer, 256,
		 "{\"server\":\"%s\",\"%s\":\"%.100s\",\"run\":%" PRId64 "}",
		 name, action ? "action" : "call",
		 action ? action : (call ? call : ""), executed);
	json_decref(body);
	return !http_use_fault(&lose_answers);
}

/* Content reader of an answer without end. */
static ssize_t read_stalling(void *context, uint64_t position, char *target,
			     size_t max)
{
	uint64_t left = (uint64_t)stall_after > position
				? (uint64_t)stall_after - position
				: 0;
	size_t size = left < max ? (size_t)left : max;

	if (!size) {
		http_sleep_ms(STALL_MS);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	memset(target, 'x', size);
	return (ssize_t)size;
}

static enum MHD_Result on_request(http_request_t *request)
{
	char answer[256];
	bool refused, answered = false;
	int64_t wait_ms;

	if (!strcmp(request->path, "/standin/fault"))
		return set_fault(request);
	if (!strcmp(request->path, "/v1/load"))
		return report_load(request);
	pthread_mutex_lock(&lock);
	refused = http_use_fault(&refuse);
	wait_ms = slow_ms;
	running++;
	if (!refused)
		answered = execute(request, answer);
	pthread_mutex_unlock(&lock);
	http_sleep_ms(wait_ms);
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	if (refused)
		return http_refuse(request);
	if (answered && stall_after)
		return http_stream(request, "text/plain", read_stalling, NULL,
				   NULL);
	return answered ? http_reply(request, 200, answer) : MHD_NO;
}

static void start(void)
{
	incarnation = http_incarnation();
	history_event("start", "incarnation=%" PRId64, incarnation);
}

static void stop(void)
{
	history_event("stop", "incarnation=%" PRId64, incarnation);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = { { NULL, 0, POPT_ARG_INCLUDE_TABLE,
					  http_options, 0, NULL, NULL },
					{ "name", 0, POPT_ARG_STRING, &name, 0,
					  "name of the server", "NAME" },
					POPT_AUTOHELP POPT_TABLEEND };
	int status;

	http_parse_options(argc, argv, options);
	status = http_serve(name ? name : "service", on_request, start, stop);
	free(name);
	return status;
}
