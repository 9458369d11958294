/**
 * Numbers in the headers of requests: a node reads, admits and places a request
 * within a bounded time, whatever its headers state.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "cases.h"
#include "lib/gateway_fixture.h"

enum {
	/* Processor time of one turn of the event loop, in which a request is
	 * read, admitted and placed. Lookups have an objective of 100 ms, and a
	 * node a quarter of a core. */
	TURN_MAX_MS = 20,
	REPLY_MAX_MS = 4000,
	BATCHES = 8,
	BATCH_REQUESTS = 25,
	HEADERS_MAX = 8,
	HEADER_TEXT_BYTES = 160
};

static gateway_fixture_t gateway;

static int64_t processor_time_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * US_PER_S + time.tv_nsec / 1000;
}

static void start_gateway(void)
{
	memset(&gateway, 0, sizeof(gateway));
	gateway.keys_stay = true;
	gateway_fixture_start(&gateway);
	gateway_fixture_wait_ready(&gateway);
}

/* @return the longest processor time of a turn of the loop until the reply
 * ended; -1: it did not end */
static int64_t longest_turn_us(const char *path, const char *const *headers,
			       reply_t *reply)
{
	int64_t longest_us = 0;
	int turn;

	gateway_fixture_call(&gateway, reply, "GET", path, headers, NULL);
	for (turn = 0; turn < REPLY_MAX_MS && !reply->ended; turn++) {
		int64_t begin_us = processor_time_us(), took_us;

		ev_run(gateway.loop, EVRUN_NOWAIT);
		took_us = processor_time_us() - begin_us;
		if (took_us > longest_us)
			longest_us = took_us;
		nanosleep(&(struct timespec){ .tv_nsec = US_PER_S }, NULL);
	}
	return reply->ended ? longest_us : -1;
}

/* Guards against a loop whose length a header decides, against sums that
 * overflow, and against a bound that denies a request that fits. */
static void number_in_a_header_stops_a_node(void **state)
{
	static const struct {
		const char *header;
		int status;
		bool bounded;
	} cases[] = {
		{ "X-Token-Counts: 5000,80", 200, false },
		{ "X-Token-Counts: 15000,100", 200, false },
		{ "X-Token-Counts: 800000000000000,80", 503, true },
		{ "X-Token-Counts: 9223372036854775807,9223372036854775807",
		  503, true },
		{ "X-Token-Counts: 99999999999999999999999,1", 503, true },
		{ "X-Token-Counts: -9223372036854775808,-1", 200, false },
		{ "X-Token-Counts: 1000000000,80", 503, false },
		{ "X-Token-Counts: 5000,9223372036854775807", 200, true },
		{ "X-Length-Hint: 1000000000000000", 503, true },
		{ "X-Length-Hint: 9223372036854775807", 503, true },
		{ "X-Deadline-Ms: 9223372036854775807", 200, true },
		{ "X-Deadline-Ms: 2147483647", 200, false },
		{ "X-Prefix-Hash: ffffffffffffffffffff:9223372036854775807,1:2",
		  200, false },
	};
	size_t i;

	start_gateway();
	for (i = 0; i < COUNT_OF(cases); i++) {
		const char *headers[] = { "Host: h", FIXTURE_AUTHORIZATION,
					  "X-Request-Id: r1", cases[i].header,
					  NULL };
		int64_t before = metrics_get(METRIC_NUMBERS_BOUNDED), turn_us;
		reply_t reply;

		turn_us = longest_turn_us("/stream/long/x", headers, &reply);
		if (turn_us < 0 || turn_us > TURN_MAX_MS * US_PER_MS ||
		    reply.status != cases[i].status ||
		    metrics_get(METRIC_NUMBERS_BOUNDED) - before !=
			    cases[i].bounded)
			fail_msg("\"%s\": %" PRId64 " us, status %d, %" PRId64
				 " bounded",
				 cases[i].header, turn_us, reply.status,
				 metrics_get(METRIC_NUMBERS_BOUNDED) - before);
	}
	gateway_fixture_stop(&gateway);
}

static uint64_t draw(uint64_t *seed, uint64_t count)
{
	*seed = XXH64(seed, sizeof(*seed), 1);
	return *seed % count;
}

static void draw_number(uint64_t *seed, char *text, size_t size)
{
	static const char *const numbers[] = {
		"0",
		"-1",
		"-9223372036854775808",
		"9223372036854775807",
		"9223372036854775808",
		"18446744073709551615",
		"2147483648",
		"4294967296",
		"1000000001",
		"800000000000000",
		"99999999999999999999999999999999",
		"1e300",
		"nan",
		"",
		"0x7fffffffffffffff",
	};

	if (draw(seed, 2))
		snprintf(text, size, "%s",
			 numbers[draw(seed, COUNT_OF(numbers))]);
	else
		snprintf(text, size, "%" PRIu64,
			 draw(seed, UINT64_MAX) >> draw(seed, 64));
}

static void draw_header(uint64_t *seed, char *text)
{
	/* Deadlines of seconds: at a shorter one the gateway closes a
	 * connection to which the stand-in server is about to write. */
	static const char *const formats[] = {
		"X-Token-Counts: %s,%s", "X-Length-Hint: %s",
		"X-Deadline-Ms: %s000",	 "X-Prefix-Hash: %s:%s,1:2",
		"X-Prefix-Hash: 1:%s",	 "Last-Event-Id: %s",
		"X-Helpers: %s/%s",	 "X-Request-Priority: %s",
	};
	char first[40], second[40];

	draw_number(seed, first, sizeof(first));
	draw_number(seed, second, sizeof(second));
	snprintf(text, HEADER_TEXT_BYTES,
		 formats[draw(seed, COUNT_OF(formats))], first, second);
}

static void play_request(uint64_t seed)
{
	static const char *const paths[] = { "/stream/long/x", "/stream/x",
					     "/single/x", "/safe/x" };
	char texts[HEADERS_MAX][HEADER_TEXT_BYTES];
	const char *headers[HEADERS_MAX + 4] = { "Host: h",
						 FIXTURE_AUTHORIZATION,
						 "X-Request-Id: r1" };
	uint64_t drawn = seed, count = draw(&drawn, HEADERS_MAX) + 1, i;
	const char *path = paths[draw(&drawn, COUNT_OF(paths))];
	int64_t turn_us;
	reply_t reply;

	for (i = 0; i < count; i++) {
		draw_header(&drawn, texts[i]);
		headers[i + 3] = texts[i];
	}
	turn_us = longest_turn_us(path, headers, &reply);
	if (turn_us < 0 || turn_us > TURN_MAX_MS * US_PER_MS)
		fail_msg("seed %" PRIu64 ", %s: %" PRId64 " us, first \"%s\"",
			 seed, path, turn_us, texts[0]);
}

/* The same with headers drawn from seeds. */
static void drawn_headers_stop_a_node(void **state)
{
	uint64_t batch, i;

	for (batch = 0; batch < BATCHES; batch++) {
		start_gateway();
		for (i = 0; i < BATCH_REQUESTS; i++)
			play_request(batch * BATCH_REQUESTS + i + 1);
		gateway_fixture_stop(&gateway);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(number_in_a_header_stops_a_node),
		cmocka_unit_test(drawn_headers_stop_a_node),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
