#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

/*
 * Duties of one node at a time, at the platform's interface. Again and again, a
 * cut holds up a call of the holder, which then loses its lease, stops or ends.
 * Another node takes over, and then the cut ends: no call of the former holder
 * may come then. The random numbers are of their own, so that the faults of a
 * seed are the same with and without duties.
 */
enum {
	LEASE_MS = 2000,
	WINDOW_S = 1, /* of a usage report */
	/* From the end of a cut to the next. */
	CALM_MIN_MS = 1500,
	CALM_MAX_MS = 3000,
	/* Longer than the lease of the holder and the time in which another
	 * node takes over. */
	HOLD_MIN_MS = 4500,
	HOLD_MAX_MS = 6500,
	CONNECTIONS_MAX = 100,
	STEP_MS = 10
};

/* What happens to the holder while its call is held up. */
typedef enum {
	HOLDER_CUT_OFF, /* from the store too */
	HOLDER_KILLED,
	HOLDER_STOPPED, /* by SIGTERM */
	HOLDER_PAUSED,
	HOLDER_FAULTS
} holder_fault_t;

static const char *const names[HOLDER_FAULTS] = { "cut off", "killed",
						  "stopped", "paused" };

typedef enum {
	CUT_NONE,
	CUT_AWAITS_CALL, /* all links hold up; the first call shows the holder
			  */
	CUT_HOLDS /* the link of the holder does */
} cut_state_t;

typedef struct {
	exchange_t *exchange;
	const node_t *node;
} duty_call_t;

static struct {
	uint64_t random;
	soak_t *soak;
	listener_t *listeners[NODES_MAX]; /* of the platform, one a node */
	proxy_t *links[NODES_MAX];
	cut_state_t state;
	node_t *holder; /* whose call is held up */
	holder_fault_t fault;
	int64_t until_us; /* next change of the state */
	int64_t highest_token;
	const node_t *highest_node; /* that used it */
	int arrivals, held_calls, successions;
	ev_timer timer;
} duties;

static int64_t in_ms(int64_t from_ms, int64_t to_ms)
{
	uint64_t ms =
		soak_random_of(&duties.random, (uint64_t)(to_ms - from_ms));

	return clock_monotonic_us() + (from_ms + (int64_t)ms) * US_PER_MS;
}

static void *on_request(void *context, exchange_t *exchange)
{
	duty_call_t *call = mem_calloc(1, sizeof(*call));

	call->exchange = exchange;
	call->node = context;
	return call;
}

static void on_complete(void *user)
{
	const duty_call_t *call = user;
	const char *text = exchange_header(call->exchange, "X-Fence-Token");
	int64_t token = text ? strtoll(text, NULL, 10) : 0;

	duties.arrivals++;
	if (token < duties.highest_token || (token == duties.highest_token &&
					     call->node != duties.highest_node))
		soak_violation(duties.soak,
			       "ONE call of %s with token %lld after one of %s "
			       "with %lld",
			       call->node->name, (long long)token,
			       duties.highest_node->name,
			       (long long)duties.highest_token);
	if (token > duties.highest_token) {
		duties.successions += call->node != duties.highest_node;
		duties.highest_token = token;
		duties.highest_node = call->node;
	}
	exchange_reply(call->exchange, 200, NULL, 0, "{}", 2);
}

static void on_close(void *user, bool sent)
{
	free(user);
}

static void set_links(link_mode_t link)
{
	int i;

	for (i = 0; i < duties.soak->node_count; i++)
		proxy_set(duties.links[i], link);
}

static void begin_fault(node_t *holder)
{
	switch (duties.fault) {
	case HOLDER_CUT_OFF:
		proxy_set(holder->store_link, LINK_DROP_ALL);
		holder->disturbed_us = clock_monotonic_us();
		break;
	case HOLDER_KILLED:
		node_signal(holder, SIGKILL);
		break;
	case HOLDER_STOPPED:
		node_signal(holder, SIGTERM);
		break;
	case HOLDER_PAUSED:
		node_signal(holder, SIGSTOP);
		break;
	case HOLDER_FAULTS:
		break;
	}
}

static void end_fault(node_t *holder)
{
	if (duties.fault == HOLDER_CUT_OFF)
		proxy_set(holder->store_link, LINK_NORMAL);
	if (duties.fault == HOLDER_PAUSED)
		node_signal(holder, SIGCONT);
	holder->disturbed_us = clock_monotonic_us();
}

static void end_cut(void)
{
	/* The links first: what is held up comes before the process goes on. */
	set_links(LINK_NORMAL);
	if (duties.state == CUT_HOLDS) {
		soak_note(duties.soak, "link of %s heals", duties.holder->name);
		end_fault(duties.holder);
	}
	duties.state = CUT_NONE;
	duties.until_us = in_ms(CALM_MIN_MS, CALM_MAX_MS);
}

/* Lets all nodes but the one whose call is held up reach the platform. */
static void find_holder(soak_t *soak)
{
	held_call_t held = HELD_NONE;
	int i;

	for (i = 0; i < soak->node_count && held == HELD_NONE; i++)
		held = proxy_held_call(duties.links[i]);
	if (held == HELD_WHOLE) /* as if it had come before the cut */
		end_cut();
	if (held != HELD_PART)
		return;
	i--;
	duties.holder = &soak->nodes[i];
	duties.fault =
		(holder_fault_t)soak_random_of(&duties.random, HOLDER_FAULTS);
	duties.held_calls++;
	soak_note(soak, "call of %s held up, which is %s", duties.holder->name,
		  names[duties.fault]);
	begin_fault(duties.holder);
	for (i = 0; i < soak->node_count; i++)
		if (&soak->nodes[i] != duties.holder)
			proxy_set(duties.links[i], LINK_NORMAL);
	duties.state = CUT_HOLDS;
	duties.until_us = in_ms(HOLD_MIN_MS, HOLD_MAX_MS);
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	bool is_due = clock_monotonic_us() >= duties.until_us;

	if (soak->faults_over) {
		if (duties.state != CUT_NONE)
			end_cut();
		return;
	}
	switch (duties.state) {
	case CUT_NONE:
		if (!is_due)
			return;
		set_links(LINK_HOLD);
		duties.state = CUT_AWAITS_CALL;
		duties.until_us = in_ms(HOLD_MAX_MS, 2 * HOLD_MAX_MS);
		return;
	case CUT_AWAITS_CALL:
		if (is_due)
			end_cut();
		else
			find_holder(soak);
		return;
	case CUT_HOLDS:
		if (is_due)
			end_cut();
		return;
	}
}

void duties_open(soak_t *soak)
{
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = CONNECTIONS_MAX };
	listener_handler_t handler = { .on_request = on_request,
				       .on_complete = on_complete,
				       .on_close = on_close };
	int i;

	duties.soak = soak;
	duties.random = soak->random ^ 0x2545f4914f6cdd1d;
	for (i = 0; soak->duties && i < soak->node_count; i++) {
		handler.context = &soak->nodes[i];
		duties.listeners[i] =
			listener_create(soak->loop, &conf, &handler, NULL);
		duties.links[i] = proxy_create(
			soak->loop, listener_port(duties.listeners[i]));
		proxy_bound_held(duties.links[i]);
	}
}

void duties_settings(const node_t *node, char *text, size_t size)
{
	if (!node->soak->duties) {
		*text = '\0';
		return;
	}
	snprintf(
		text, size,
		"contractParams.leaseMs=%d\ncontractParams.windowS=%d\n"
		"contractParams.usageDelayS=10\ncloudApi.address=127.0.0.1:%d\n"
		"cloudApi.duties=usage\n",
		LEASE_MS, WINDOW_S,
		proxy_port(duties.links[node - node->soak->nodes]));
}

int duties_key(void)
{
	return (int)soak_random_of(&duties.random, DUTY_KEYS);
}

void duties_start(soak_t *soak)
{
	ev_timer_init(&duties.timer, on_step, (double)STEP_MS / MS_PER_S,
		      (double)STEP_MS / MS_PER_S);
	duties.timer.data = soak;
	duties.until_us = in_ms(HOLD_MIN_MS, HOLD_MAX_MS);
	if (soak->duties)
		ev_timer_start(soak->loop, &duties.timer);
}

void duties_check(soak_t *soak)
{
	int i;

	if (!soak->duties)
		return;
	ev_timer_stop(soak->loop, &duties.timer);
	printf("duties: %d calls arrived, %d held up, %d changes of the "
	       "holder\n",
	       duties.arrivals, duties.held_calls, duties.successions);
	if (!duties.arrivals)
		soak_violation(soak, "DUTIES no usage was reported");
	for (i = 0; i < soak->node_count; i++) {
		proxy_destroy(duties.links[i]);
		listener_destroy(duties.listeners[i]);
	}
}
