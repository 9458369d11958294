#include <string.h>

#include "base/clock.h"
#include "base/units.h"
#include "soak/soak.h"

/* Servers state rates, change and withdraw them, and restart, at random times.
 * These events have random numbers of their own, so that the faults of a seed
 * are the same with and without them. */
enum {
	INTERVAL_MIN_MS = 300,
	INTERVAL_MAX_MS = 2500,
	RATE_MAX_DECI_PER_S = 60 /* highest stated rate, in tenths */
};

/* The rule of the platform: from STABLE_MS after a server first stated a rate,
 * the nodes that relayed such an answer TOLD_MS before or earlier send it, in
 * any WINDOW_MS, no more than RATE_FACTOR times the rate and RATE_SLACK. */
enum { STABLE_MS = 3000, TOLD_MS = 500, WINDOW_MS = 4000, RATE_SLACK = 5 };
#define RATE_FACTOR 1.5

static uint64_t random_below(soak_t *soak, uint64_t below)
{
	return soak_random_of(&soak->rates_random, below);
}

static void state_rate(server_t *server, double per_s)
{
	rate_log_t *log = &server->rate;
	int64_t now_us = clock_monotonic_us();
	int i;

	if (!log->is_stated) {
		log->first_us = now_us;
		log->arrival_count = 0;
		log->highest_per_s = 0;
		for (i = 0; i < server->soak->node_count; i++)
			server->soak->nodes[i].told_us[server_index(server)] =
				0;
	}
	if (per_s >= log->highest_per_s) {
		log->highest_per_s = per_s;
	} else if (!log->lowered_us) {
		log->lowered_us = now_us;
	}
	log->is_stated = true;
	log->per_s = per_s;
	soak_note(server->soak, "%s states %.1f a second", server->id, per_s);
}

static void end_rate(server_t *server)
{
	if (server->rate.is_stated)
		soak_note(server->soak, "%s states no rate", server->id);
	server->rate = (rate_log_t){ 0 };
}

static void change_rate(soak_t *soak)
{
	server_t *server = &soak->servers[random_below(soak, SERVERS)];
	double per_s = (double)random_below(soak, RATE_MAX_DECI_PER_S + 1) / 10;

	switch (random_below(soak, 4)) {
	case 0:
		end_rate(server);
		return;
	case 1:
		server_restart(server);
		return;
	default:
		state_rate(server, per_s);
		return;
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;

	change_rate(soak);
	ev_timer_set(
		timer,
		(double)(INTERVAL_MIN_MS +
			 (int)random_below(soak,
					   INTERVAL_MAX_MS - INTERVAL_MIN_MS)) /
			(double)MS_PER_S,
		0.);
	ev_timer_start(loop, timer);
}

/* @return true if the node counts: it relayed the rate, and had no fault since.
 */
static bool is_told(const node_t *node, int server, int64_t now_us)
{
	int64_t told_us = node->told_us[server];

	return told_us && told_us > node->disturbed_us && !node->paused &&
	       now_us - told_us >= TOLD_MS * US_PER_MS;
}

/* @return the highest rate that counts for the window that ends now */
static double counted_rate(rate_log_t *log, int64_t now_us)
{
	if (log->lowered_us &&
	    now_us - log->lowered_us > (WINDOW_MS + TOLD_MS) * US_PER_MS) {
		log->highest_per_s = log->per_s;
		log->lowered_us = 0;
	}
	return log->highest_per_s;
}

void rates_arrival(server_t *server, const request_record_t *record)
{
	rate_log_t *log = &server->rate;
	int64_t now_us = clock_monotonic_us();
	const node_t *node = record ? record->node : NULL;
	int i, count = 0;
	double allowed;

	if (!log->is_stated || !node ||
	    !is_told(node, server_index(server), now_us))
		return;
	log->arrivals_us[log->arrival_count++ % RATE_ARRIVALS_MAX] = now_us;
	for (i = 0; i < log->arrival_count && i < RATE_ARRIVALS_MAX; i++)
		count += now_us - log->arrivals_us[i] < WINDOW_MS * US_PER_MS;
	allowed = counted_rate(log, now_us) * RATE_FACTOR * WINDOW_MS /
			  (double)MS_PER_S +
		  RATE_SLACK;
	if (count > allowed && now_us - log->first_us > STABLE_MS * US_PER_MS)
		soak_violation(server->soak,
			       "RATE %s got %d requests in 4 s from nodes that "
			       "relayed its rate of %.1f a second",
			       server->id, count, log->per_s);
}

void rates_relayed(node_t *node, const char *server_id)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		if (!strcmp(node->soak->servers[i].id, server_id) &&
		    node->told_us[i] <= node->disturbed_us)
			node->told_us[i] = clock_monotonic_us();
}

void rates_start(soak_t *soak)
{
	soak->rates_random = soak->random;
	ev_timer_init(&soak->rate_timer, on_timer, 1., 0.);
	soak->rate_timer.data = soak;
	if (soak->server_rates)
		ev_timer_start(soak->loop, &soak->rate_timer);
}

void rates_end(soak_t *soak)
{
	int i;

	ev_timer_stop(soak->loop, &soak->rate_timer);
	for (i = 0; i < SERVERS; i++)
		end_rate(&soak->servers[i]);
}
