/**
 * Peers that send bytes without end, in a head or in a body: what a node holds
 * of them, and what other callers get meanwhile.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/memory.h"

enum {
	CALLERS_MAX = 60, /* of the peer that sends without end */
	PLAY_MS = 600,
	WAIT_MS = 10000, /* for a peer that is not asked at once */
	OTHERS = 10, /* requests of other callers, one after the other */
	/* Heap of a connection on both of its ends, all within the test. */
	CONNECTION_BYTES = 160 * 1024,
	MEMORY_LIMIT_BYTES = 64 << 20
};

/* Fraction of the memory limit that answers may take. */
#define ANSWER_FRACTION 0.2

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void read_all(const int *fds, int count)
{
	static char text[64 * 1024];
	int i;

	for (i = 0; i < count; i++)
		(void)!recv(fds[i], text, sizeof(text), MSG_DONTWAIT);
}

/** What a play showed. */
typedef struct {
	size_t peak_bytes; /* heap beyond that at the start */
	int served; /* of the other callers */
} outcome_t;

/* @return true until the peers other than servers have sent enough */
static bool goes_on(const gateway_fixture_t *fixture, size_t least_bytes,
		    int64_t end_us)
{
	int64_t now_us = clock_monotonic_us();

	return now_us < end_us || (fixture->endless_bytes < least_bytes &&
				   now_us < end_us + WAIT_MS * US_PER_MS);
}

/*
 * Sends requests to @p path, and then those of others.
 * @param least_bytes that the store and duties have to send meanwhile
 */
static outcome_t play(gateway_fixture_t *fixture, const char *path, int callers,
		      bool reads, size_t least_bytes)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       "X-Deadline-Ms: 1000",
					       FIXTURE_AUTHORIZATION, NULL };
	outcome_t outcome = { .served = 0 };
	int fds[CALLERS_MAX], i;
	size_t before = memory_in_use();
	int64_t end_us;

	for (i = 0; i < callers; i++)
		fds[i] = gateway_fixture_send_unread(fixture, path, i);
	end_us = clock_monotonic_us() + PLAY_MS * US_PER_MS;
	for (i = 0; i < OTHERS || goes_on(fixture, least_bytes, end_us); i++) {
		reply_t reply = { .ended = true };

		if (i < OTHERS) {
			gateway_fixture_call(fixture, &reply, "GET", "/safe/x",
					     headers, NULL);
			gateway_fixture_wait(fixture, &reply, 2000);
		}
		outcome.served += reply.status == 200;
		if (i < OTHERS && reply.status != 200)
			print_error("request %d of the others: ended %d with "
				    "%d, status %d %s\n",
				    i, reply.ended, (int)reply.end,
				    reply.status, reply.body);
		gateway_fixture_run(fixture, 5);
		if (reads)
			read_all(fds, callers);
		if (memory_in_use() > before + outcome.peak_bytes)
			outcome.peak_bytes = memory_in_use() - before;
	}
	for (i = 0; i < callers; i++)
		close(fds[i]);
	assert_true(fixture->endless_bytes >= least_bytes);
	return outcome;
}

static void check(const char *name, const outcome_t *outcome, int callers)
{
	size_t bound_bytes = (size_t)(MEMORY_LIMIT_BYTES * ANSWER_FRACTION) +
			     (size_t)(callers + OTHERS) * CONNECTION_BYTES;

	print_message("%s: at most %zu KiB, %d of %d others served\n", name,
		      outcome->peak_bytes / 1024, outcome->served, OTHERS);
	if (outcome->peak_bytes > bound_bytes || outcome->served < OTHERS)
		fail_msg("%s: bound %zu KiB", name, bound_bytes / 1024);
}

/*
 * Guards against a node that runs out of memory, or serves no others, while a
 * server sends without end, to callers that read or do not.
 */
static void server_takes_the_memory_of_a_node(void **state)
{
	static const struct {
		const char *name, *path;
		server_act_t act;
	} cases[] = {
		{ "lookup, head", "/safe/e", ENDLESS_HEAD },
		{ "lookup, body", "/safe/e", ENDLESS_BODY },
		{ "lookup, chunks", "/safe/e", ENDLESS_CHUNKS },
		{ "lookup, error", "/safe/e", ENDLESS_ERROR },
		{ "lookup, unsealed", "/safe/e", ENDLESS_UNSEALED },
		{ "order, head", "/once/e", ENDLESS_HEAD },
		{ "order, body", "/once/e", ENDLESS_BODY },
		{ "order, error", "/once/e", ENDLESS_ERROR },
		{ "order, refusal", "/once/e", ENDLESS_REFUSAL },
		{ "stream, head", "/stream/e", ENDLESS_HEAD },
		{ "stream, event", "/stream/e", ENDLESS_EVENT },
		{ "stream, events", "/stream/e", ENDLESS_EVENTS },
		{ "stream, repeats", "/stream/e", ENDLESS_REPEATS },
		{ "stream, blank lines", "/stream/e", ENDLESS_BLANKS },
		{ "stream, error", "/stream/e", ENDLESS_ERROR },
		{ "single stream, events", "/single/e", ENDLESS_EVENTS },
	};
	size_t i;

	for (i = 0; i < 2 * COUNT_OF(cases); i++) {
		bool reads = i % 2;
		text_act_t acts[] = { { "/e HTTP", cases[i / 2].act },
				      { NULL, SERVES } };
		/* The store of the test shares its thread with the servers,
		 * and may answer too late for keys to stay confirmed. */
		gateway_fixture_t fixture = { .text_acts = acts,
					      .slots = 100,
					      .keys_stay = true };
		char name[64];
		outcome_t outcome;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		outcome = play(&fixture, cases[i / 2].path, CALLERS_MAX, reads,
			       0);
		gateway_fixture_stop(&fixture);
		snprintf(name, sizeof(name), "%s, %s", cases[i / 2].name,
			 reads ? "read" : "not read");
		check(name, &outcome, CALLERS_MAX);
	}
}

/** Another peer than a server that answers requests. */
typedef enum { PEER_PROBED, PEER_STORE, PEER_DUTIES } peer_kind_t;

static void probe_all(gateway_fixture_t *fixture)
{
	int i;

	for (i = 0; i < CALLERS_MAX; i++)
		gateway_probe(fixture->gateway,
			      backends_find(fixture->gateway->backends,
					    "i-s0"));
}

/* The same for health probes, the store and duties of the platform. */
static void peer_takes_the_memory_of_a_node(void **state)
{
	static const struct {
		const char *name;
		peer_kind_t peer;
		server_act_t act; /* of a server that is probed */
		size_t least_bytes; /* more than the node reads of one answer */
	} cases[] = {
		{ "health probe, head", PEER_PROBED, ENDLESS_HEAD, 0 },
		{ "health probe, body", PEER_PROBED, ENDLESS_BODY, 0 },
		{ "health probe, chunks", PEER_PROBED, ENDLESS_CHUNKS, 0 },
		{ "store, body", PEER_STORE, SERVES, 3 << 20 },
		{ "duty, body", PEER_DUTIES, SERVES, 64 << 10 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		text_act_t acts[] = { { "GET /health", cases[i].act },
				      { NULL, SERVES } };
		gateway_fixture_t fixture = {
			.text_acts = acts,
			.slots = 100,
			.keys_stay = true,
			.has_health = true,
			.store_endless = cases[i].peer == PEER_STORE,
			.has_duties = cases[i].peer == PEER_DUTIES,
			.duties_endless = cases[i].peer == PEER_DUTIES,
		};
		outcome_t outcome;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		if (cases[i].peer == PEER_PROBED)
			probe_all(&fixture);
		outcome = play(&fixture, "", 0, false, cases[i].least_bytes);
		gateway_fixture_stop(&fixture);
		check(cases[i].name, &outcome, CALLERS_MAX);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(server_takes_the_memory_of_a_node),
		cmocka_unit_test(peer_takes_the_memory_of_a_node),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
