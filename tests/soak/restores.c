#include "base/clock.h"
#include "base/units.h"
#include "soak/soak.h"

/* The store is away for a moment and comes back from a copy, some times. While
 * no node reaches it, a key is removed, and revisions pass those of before. */
enum {
	INTERVAL_MIN_MS = 1500,
	INTERVAL_MAX_MS = 5000,
	DOWN_MAX_MS = 1500,
	COPY_AGE_MAX_MS = 4000
};

static int random_below(soak_t *soak, uint64_t below)
{
	return (int)soak_random_of(&soak->restores_random, below);
}

static void start_timer(soak_t *soak, int ms)
{
	ev_timer_set(&soak->restore_timer, (double)ms / MS_PER_S, 0.);
	ev_timer_start(soak->loop, &soak->restore_timer);
}

static void restore(soak_t *soak, int age_ms)
{
	int64_t before = store_revision();
	int i = 0;

	soak_note(soak, "store comes back from a copy %d ms old", age_ms);
	store_restore(age_ms);
	faults_remove_key(soak, random_below(soak, KEYS));
	while (store_revision() <= before)
		server_announce(&soak->servers[i++ % SERVERS]);
	store_set_down(false);
	for (i = 0; i < soak->node_count; i++)
		soak->nodes[i].disturbed_us = clock_monotonic_us();
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;

	if (!soak->restoring) {
		soak->restoring = true;
		store_set_down(true);
		start_timer(soak, random_below(soak, DOWN_MAX_MS));
		return;
	}
	soak->restoring = false;
	restore(soak, random_below(soak, COPY_AGE_MAX_MS));
	start_timer(soak, INTERVAL_MIN_MS +
				  random_below(soak, INTERVAL_MAX_MS -
							     INTERVAL_MIN_MS));
}

void restores_start(soak_t *soak)
{
	soak->restores_random = soak->random ^ UINT64_C(0x5707);
	ev_timer_init(&soak->restore_timer, on_timer, 3., 0.);
	soak->restore_timer.data = soak;
	if (soak->store_restores)
		ev_timer_start(soak->loop, &soak->restore_timer);
}

void restores_end(soak_t *soak)
{
	ev_timer_stop(soak->loop, &soak->restore_timer);
	if (soak->restoring)
		restore(soak, 0);
	soak->restoring = false;
}
