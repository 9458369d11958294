#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

/* Faults begin at random intervals and last for random times, so that several
 * overlap. */
enum {
	INTERVAL_MIN_MS = 150,
	INTERVAL_MAX_MS = 1500,
	DURATION_MIN_MS = 500,
	DURATION_MAX_MS = 5000
};

/* Time from the start of a daemon until it handles SIGHUP. */
#define STARTUP_US (200 * US_PER_MS)

typedef enum {
	FAULT_KILL,
	FAULT_TERM,
	FAULT_PAUSE,
	FAULT_HANG_UP,
	FAULT_STORE_LINK,
	FAULT_STORE_DOWN,
	FAULT_SERVER_LINK,
	FAULT_SERVER_RESET,
	FAULT_SERVER_FAILS,
	FAULT_SERVER_LEAVES,
	FAULT_REVOKE,
	FAULT_CONFIGURE,
	FAULT_COUNT
} fault_type_t;

static const char *const names[FAULT_COUNT] = {
	"kill",		"term",		 "pause",	"hang-up",
	"store-link",	"store-down",	 "server-link", "server-reset",
	"server-fails", "server-leaves", "revoke",	"configure",
};

/* With stops. A SIGTERM may hit a node that stops already. */
static const fault_type_t planned[] = { FAULT_TERM, FAULT_TERM, FAULT_HANG_UP,
					FAULT_CONFIGURE };
enum { PLANNED_COUNT = sizeof(planned) / sizeof(planned[0]) };

/** A fault in effect, until its timer ends it. */
typedef struct {
	soak_t *soak;
	fault_type_t type;
	int target; /* number whose remainder selects a server, node or key */
	ev_timer end;
} fault_t;

/* Sets the time of the last fault of every node. */
static void disturb_all(soak_t *soak)
{
	int i;

	for (i = 0; i < soak->node_count; i++)
		soak->nodes[i].disturbed_us = clock_monotonic_us();
}

/* Ends a fault; also called for faults that are not in effect. */
static void end_fault(soak_t *soak, fault_type_t type, int target)
{
	server_t *server = &soak->servers[target % SERVERS];
	node_t *node = &soak->nodes[target % soak->node_count];

	switch (type) {
	case FAULT_PAUSE:
		node_signal(node, SIGCONT);
		break;
	case FAULT_STORE_LINK:
		proxy_set(node->store_link, LINK_NORMAL);
		node->disturbed_us = clock_monotonic_us();
		break;
	case FAULT_STORE_DOWN:
		store_set_down(false);
		soak->store_down_us = 0;
		disturb_all(soak);
		break;
	case FAULT_SERVER_LINK:
		proxy_set(server->link, LINK_NORMAL);
		break;
	case FAULT_SERVER_FAILS:
		server->abort_chance = 0;
		break;
	case FAULT_SERVER_LEAVES:
		server->draining = false;
		server->listed = true;
		server_announce(server);
		break;
	default:
		break;
	}
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	fault_t *fault = timer->data;

	if (!fault->soak->faults_over) {
		soak_note(fault->soak, "end %s %d", names[fault->type],
			  fault->target);
		end_fault(fault->soak, fault->type, fault->target);
	}
	free(fault);
}

void faults_remove_key(soak_t *soak, int key)
{
	/* Key 0 stays valid, so that some requests still succeed. With
	 * overload the accounts that are compared all keep theirs. */
	if (key == 0 || soak->overload || soak->key_revoked_us[key])
		return;
	soak->key_revoked_us[key] = clock_monotonic_us();
	store_configure(soak);
}

/* Takes a server out of service; one server of each service stays.
 * @param draining true: the server is listed as draining; false: the server is
 * deleted
 * @return false if the server has to stay or left already */
static bool withdraw(soak_t *soak, server_t *server, bool draining)
{
	int i, others = 0;

	for (i = 0; i < SERVERS; i++)
		others += &soak->servers[i] != server &&
			  soak->servers[i].plain == server->plain &&
			  soak->servers[i].listed && !soak->servers[i].draining;
	if (!others || server->draining || !server->listed)
		return false;
	server->draining = true;
	server->listed = draining;
	server->draining_us = clock_monotonic_us();
	server_announce(server);
	return true;
}

/* @return false if the fault is not possible now */
static bool begin_fault(soak_t *soak, fault_type_t type, int target)
{
	static const link_mode_t links[] = { LINK_SLOW, LINK_DROP_REPLIES,
					     LINK_DROP_ALL, LINK_REFUSED };
	link_mode_t link = links[soak_random(soak, 4)];
	server_t *server = &soak->servers[target % SERVERS];
	node_t *node = &soak->nodes[target % soak->node_count];

	switch (type) {
	case FAULT_KILL:
		node_signal(node, SIGKILL);
		return true;
	case FAULT_TERM:
		node_signal(node, SIGTERM);
		return true;
	case FAULT_PAUSE:
		node_signal(node, SIGSTOP);
		return true;
	case FAULT_HANG_UP:
		/* Before main() ignores SIGHUP, the signal ends the
		 * daemon. */
		if (clock_monotonic_us() - node->started_us < STARTUP_US)
			return false;
		node_signal(node, SIGHUP);
		return true;
	case FAULT_STORE_LINK:
		proxy_set(node->store_link, link);
		node->disturbed_us = clock_monotonic_us();
		return true;
	case FAULT_STORE_DOWN:
		store_set_down(true);
		if (!soak->store_down_us)
			soak->store_down_us = clock_monotonic_us();
		disturb_all(soak);
		return true;
	case FAULT_SERVER_LINK:
		proxy_set(server->link, link);
		return true;
	case FAULT_SERVER_RESET:
		proxy_reset(server->link);
		return true;
	case FAULT_SERVER_FAILS:
		server->abort_chance =
			0.1 + (double)soak_random(soak, 50) / 100;
		return true;
	case FAULT_SERVER_LEAVES:
		return withdraw(soak, server, soak_chance(soak, 0.7));
	case FAULT_REVOKE:
		faults_remove_key(soak, target % KEYS);
		return true;
	case FAULT_CONFIGURE:
		store_configure(soak);
		return true;
	case FAULT_COUNT:
		break;
	}
	return false;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	fault_type_t type = (fault_type_t)soak_random(soak, FAULT_COUNT);
	int target = (int)soak_random(soak, 1000);
	double duration_s =
		(double)(DURATION_MIN_MS +
			 (int)soak_random(soak,
					  DURATION_MAX_MS - DURATION_MIN_MS)) /
		(double)MS_PER_S;

	if (soak->stops)
		type = planned[soak_random_of(&soak->stops_random,
					      PLANNED_COUNT)];
	if (begin_fault(soak, type, target)) {
		fault_t *fault = mem_calloc(1, sizeof(*fault));

		soak_note(soak, "begin %s %d", names[type], target);
		fault->soak = soak;
		fault->type = type;
		fault->target = target;
		ev_timer_init(&fault->end, on_end, duration_s, 0.);
		fault->end.data = fault;
		ev_timer_start(loop, &fault->end);
	}
	ev_timer_set(timer,
		     (double)(INTERVAL_MIN_MS +
			      (int)soak_random(soak, INTERVAL_MAX_MS -
							     INTERVAL_MIN_MS)) /
			     (double)MS_PER_S,
		     0.);
	ev_timer_start(loop, timer);
}

void faults_start(soak_t *soak)
{
	ev_timer_init(&soak->fault_timer, on_timer, 2., 0.);
	soak->fault_timer.data = soak;
	ev_timer_start(soak->loop, &soak->fault_timer);
}

/* Ends all faults and lets no other fault begin. */
void faults_end(soak_t *soak)
{
	int i, type;

	ev_timer_stop(soak->loop, &soak->fault_timer);
	for (type = 0; type < FAULT_COUNT; type++)
		for (i = 0; i < SERVERS * NODES_MAX; i++)
			end_fault(soak, (fault_type_t)type, i);
	soak->faults_over = true;
}
