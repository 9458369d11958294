#include <signal.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

/* Retries of all nodes together, as servers see them. With retry_kills servers
 * also reject most requests of a burst, in which all nodes are killed, one or
 * several times in a row. The random numbers are of their own, so that the
 * faults of a seed are the same with and without this. */
enum {
	SERVICES = 2, /* by server_t.plain */
	WINDOW_MS = 10000,
	BURST_MS = 6000,
	CALM_MS = 3000,
	SHED_PERCENT = 70, /* of the requests of a burst */
	KILLS_MAX = 4, /* in a burst */
	KILL_FIRST_MS = 2500, /* after the start of the burst */
	KILL_MIN_MS = 400, /* between two kills */
	KILL_MAX_MS = 1500
};
#define CALM_FACTOR 0.3

/** Times of events, in order. */
typedef struct {
	int64_t *at_us;
	size_t count, capacity;
} times_t;

static struct {
	uint64_t random;
	bool is_burst;
	int kills_left;
	ev_timer burst_timer, kill_timer;
	times_t requests[SERVICES], retries[SERVICES];
} budget;

static int64_t random_ms(int64_t from_ms, int64_t to_ms)
{
	return from_ms + (int64_t)soak_random_of(&budget.random,
						 (uint64_t)(to_ms - from_ms));
}

static void set_timer(struct ev_loop *loop, ev_timer *timer, int64_t ms)
{
	ev_timer_stop(loop, timer);
	ev_timer_set(timer, (double)ms / (double)MS_PER_S, 0.);
	ev_timer_start(loop, timer);
}

static void on_kill(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	int i;

	if (soak->faults_over || budget.kills_left-- <= 0)
		return;
	soak_note(soak, "kill of all nodes");
	for (i = 0; i < soak->node_count; i++)
		node_signal(&soak->nodes[i], SIGKILL);
	set_timer(loop, timer, random_ms(KILL_MIN_MS, KILL_MAX_MS));
}

static void on_burst(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;

	budget.is_burst = !budget.is_burst && !soak->faults_over;
	if (soak->faults_over)
		return;
	soak_note(soak, budget.is_burst ? "burst" : "end of the burst");
	if (budget.is_burst) {
		budget.kills_left = (int)random_ms(1, KILLS_MAX + 1);
		set_timer(loop, &budget.kill_timer, KILL_FIRST_MS);
	}
	set_timer(loop, timer, budget.is_burst ? BURST_MS : CALM_MS);
}

void budget_start(soak_t *soak)
{
	budget.random = soak->random ^ 0x8cb92ba72f3d8dd7;
	ev_init(&budget.burst_timer, on_burst);
	ev_init(&budget.kill_timer, on_kill);
	budget.burst_timer.data = budget.kill_timer.data = soak;
	if (soak->retry_kills)
		set_timer(soak->loop, &budget.burst_timer, CALM_MS);
}

double budget_factor(const soak_t *soak)
{
	return soak->retry_kills && !budget.is_burst ? CALM_FACTOR : 1;
}

bool budget_sheds(const soak_t *soak)
{
	return soak->retry_kills && budget.is_burst && !soak->faults_over &&
	       soak_random_of(&budget.random, 100) < SHED_PERCENT;
}

static void add(times_t *times)
{
	if (times->count == times->capacity) {
		times->capacity = times->capacity ? 2 * times->capacity : 256;
		times->at_us = mem_realloc(times->at_us, times->capacity,
					   sizeof(*times->at_us));
	}
	times->at_us[times->count++] = clock_monotonic_us();
}

void budget_sent(const request_record_t *record)
{
	add(&budget.requests[!callers_is_stream(record)]);
}

void budget_arrival(request_record_t *record)
{
	if (record && record->arrivals++)
		add(&budget.retries[!callers_is_stream(record)]);
}

static int count_between(const times_t *times, int64_t from_us, int64_t to_us)
{
	int count = 0;
	size_t i;

	for (i = 0; i < times->count; i++)
		count += times->at_us[i] > from_us && times->at_us[i] <= to_us;
	return count;
}

static int most(int a, int b)
{
	return a > b ? a : b;
}

/* The requests of a window, the one before it, or the one half a window before
 * it, whichever has most, allow retries. */
static double allowed(const soak_t *soak, const times_t *requests,
		      int64_t end_us)
{
	const int64_t window_us = WINDOW_MS * US_PER_MS;
	int64_t from_us = end_us - window_us;
	int count = count_between(requests, from_us, end_us);

	count = most(count,
		     count_between(requests, from_us - window_us, from_us));
	count = most(count, count_between(requests, from_us - window_us / 2,
					  end_us - window_us / 2));
	return budget_ratio(soak) * count + budget_slack(soak);
}

double budget_ratio(const soak_t *soak)
{
	return soak->retry_kills ? 0.2 : 0.5;
}

int budget_slack(const soak_t *soak)
{
	return soak->retry_kills ? 60 : 100;
}

static void check_service(soak_t *soak, int service)
{
	const times_t *retries = &budget.retries[service];
	double nearest = 0, limit = 0;
	int taken = 0;
	size_t i;

	for (i = 0; i < retries->count; i++) {
		int64_t end_us = retries->at_us[i];
		int count = count_between(
			retries, end_us - WINDOW_MS * US_PER_MS, end_us);
		double max = allowed(soak, &budget.requests[service], end_us);

		if (count / max <= nearest)
			continue;
		nearest = count / max;
		taken = count;
		limit = max;
	}
	soak_note(soak, "%s: at most %d retries in a window, %.1f allowed",
		  service ? "plain" : "model", taken, limit);
	if (nearest > 1)
		soak_violation(soak, "BUDGET %s: %d retries, %.1f allowed",
			       service ? "plain" : "model", taken, limit);
}

void budget_check(soak_t *soak)
{
	int i;

	for (i = 0; i < SERVICES; i++) {
		check_service(soak, i);
		free(budget.requests[i].at_us);
		free(budget.retries[i].at_us);
	}
}
