#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

enum {
	/* An answer may leave this long after the time limit. */
	ANSWER_SLACK_MS = 700,
	BODY_MAX_BYTES = 4096
};

/** One request under way. */
typedef struct {
	soak_t *soak;
	request_record_t *record;
	const node_t *node;
	int64_t node_disturbed_us; /* when it was sent */
	bool sealed, promised;
	char body[BODY_MAX_BYTES];
	size_t size;
} flight_t;

request_record_t *callers_find(soak_t *soak, const char *id)
{
	request_record_t *record;

	HASH_FIND_STR(soak->requests, id, record);
	return record;
}

static void on_header(void *context, const char *name, const char *value)
{
	flight_t *flight = context;

	if (!strcasecmp(name, "X-Server-Seal"))
		flight->sealed = true;
	if (!strcasecmp(name, "Retry-After"))
		flight->promised = true;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	flight_t *flight = context;

	if (flight->size + size < sizeof(flight->body)) {
		memcpy(flight->body + flight->size, data, size);
		flight->size += size;
	}
	return CLIENT_CONTINUE;
}

static bool is_whole_stream(const flight_t *flight)
{
	char expected[BODY_MAX_BYTES];
	size_t used = 0;
	int i;

	for (i = 1; i <= STREAM_EVENTS; i++)
		used += (size_t)snprintf(expected + used,
					 sizeof(expected) - used,
					 "id: %d\ndata: %s %d\n\n", i,
					 flight->record->id, i);
	return !strcmp(flight->body, expected);
}

static void check_success(const flight_t *flight)
{
	char expected[64];
	bool whole;

	snprintf(expected, sizeof(expected), "answer to %s",
		 flight->record->id);
	whole = flight->record->path == 't' ? is_whole_stream(flight)
					    : !strcmp(flight->body, expected);
	if (!flight->sealed || !whole)
		soak_violation(flight->soak, "MIXED %s: %s", flight->record->id,
			       flight->body);
}

static void check_refusal(const flight_t *flight, int status)
{
	request_record_t *record = flight->record;

	record->refused = true;
	if (record->path == 'o' && record->runs)
		soak_violation(flight->soak, "REFUSED %s: %d, but it ran",
			       record->id, status);
	if (!flight->promised)
		soak_violation(flight->soak, "REFUSED %s: no Retry-After",
			       record->id);
}

static void check_time(const flight_t *flight, client_end_t end)
{
	int64_t took_ms =
		(clock_monotonic_us() - flight->record->sent_us) / US_PER_MS;

	if (took_ms > DEADLINE_MS + ANSWER_SLACK_MS &&
	    flight->node->disturbed_us == flight->node_disturbed_us &&
	    node_in_touch(flight->node))
		soak_violation(flight->soak, "LATE %s: end %d after %d ms",
			       flight->record->id, end, (int)took_ms);
}

static void count(const flight_t *flight, client_end_t end, int status)
{
	soak_t *soak = flight->soak;
	bool after = soak->calm_us && flight->record->sent_us > soak->calm_us;

	soak->counts.calm_sent += after;
	if (end != CLIENT_OK)
		soak->counts.cut++;
	else if (status == 200)
		soak->counts.complete++;
	else if (status == 503)
		soak->counts.refused++;
	else
		soak->counts.failed++;
	soak->counts.calm_complete += after && end == CLIENT_OK &&
				      status == 200;
}

static void on_end(void *context, client_end_t end, int status)
{
	flight_t *flight = context;
	const request_record_t *record = flight->record;
	bool revoked = record->key >= 0 &&
		       flight->soak->key_revoked_us[record->key];

	flight->record->done = true;
	if (end == CLIENT_OK && status == 200)
		check_success(flight);
	else if (end == CLIENT_OK && (status == 503 || status == 429))
		check_refusal(flight, status);
	else if (end == CLIENT_OK && !revoked &&
		 (status == 401 || status == 404))
		soak_violation(flight->soak, "DENIED %s: %d", record->id,
			       status);
	check_time(flight, end);
	if (!revoked)
		count(flight, end, status);
	free(flight);
}

static const node_t *choose_node(soak_t *soak)
{
	int i, from = (int)soak_random(soak, (uint64_t)soak->node_count);

	for (i = 0; i < soak->node_count; i++) {
		const node_t *node =
			&soak->nodes[(from + i) % soak->node_count];

		if (node->ready)
			return node;
	}
	return NULL;
}

static request_record_t *new_record(soak_t *soak)
{
	static const char paths[] = "sotts";
	request_record_t *record = mem_calloc(1, sizeof(*record));

	snprintf(record->id, sizeof(record->id), "r%llu",
		 (unsigned long long)soak->next_id++);
	record->path = paths[soak_random(soak, sizeof(paths) - 1)];
	record->key = (int)soak_random(soak, KEYS);
	record->sent_us = clock_monotonic_us();
	HASH_ADD_STR(soak->requests, id, record);
	return record;
}

static void send(soak_t *soak, const node_t *node)
{
	request_record_t *record = new_record(soak);
	flight_t *flight = mem_calloc(1, sizeof(*flight));
	char url[96], id[64], key[64], deadline[48], tokens[48];
	const char *headers[] = {
		"Host: soak", id, key, deadline, tokens, NULL
	};
	client_handler_t handler = { .on_header = on_header,
				     .on_data = on_data,
				     .on_end = on_end,
				     .context = flight };
	client_request_t request = {
		.method = record->path == 'o' ? "POST" : "GET",
		.url = url,
		.headers = headers,
		.body = record->path == 'o' ? "order" : NULL,
		.body_size_bytes = record->path == 'o' ? 5 : 0,
		.connect_timeout_ms = 1000,
		.total_timeout_ms = DEADLINE_MS + 2 * ANSWER_SLACK_MS,
		/* Lookups and streams use connections that stay open. */
		.at_most_once = record->path != 's',
	};

	flight->soak = soak;
	flight->record = record;
	flight->node = node;
	flight->node_disturbed_us = node->disturbed_us;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/%c/x", node->port,
		 record->path);
	snprintf(id, sizeof(id), "X-Request-Id: %s", record->id);
	snprintf(key, sizeof(key), "Authorization: Bearer key-%d", record->key);
	snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %d", DEADLINE_MS);
	snprintf(tokens, sizeof(tokens), "X-Token-Counts: %d,400",
		 1000 + (int)soak_random(soak, 8000));
	soak->counts.sent++;
	client_call(soak->client, &request, &handler);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	const node_t *node = choose_node(soak);

	if (node)
		send(soak, node);
	ev_timer_set(timer,
		     (0.2 + (double)soak_random(soak, 1600) / 1000) /
			     soak->rate_per_s,
		     0.);
	ev_timer_start(loop, timer);
}

void callers_start(soak_t *soak)
{
	ev_timer_init(&soak->caller_timer, on_timer, 0.5, 0.);
	soak->caller_timer.data = soak;
	ev_timer_start(soak->loop, &soak->caller_timer);
}

/* Decides what can be told at the end only. */
void callers_check(soak_t *soak)
{
	request_record_t *record, *next;

	HASH_ITER (hh, soak->requests, record, next) {
		HASH_DEL(soak->requests, record);
		free(record);
	}
	if (soak->counts.calm_sent < 10 ||
	    soak->counts.calm_complete * 10 < soak->counts.calm_sent * 9)
		soak_violation(soak, "RECOVER %d of %d complete after faults",
			       (int)soak->counts.calm_complete,
			       (int)soak->counts.calm_sent);
}
