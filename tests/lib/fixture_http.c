#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/fixture.h"

enum { ANSWER_WAIT_MS = 5000 };

static void on_answer_header(void *context, const char *name, const char *value)
{
	answer_t *answer = context;

	if (!strcasecmp(name, "Chivestage-Outcome"))
		mem_strlcpy(answer->outcome, value, sizeof(answer->outcome));
	if (!strcasecmp(name, "Chivestage-Request-Id"))
		mem_strlcpy(answer->request_id, value,
			    sizeof(answer->request_id));
	if (!strcasecmp(name, "Retry-After"))
		mem_strlcpy(answer->retry_after, value,
			    sizeof(answer->retry_after));
	if (!strcasecmp(name, "Content-Type"))
		mem_strlcpy(answer->content_type, value,
			    sizeof(answer->content_type));
}

static client_flow_t on_answer_data(void *context, const void *data,
				    size_t size)
{
	answer_t *answer = context;

	if (answer->discards)
		return CLIENT_CONTINUE;
	assert_true(answer->size + size < sizeof(answer->body));
	memcpy(answer->body + answer->size, data, size);
	answer->size += size;
	answer->body[answer->size] = '\0';
	return CLIENT_CONTINUE;
}

static void on_answer_end(void *context, client_end_t end, int status)
{
	answer_t *answer = context;

	answer->end = end;
	answer->status = status;
	answer->ended = true;
	answer->call = NULL;
}

void fixture_call(fixture_t *fixture, answer_t *answer, const char *method,
		  const char *path, const char *header, const char *body)
{
	const char *headers[] = { "Authorization: Bearer secret", header,
				  NULL };
	client_request_t request = {
		.method = method,
		.url = fixture->task_url,
		.target = path,
		.headers = headers,
		.body = body,
		.body_size_bytes = body ? strlen(body) : 0,
		.connect_timeout_ms = 1000,
	};
	client_handler_t handler = {
		.on_header = on_answer_header,
		.on_data = on_answer_data,
		.on_end = on_answer_end,
		.context = answer,
	};

	answer->ended = false;
	answer->size = 0;
	answer->status = 0;
	answer->body[0] = answer->outcome[0] = answer->retry_after[0] = '\0';
	answer->call = client_call(fixture->client, &request, &handler);
}

void fixture_wait(fixture_t *fixture, answer_t *answer)
{
	int64_t end_us = clock_monotonic_us() + ANSWER_WAIT_MS * US_PER_MS;

	while (!answer->ended && clock_monotonic_us() < end_us)
		fixture_step(fixture);
	if (!answer->ended)
		fail_msg("no answer within %d ms", ANSWER_WAIT_MS);
}

void serve_stream(server_call_t *call)
{
	reply_header_t type = { "Content-Type", "text/event-stream" };

	exchange_stream(call->exchange, 200, &type, 1);
}

void serve_chunk(server_call_t *call, const char *stream_id, int64_t offset,
		 const char *text, bool last)
{
	char event[512];
	int size = snprintf(
		event, sizeof(event),
		"data: {\"stream_id\":\"%s\",\"offset\":%lld,\"tokens\":1,"
		"\"choices\":[{\"index\":0,\"text\":\"%s\","
		"\"finish_reason\":%s}]}\n\n",
		stream_id, (long long)offset, text,
		last ? "\"length\"" : "null");

	exchange_write(call->exchange, event, (size_t)size);
}

void serve_done(server_call_t *call)
{
	static const char end[] = "data: [DONE]\n\n";

	exchange_write(call->exchange, end, sizeof(end) - 1);
	exchange_end(call->exchange);
}

void serve_end(server_call_t *call)
{
	exchange_end(call->exchange);
}

void serve_reply(server_call_t *call, int status, const char *header,
		 const char *value, const char *body)
{
	reply_header_t headers = { header, value };

	exchange_reply(call->exchange, status, &headers, header ? 1 : 0, body,
		       strlen(body));
}

const char *serve_stream_id(const server_call_t *call)
{
	static char id[128];
	const char *found = strstr(call->body, "\"stream_id\":\"");

	if (found)
		sscanf(found, "\"stream_id\":\"%127[^\"]", id);
	else
		mem_strlcpy(id, strrchr(call->path, '/') + 1, sizeof(id));
	return id;
}
