#include <curl/curl.h>
#include <popt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "soak/soak.h"

enum {
	RECOVERY_S = 12, /* time after the last fault for daemons to stop and
			    restart */
	RECOVERED_S = 4, /* time after RECOVERY_S; requests sent in it must be
			    served */
	ID_FIRST = 1
};

uint64_t soak_random_of(uint64_t *state, uint64_t below)
{
	/* The generator splitmix64. */
	uint64_t z = *state += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return (z ^ (z >> 31)) % below;
}

uint64_t soak_random(soak_t *soak, uint64_t below)
{
	return soak_random_of(&soak->random, below);
}

bool soak_chance(soak_t *soak, double chance)
{
	return (double)soak_random(soak, 1000000) < chance * 1000000;
}

static void print(const soak_t *soak, const char *kind, const char *format,
		  va_list args)
{
	double passed_s = (double)(clock_monotonic_us() - soak->start_us) /
			  (double)US_PER_S;

	printf("%8.3f %s ", passed_s, kind);
	vprintf(format, args);
	printf("\n");
	fflush(stdout);
}

void soak_violation(soak_t *soak, const char *format, ...)
{
	va_list args;

	soak->violations++;
	va_start(args, format);
	print(soak, "VIOLATION", format, args);
	va_end(args);
}

void soak_note(soak_t *soak, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	print(soak, "note", format, args);
	va_end(args);
}

/* Enters the next phase: faults, recovery, requests that must succeed, and the
 * answers of the last requests. */
static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;

	if (!soak->faults_over) {
		faults_end(soak);
		rates_end(soak);
		restores_end(soak);
		cuts_end(soak);
		soak_note(soak, "faults ended");
		ev_timer_set(timer, RECOVERY_S, 0.);
	} else if (!soak->recovered_us) {
		soak->recovered_us = clock_monotonic_us();
		ev_timer_set(timer, RECOVERED_S, 0.);
	} else if (!soak->callers_over) {
		/* Waits for the answers of the requests in flight. */
		soak->callers_over = true;
		ev_timer_stop(loop, &soak->caller_timer);
		overload_ask(soak);
		ev_timer_set(timer, (double)(DEADLINE_MS + 2000) / MS_PER_S,
			     0.);
	} else {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	ev_timer_start(loop, timer);
}

static int print_result(const soak_t *soak, uint64_t seed)
{
	const counts_t *counts = &soak->counts;

	if (soak->stops)
		stops_print(soak);
	printf("seed %llu: %d sent, %d complete, %d refused, %d failed, "
	       "%d without a whole answer; after faults %d of %d complete; "
	       "%d violations\n",
	       (unsigned long long)seed, (int)counts->sent,
	       (int)counts->complete, (int)counts->refused, (int)counts->failed,
	       (int)counts->cut, (int)counts->recovered_complete,
	       (int)counts->recovered_sent, soak->violations);
	return soak->violations || !counts->complete ? EXIT_FAILURE
						     : EXIT_SUCCESS;
}

static void run(soak_t *soak)
{
	soak->loop = ev_default_loop(0);
	soak->client = client_create(soak->loop, NULL);
	store_start(soak);
	store_configure(soak);
	servers_start(soak);
	duties_open(soak);
	nodes_start(soak);
	callers_start(soak);
	faults_start(soak);
	rates_start(soak);
	crashes_start(soak);
	restores_start(soak);
	cuts_start(soak);
	stops_start(soak);
	overload_start(soak);
	budget_start(soak);
	duties_start(soak);
	ev_timer_init(&soak->end_timer, on_end, (double)soak->seconds, 0.);
	soak->end_timer.data = soak;
	ev_timer_start(soak->loop, &soak->end_timer);
	ev_run(soak->loop, 0);
	stops_end(soak);
	nodes_stop(soak);
	duties_check(soak);
	client_destroy(soak->client);
	servers_stop(soak);
	store_stop();
	budget_check(soak);
	callers_check(soak);
	cuts_check(soak);
	overload_check(soak);
}

int main(int argc, const char **argv)
{
	static soak_t soak = { .next_id = ID_FIRST,
			       .node_count = 4,
			       .rate_per_s = 40,
			       .seconds = 20,
			       .build = "build/release",
			       .directory = "/tmp" };
	long long seed = 1;
	int seconds = 20;
	struct poptOption options[] = {
		{ "seed", 0, POPT_ARG_LONGLONG, &seed, 0,
		  "seed of the faults and requests", "N" },
		{ "seconds", 0, POPT_ARG_INT, &seconds, 0, "time with faults",
		  "S" },
		{ "nodes", 0, POPT_ARG_INT, &soak.node_count, 0,
		  "daemons, at most 8", "N" },
		{ "rate", 0, POPT_ARG_DOUBLE, &soak.rate_per_s, 0,
		  "requests a second", "R" },
		{ "server-rates", 0, POPT_ARG_NONE, &soak.server_rates, 0,
		  "servers state rates of requests, and restart", NULL },
		{ "prompt-crashes", 0, POPT_ARG_NONE, &soak.prompt_crashes, 0,
		  "some segments of prompts crash servers", NULL },
		{ "request-crashes", 0, POPT_ARG_NONE, &soak.request_crashes, 0,
		  "some requests crash servers, and come again", NULL },
		{ "server-cuts", 0, POPT_ARG_NONE, &soak.server_cuts, 0,
		  "nodes lose their links to all servers", NULL },
		{ "stops", 0, POPT_ARG_NONE, &soak.stops, 0,
		  "nodes are stopped as planned, without other faults", NULL },
		{ "overload", 0, POPT_ARG_NONE, &soak.overload, 0,
		  "nodes control the load; bursts beyond the slots", NULL },
		{ "retry-kills", 0, POPT_ARG_NONE, &soak.retry_kills, 0,
		  "servers reject bursts in which all nodes are killed", NULL },
		{ "duties", 0, POPT_ARG_NONE, &soak.duties, 0,
		  "usage is reported, and cuts hold up reports", NULL },
		{ "store-restores", 0, POPT_ARG_NONE, &soak.store_restores, 0,
		  "the store comes back from copies", NULL },
		{ "build", 0, POPT_ARG_STRING, &soak.build, 0,
		  "directory of chivestaged", "DIR" },
		{ "other-build", 0, POPT_ARG_STRING, &soak.other_build, 0,
		  "directory of another chivestaged, for every other daemon",
		  "DIR" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("soak", argc, argv, options, 0);
	int status;

	if (poptGetNextOpt(context) != -1 || soak.node_count < 1 ||
	    soak.node_count > NODES_MAX) {
		poptPrintUsage(context, stderr, 0);
		return 2;
	}
	soak.random = (uint64_t)seed;
	soak.seconds = seconds;
	snprintf(soak.directory, sizeof(soak.directory),
		 "/tmp/chivestage-soak.%d.XXXXXX", (int)getpid());
	if (!mkdtemp(soak.directory))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	soak.start_us = clock_monotonic_us();
	printf("logs in %s\n", soak.directory);
	run(&soak);
	status = print_result(&soak, (uint64_t)seed);
	poptFreeContext(context);
	curl_global_cleanup();
	return status;
}
