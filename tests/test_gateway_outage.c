/**
 * A node that the store does not answer for a time, while servers leave: how
 * long it uses them afterwards, and that it keeps servers whose entries an
 * outage of the store removed until these can be back.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "process/backends.h"

enum {
	/* The platform's rules hold again this long after an outage, and allow
	 * the way of a request to a server. */
	SETTLE_MS = 3000,
	SEND_MS = 50,
	/* Entries that expired in an outage are back within 2 s. */
	RETURN_MS = 1700,
	/* Servers that report every 1.2 s lose their entries in an outage of
	 * three reports. */
	EXPIRY_MS = 3600,
	NEW_VERSION = 9, /* of the configuration, from then on */
	REMOVED_BEFORE_MS = 200, /* before the end of an outage */
	SETTLED_START_MS = 800,
	PHASES_MS = 4400 /* longer than any watch waits */
};

/* How the store treats the calls of the node. */
typedef enum { FAULT_BUSY, FAULT_TOO_MANY, FAULT_RESETS, FAULT_SILENT } fault_t;

typedef struct {
	const char *name;
	fault_t fault;
	int64_t outage_ms;
	int times; /* the outage comes again after gap_ms; 0: once */
	int64_t gap_ms;
	bool answers_late; /* calls that waited get an answer after it */
	bool lists; /* the node has to list the servers again */
	size_t other_nodes;

	gateway_fixture_t fixture;
	int64_t begin_us; /* of the first outage */
	int64_t outdated_ms; /* how long the configuration was, after it */
	int64_t used_ms; /* how long servers were used after the last one */
	bool is_removed;
} play_t;

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static size_t count_servers(const gateway_t *gateway)
{
	backend_t *server = NULL;
	size_t count = 0;

	while ((server = backends_next(gateway->backends, server)))
		count++;
	return count;
}

static void set_fault(play_t *play, bool fails)
{
	gateway_fixture_t *fixture = &play->fixture;

	if (fails == (fixture->store_refuses || fixture->store_silent))
		return;
	if (!fails && play->fault == FAULT_SILENT && !play->answers_late)
		gateway_fixture_forget_calls(fixture);
	fixture->store_refusal = play->fault == FAULT_TOO_MANY ? 429
				 : play->fault == FAULT_RESETS ? -1
							       : 503;
	fixture->store_refuses = fails && play->fault != FAULT_SILENT;
	fixture->store_silent = fails && play->fault == FAULT_SILENT;
}

static int64_t last_end_ms(const play_t *play)
{
	int times = play->times ? play->times : 1;

	return times * play->outage_ms + (times - 1) * play->gap_ms;
}

static void remove_servers(play_t *play)
{
	if (play->is_removed)
		return;
	play->is_removed = true;
	play->fixture.no_servers = true;
	play->fixture.tells_removals = !play->lists;
	if (!play->lists)
		return;
	play->fixture.configuration_version = NEW_VERSION;
	gateway_relist(&play->fixture.gateway->views[0], 60000);
	gateway_relist(&play->fixture.gateway->views[1], 60000);
}

/* Plays what is due at this time. */
static void step(play_t *play)
{
	int64_t now_ms = (clock_monotonic_us() - play->begin_us) / US_PER_MS;
	int64_t end_ms = last_end_ms(play);

	ev_run(play->fixture.loop, EVRUN_NOWAIT);
	if (now_ms < 0)
		return;
	if (now_ms >= end_ms) {
		set_fault(play, false);
		if (count_servers(play->fixture.gateway))
			play->used_ms = now_ms - end_ms;
		if (play->lists &&
		    gateway_routing_version(play->fixture.gateway) !=
			    NEW_VERSION)
			play->outdated_ms = now_ms - end_ms;
		return;
	}
	set_fault(play,
		  now_ms % (play->outage_ms + play->gap_ms) < play->outage_ms);
	if (now_ms >= end_ms - REMOVED_BEFORE_MS)
		remove_servers(play);
}

static void play_all(play_t *plays, size_t count)
{
	int64_t begin_us, end_us = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		plays[i].fixture.other_nodes = plays[i].other_nodes;
		plays[i].fixture.watches_wait = true;
		gateway_fixture_start(&plays[i].fixture);
		gateway_fixture_wait_ready(&plays[i].fixture);
	}
	begin_us = clock_monotonic_us() + SETTLED_START_MS * US_PER_MS;
	for (i = 0; i < count; i++) {
		/* Watches stand at different points of their wait. */
		plays[i].begin_us =
			begin_us + (int64_t)i * 370 % PHASES_MS * US_PER_MS;
		end_us = plays[i].begin_us + last_end_ms(&plays[i]) * US_PER_MS;
	}
	for (i = 0; i < count; i++)
		if (plays[i].begin_us + last_end_ms(&plays[i]) * US_PER_MS >
		    end_us)
			end_us = plays[i].begin_us +
				 last_end_ms(&plays[i]) * US_PER_MS;
	end_us += (SETTLE_MS + 1500) * US_PER_MS;
	while (clock_monotonic_us() < end_us) {
		for (i = 0; i < count; i++)
			step(&plays[i]);
		usleep(500);
	}
	for (i = 0; i < count; i++)
		gateway_fixture_stop(&plays[i].fixture);
}

/*
 * Guards against requests to servers that left while the store turned the node
 * away, after the time in which this is excused, against the loss of servers
 * whose entries expired in an outage of the store and return, and against a
 * configuration of that time which is read later.
 */
static void servers_that_left_in_an_outage_are_used(void **state)
{
	static play_t plays[] = {
		{ .name = "503, 4.8 s",
		  .fault = FAULT_BUSY,
		  .outage_ms = 4800 },
		{ .name = "503, 4.8 s, listed",
		  .fault = FAULT_BUSY,
		  .outage_ms = 4800,
		  .lists = true },
		{ .name = "429, 4.8 s",
		  .fault = FAULT_TOO_MANY,
		  .outage_ms = 4800 },
		{ .name = "resets, 4.8 s",
		  .fault = FAULT_RESETS,
		  .outage_ms = 4800 },
		{ .name = "silence, 4.8 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 4800 },
		{ .name = "silence, 4.8 s, listed",
		  .fault = FAULT_SILENT,
		  .outage_ms = 4800,
		  .lists = true },
		{ .name = "503, 9 s", .fault = FAULT_BUSY, .outage_ms = 9000 },
		{ .name = "503, 9.4 s",
		  .fault = FAULT_BUSY,
		  .outage_ms = 9400 },
		{ .name = "silence, 9 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 9000 },
		{ .name = "silence, 6.3 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 6300 },
		{ .name = "503, 0.3 s", .fault = FAULT_BUSY, .outage_ms = 300 },
		{ .name = "503, 1.5 s",
		  .fault = FAULT_BUSY,
		  .outage_ms = 1500 },
		{ .name = "429, 1.5 s",
		  .fault = FAULT_TOO_MANY,
		  .outage_ms = 1500 },
		{ .name = "resets, 2.5 s",
		  .fault = FAULT_RESETS,
		  .outage_ms = 2500 },
		{ .name = "silence, 0.3 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 300 },
		{ .name = "silence, 1.5 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500 },
		{ .name = "silence, 2.5 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 2500 },
		{ .name = "silence, 3.3 s",
		  .fault = FAULT_SILENT,
		  .outage_ms = 3300 },
		{ .name = "silence, 1.5 s, answered late",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500,
		  .answers_late = true },
		{ .name = "silence, 2.7 s, answered late",
		  .fault = FAULT_SILENT,
		  .outage_ms = 2700,
		  .answers_late = true },
		{ .name = "silence, 3.3 s, answered late",
		  .fault = FAULT_SILENT,
		  .outage_ms = 3300,
		  .answers_late = true },
		{ .name = "silence, 4.8 s, answered late",
		  .fault = FAULT_SILENT,
		  .outage_ms = 4800,
		  .answers_late = true },
		{ .name = "silence, 1.5 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500,
		  .answers_late = true },
		{ .name = "silence, 1.7 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1700,
		  .answers_late = true },
		{ .name = "silence, 1.5 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500,
		  .answers_late = true },
		{ .name = "silence, 1.3 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1300,
		  .answers_late = true },
		{ .name = "silence, 1.5 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500,
		  .answers_late = true },
		{ .name = "silence, 1.6 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1600,
		  .answers_late = true },
		{ .name = "silence, 2.0 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 2000,
		  .answers_late = true },
		{ .name = "silence, 1.5 s, answered late, other phase",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1500,
		  .answers_late = true },
		{ .name = "503, 1 s, four times",
		  .fault = FAULT_BUSY,
		  .outage_ms = 1000,
		  .times = 4,
		  .gap_ms = 700 },
		{ .name = "silence, 1.2 s, four times",
		  .fault = FAULT_SILENT,
		  .outage_ms = 1200,
		  .times = 4,
		  .gap_ms = 700 },
		{ .name = "503, 4 s, twice",
		  .fault = FAULT_BUSY,
		  .outage_ms = 4000,
		  .times = 2,
		  .gap_ms = 2000 },
		{ .name = "503, 4.8 s, of 4 nodes",
		  .fault = FAULT_BUSY,
		  .outage_ms = 4800,
		  .other_nodes = 3 },
		{ .name = "silence, 4.8 s, of 4 nodes",
		  .fault = FAULT_SILENT,
		  .outage_ms = 4800,
		  .other_nodes = 3 },
	};
	size_t i, failed = 0;

	play_all(plays, COUNT_OF(plays));
	for (i = 0; i < COUNT_OF(plays); i++) {
		const play_t *play = &plays[i];
		int64_t least_ms = play->outage_ms > EXPIRY_MS ? RETURN_MS : 0;

		if (play->used_ms >= least_ms &&
		    play->used_ms < SETTLE_MS - SEND_MS &&
		    play->outdated_ms < SETTLE_MS - SEND_MS)
			continue;
		print_error("%s: servers used for %lld ms, configuration "
			    "outdated for %lld ms\n",
			    play->name, (long long)play->used_ms,
			    (long long)play->outdated_ms);
		failed++;
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(servers_that_left_in_an_outage_are_used),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
