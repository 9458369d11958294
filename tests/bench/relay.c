/**
 * Measures the processor time that the request task takes for each relayed
 * chunk. The total comes from the processor clock of the task's thread. User
 * and system time come from getrusage of the process, less the main thread's
 * share, so they include the idle threads of ZeroMQ. Every stream receives one
 * chunk in each round; a round starts when the request task has relayed all
 * chunks of the round before.
 * usage: relay [STREAMS [ROUNDS]]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "cases.h"
#include "lib/fixture.h"

enum { STREAMS_MAX = 1000 };

static fixture_t fixture;
static server_call_t *streams[STREAMS_MAX];
static char ids[STREAMS_MAX][128];
static int64_t stream_count, ended_calls;

static void serve(server_call_t *call, size_t index)
{
	mem_strlcpy(ids[stream_count], serve_stream_id(call), sizeof(ids[0]));
	streams[stream_count++] = call;
	serve_stream(call);
}

static void on_end(void *context, client_end_t end, int status)
{
	if (end != CLIENT_OK || status != 200)
		fail_msg("call ended with %d, status %d", (int)end, status);
	ended_calls++;
}

static void start_call(void)
{
	static const char body[] =
		"{\"model\":\"chat\",\"prompt\":\"hello\",\"stream\":true}";
	char url[128];
	const char *headers[] = { "Authorization: Bearer secret", NULL };
	client_request_t request = { .method = "POST",
				     .url = url,
				     .headers = headers,
				     .body = body,
				     .body_size_bytes = strlen(body),
				     .connect_timeout_ms = 5000 };
	client_handler_t handler = { .on_end = on_end };

	snprintf(url, sizeof(url), "%s/v1/completions", fixture.task_url);
	client_call(fixture.client, &request, &handler);
}

/* @return the processor time of the request task so far. */
static int64_t task_cpu_us(void)
{
	struct timespec used;
	clockid_t clock;

	pthread_getcpuclockid(fixture.thread, &clock);
	clock_gettime(clock, &used);
	return used.tv_sec * US_PER_S + used.tv_nsec / 1000;
}

static int64_t to_us(struct timeval time)
{
	return time.tv_sec * US_PER_S + time.tv_usec;
}

/* Stores the user and system time of all threads but the main thread. */
static void other_threads_us(int64_t *user_us, int64_t *system_us)
{
	struct rusage all, own;

	getrusage(RUSAGE_SELF, &all);
	getrusage(RUSAGE_THREAD, &own);
	*user_us = to_us(all.ru_utime) - to_us(own.ru_utime);
	*system_us = to_us(all.ru_stime) - to_us(own.ru_stime);
}

/* Runs until @p chunks were relayed in all; fails after 20 s. */
static void run_until_relayed(int64_t chunks)
{
	int64_t end_us = clock_monotonic_us() + 20 * US_PER_S;

	while (metrics_get(METRIC_CHUNKS_RELAYED) < chunks) {
		if (clock_monotonic_us() > end_us)
			fail_msg("%" PRId64 " of %" PRId64 " chunks relayed",
				 metrics_get(METRIC_CHUNKS_RELAYED), chunks);
		fixture_step(&fixture);
	}
}

int main(int argc, char **argv)
{
	int64_t count = argc > 1 ? strtol(argv[1], NULL, 10) : 100;
	int64_t rounds = argc > 2 ? strtol(argv[2], NULL, 10) : 500;
	int64_t i, round, cpu_us, start_us, chunks;
	int64_t user_us, system_us, user_end_us, system_end_us;

	if (count < 1 || count > STREAMS_MAX || rounds < 1) {
		fprintf(stderr, "usage: relay [STREAMS [ROUNDS]]\n");
		return 2;
	}
	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 600000,
						   .stall_ms = 60000,
						   .idle_ms = 60000,
						   .memory_bytes = 1 << 30 });
	fixture.serve = serve;
	for (i = 0; i < count; i++)
		start_call();
	while (stream_count < count)
		fixture_step(&fixture);
	cpu_us = task_cpu_us();
	other_threads_us(&user_us, &system_us);
	start_us = clock_monotonic_us();
	for (round = 0; round < rounds; round++) {
		for (i = 0; i < count; i++)
			serve_chunk(streams[i], ids[i], round, "token ",
				    round == rounds - 1);
		run_until_relayed(count * (round + 1));
	}
	chunks = count * rounds;
	cpu_us = task_cpu_us() - cpu_us;
	other_threads_us(&user_end_us, &system_end_us);
	start_us = clock_monotonic_us() - start_us;
	for (i = 0; i < count; i++)
		serve_done(streams[i]);
	while (ended_calls < count)
		fixture_step(&fixture);
	printf("{\"streams\":%" PRId64 ",\"chunks\":%" PRId64
	       ",\"cpu_us_per_chunk\":%.2f,\"user_us_per_chunk\":%.2f,"
	       "\"system_us_per_chunk\":%.2f,\"chunks_per_core_s\":%.0f,"
	       "\"wall_s\":%.2f}\n",
	       count, chunks, (double)cpu_us / (double)chunks,
	       (double)(user_end_us - user_us) / (double)chunks,
	       (double)(system_end_us - system_us) / (double)chunks,
	       (double)chunks * US_PER_S / (double)cpu_us,
	       (double)start_us / US_PER_S);
	fixture_stop(&fixture);
	return 0;
}
