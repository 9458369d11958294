#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

enum {
	/* Time after the time limit of a request in which its answer may still
	 * arrive. */
	ANSWER_SLACK_MS = 700,
	OVERLOAD_SLACK_MS = 500, /* the same with overload */
	BODY_MAX_BYTES = 4096
};

/** A request in flight. */
typedef struct {
	soak_t *soak;
	request_record_t *record;
	node_t *node;
	int64_t node_disturbed_us; /* node->disturbed_us when the request was
				      sent */
	char seal[16]; /* X-Server-Seal of the answer; empty: none */
	bool has_rate, /* the answer has Server-Limit */
		has_retry_after; /* the answer has Retry-After */
	char body[BODY_MAX_BYTES]; /* body of the answer */
	size_t size; /* size of the body */
} call_t;

request_record_t *callers_find(soak_t *soak, const char *id)
{
	request_record_t *record;

	HASH_FIND_STR(soak->requests, id, record);
	return record;
}

static void on_header(void *context, const char *name, const char *value)
{
	call_t *call = context;

	if (!strcasecmp(name, "X-Server-Seal"))
		mem_strlcpy(call->seal, value, sizeof(call->seal));
	if (!strcasecmp(name, "Server-Limit"))
		call->has_rate = true;
	if (!strcasecmp(name, "Retry-After"))
		call->has_retry_after = true;
}

static void on_status(void *context, int status)
{
	call_t *call = context;

	if (call->has_rate)
		rates_relayed(call->node, call->seal);
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	call_t *call = context;

	if (!call->record->first_us)
		call->record->first_us = clock_monotonic_us();
	if (call->size + size < sizeof(call->body)) {
		memcpy(call->body + call->size, data, size);
		call->size += size;
	}
	return CLIENT_CONTINUE;
}

bool callers_is_stream(const request_record_t *record)
{
	return strchr("tuv", record->path);
}

bool callers_is_once(const request_record_t *record)
{
	return strchr("ov", record->path);
}

/* @return true if the body is all events of the stream, in order */
static bool is_whole_stream(const call_t *call)
{
	char expected[BODY_MAX_BYTES];
	size_t used = 0;
	int i;

	for (i = 1; i <= STREAM_EVENTS; i++)
		used += (size_t)snprintf(expected + used,
					 sizeof(expected) - used,
					 "id: %d\ndata: %s %d\n\n", i,
					 call->record->id, i);
	return !strcmp(call->body, expected);
}

static void check_success(const call_t *call)
{
	char expected[64];
	bool whole;

	snprintf(expected, sizeof(expected), "answer to %s", call->record->id);
	whole = callers_is_stream(call->record) ? is_whole_stream(call)
						: !strcmp(call->body, expected);
	if (!*call->seal || !whole)
		soak_violation(call->soak, "MIXED %s: unexpected answer %s",
			       call->record->id, call->body);
}

static void check_refusal(const call_t *call, int status)
{
	request_record_t *record = call->record;

	record->refused = true;
	if ((callers_is_once(record) || call->soak->overload) && record->runs)
		soak_violation(call->soak, "REFUSED %s: status %d, but it ran",
			       record->id, status);
	if (!call->has_retry_after)
		soak_violation(call->soak, "REFUSED %s: no Retry-After",
			       record->id);
}

/* Reports an answer after the time limit, unless the node that got the request
 * had a fault. */
static void check_time(const call_t *call, client_end_t end)
{
	int64_t took_ms =
		(clock_monotonic_us() - call->record->sent_us) / US_PER_MS;
	int64_t slack_ms = call->soak->overload ? OVERLOAD_SLACK_MS
						: ANSWER_SLACK_MS;

	if (took_ms > DEADLINE_MS + slack_ms &&
	    call->node->disturbed_us == call->node_disturbed_us &&
	    node_undisturbed(call->node))
		soak_violation(call->soak, "LATE %s: ended with %d after %d ms",
			       call->record->id, end, (int)took_ms);
}

/* @return true if all servers of a request have crashed and are down */
static bool has_no_server(const soak_t *soak, const request_record_t *record)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		if (soak->servers[i].plain != callers_is_stream(record) &&
		    !soak->servers[i].down)
			return false;
	return true;
}

static void count(const call_t *call, client_end_t end, int status)
{
	soak_t *soak = call->soak;
	bool after = soak->recovered_us &&
		     call->record->sent_us > soak->recovered_us &&
		     !has_no_server(soak, call->record);

	soak->counts.recovered_sent += after;
	if (end != CLIENT_OK)
		soak->counts.cut++;
	else if (status == 200)
		soak->counts.complete++;
	else if (status == 503)
		soak->counts.refused++;
	else
		soak->counts.failed++;
	soak->counts.recovered_complete += after && end == CLIENT_OK &&
					   status == 200;
}

static void on_end(void *context, client_end_t end, int status)
{
	call_t *call = context;
	const request_record_t *record = call->record;
	bool revoked = record->key >= 0 &&
		       call->soak->key_revoked_us[record->key];

	call->record->done = true;
	cuts_answered(call->soak, record, end == CLIENT_OK && status == 200);
	if (call->soak->overload)
		overload_answered(record, end == CLIENT_OK && status == 200);
	if (end == CLIENT_OK && status == 200)
		check_success(call);
	else if (end == CLIENT_OK && (status == 503 || status == 429))
		check_refusal(call, status);
	else if (end == CLIENT_OK && !revoked &&
		 (status == 401 || status == 404))
		soak_violation(call->soak,
			       "DENIED %s: status %d with a valid key",
			       record->id, status);
	check_time(call, end);
	if (!revoked && record->crash_cause < 0)
		count(call, end, status);
	free(call);
}

/* @return a random node that is ready; NULL if none is */
static node_t *choose_node(soak_t *soak)
{
	int i, from = (int)soak_random(soak, (uint64_t)soak->node_count);

	for (i = 0; i < soak->node_count; i++) {
		node_t *node = &soak->nodes[(from + i) % soak->node_count];

		if (node->ready)
			return node;
	}
	return NULL;
}

request_record_t *callers_new_record(soak_t *soak)
{
	static const char paths[] = "sotts";
	request_record_t *record = mem_calloc(1, sizeof(*record));

	snprintf(record->id, sizeof(record->id), "r%llu",
		 (unsigned long long)soak->next_id++);
	record->path = paths[soak_random(soak, sizeof(paths) - 1)];
	record->key = (int)soak_random(soak, KEYS);
	if (soak->duties)
		record->key = duties_key();
	overload_choose(soak, record);
	record->sent_us = clock_monotonic_us();
	HASH_ADD_STR(soak->requests, id, record);
	budget_sent(record);
	return record;
}

static void send_request(soak_t *soak, node_t *node)
{
	request_record_t *record = callers_new_record(soak);
	call_t *call = mem_calloc(1, sizeof(*call));
	char url[96], id[64], key[64], deadline[48], tokens[48];
	char segments[96] = "X-Prefix-Hash: ";
	const char *headers[] = { "Host: soak", id,	  key, deadline,
				  tokens,	segments, NULL };
	client_handler_t handler = { .on_header = on_header,
				     .on_status = on_status,
				     .on_data = on_data,
				     .on_end = on_end,
				     .context = call };
	client_request_t request = {
		.url = url,
		.headers = headers,
		.connect_timeout_ms = 1000,
		.total_timeout_ms = DEADLINE_MS + 2 * ANSWER_SLACK_MS,
		/* Only repeatable requests (path s) may use a connection
		 * that was kept open. */
		.at_most_once = record->path != 's',
	};

	call->soak = soak;
	call->record = record;
	record->node = node;
	cuts_sent(soak, record);
	call->node = node;
	call->node_disturbed_us = node->disturbed_us;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/%c/x", node->port,
		 record->path);
	snprintf(id, sizeof(id), "X-Request-Id: %s", record->id);
	snprintf(key, sizeof(key), "Authorization: Bearer key-%d", record->key);
	snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %d", DEADLINE_MS);
	snprintf(tokens, sizeof(tokens), "X-Token-Counts: %d,400",
		 1000 + (int)soak_random(soak, 8000));
	crashes_choose(soak, record, segments + strlen(segments),
		       sizeof(segments) - strlen(segments));
	request.method = *record->body ? "POST" : "GET";
	request.body = *record->body ? record->body : NULL;
	request.body_size_bytes = strlen(record->body);
	soak->counts.sent++;
	client_call(soak->client, &request, &handler);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	node_t *node = choose_node(soak);

	if (node)
		send_request(soak, node);
	ev_timer_set(timer,
		     (0.2 + (double)soak_random(soak, 1600) / 1000) /
			     (soak->rate_per_s * overload_factor(soak) *
			      budget_factor(soak)),
		     0.);
	ev_timer_start(loop, timer);
}

void callers_start(soak_t *soak)
{
	ev_timer_init(&soak->caller_timer, on_timer, 0.5, 0.);
	soak->caller_timer.data = soak;
	ev_timer_start(soak->loop, &soak->caller_timer);
}

/* Checks that at least 10 requests were sent after the time to recover and that
 * 9 of 10 of them were answered with status 200. Frees the request records. */
void callers_check(soak_t *soak)
{
	request_record_t *record, *next;

	HASH_ITER (hh, soak->requests, record, next) {
		HASH_DEL(soak->requests, record);
		free(record);
	}
	if (soak->counts.recovered_sent < 10 ||
	    soak->counts.recovered_complete * 10 <
		    soak->counts.recovered_sent * 9)
		soak_violation(soak, "RECOVER %d of %d complete after faults",
			       (int)soak->counts.recovered_complete,
			       (int)soak->counts.recovered_sent);
}
