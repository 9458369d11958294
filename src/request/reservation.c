#include "request/reservation.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "platform/orders.h"

/* Leases are looked after this often; a fraction of the shortest pause
 * between two orders. */
#define TICK_S 0.05

typedef struct {
	reservation_t *reservation;
	backend_t *server;
	mem_lease_t ticket;
} lease_part_t;

struct reservation {
	reservation_conf_t conf;
	lease_part_t *parts;
	size_t count;
	ev_timer tick;
	reservation_done_t done; /* NULL once it was called, or released */
	void *context;
	bool releasing;
	reservation_t *prev, *next;
};

static void on_answer(void *context, client_end_t end, int status,
		      const char *body, size_t size)
{
	lease_part_t *part = context;

	mem_lease_answered(&part->ticket, platform_order_answer(end, status),
			   clock_monotonic_us());
	/* The tick looks at all parts, outside of the HTTP client. */
	ev_feed_event(part->reservation->conf.loop, &part->reservation->tick,
		      EV_TIMER);
}

static void send_orders(reservation_t *reservation)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < reservation->count; i++) {
		lease_part_t *part = &reservation->parts[i];
		const backend_entry_t *entry = backend_entry(part->server);
		order_target_t target = { entry->address, entry->id };
		mem_lease_order_t order = mem_lease_next(&part->ticket, now_us);

		if (order == MEM_LEASE_NONE)
			continue;
		log_event(EVENT_ORDER_SENT,
			  "server=%s order=%s ticket=%s tokens=%" PRId64,
			  entry->id,
			  order == MEM_LEASE_RESERVE ? "reserve" : "release",
			  part->ticket.id, part->ticket.tokens);
		platform_order(reservation->conf.client, &target, &part->ticket,
			       order, on_answer, part);
	}
}

static bool all_in(const reservation_t *reservation, mem_lease_state_t state)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->parts[i].ticket.state != state ||
		    (state == MEM_LEASE_GONE &&
		     reservation->parts[i].ticket.in_flight != MEM_LEASE_NONE))
			return false;
	return true;
}

static bool any_refused(const reservation_t *reservation)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->parts[i].ticket.state == MEM_LEASE_REFUSED)
			return true;
	return false;
}

static void destroy(reservation_t *reservation)
{
	size_t i;

	ev_timer_stop(reservation->conf.loop, &reservation->tick);
	for (i = 0; i < reservation->count; i++)
		backend_unref(reservation->parts[i].server);
	DL_DELETE(*reservation->conf.list, reservation);
	free(reservation->parts);
	free(reservation);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	reservation_t *reservation = timer->data;
	reservation_done_t done = reservation->done;
	bool refused = any_refused(reservation);

	send_orders(reservation);
	if (reservation->releasing) {
		if (all_in(reservation, MEM_LEASE_GONE))
			destroy(reservation);
		return;
	}
	if (!done || (!refused && !all_in(reservation, MEM_LEASE_HELD)))
		return;
	reservation->done = NULL;
	done(reservation->context, !refused);
}

reservation_t *reservation_create(const reservation_conf_t *conf,
				  backend_t *const *servers, size_t count,
				  reservation_done_t done, void *context)
{
	static uint64_t serial;
	reservation_t *reservation = mem_calloc(1, sizeof(*reservation));
	size_t i;

	DL_APPEND(*conf->list, reservation);
	reservation->conf = *conf;
	reservation->done = done;
	reservation->context = context;
	reservation->count = count;
	reservation->parts = mem_calloc(count, sizeof(*reservation->parts));
	serial++;
	for (i = 0; i < count; i++) {
		lease_part_t *part = &reservation->parts[i];
		char id[NAME_SIZE_BYTES];

		snprintf(id, sizeof(id), "%s-%" PRIu64 "-%zu", conf->owner,
			 serial, i);
		part->reservation = reservation;
		part->server = backend_ref(servers[i]);
		mem_lease_init(&part->ticket, id, conf->tokens, conf->lease_us,
			       clock_monotonic_us());
	}
	ev_timer_init(&reservation->tick, on_tick, 0., TICK_S);
	reservation->tick.data = reservation;
	ev_timer_start(conf->loop, &reservation->tick);
	return reservation;
}

const char *reservation_ticket(const reservation_t *reservation,
			       const backend_t *server)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->parts[i].server == server)
			return reservation->parts[i].ticket.id;
	return NULL;
}

void reservation_release(reservation_t *reservation)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	reservation->done = NULL;
	reservation->releasing = true;
	for (i = 0; i < reservation->count; i++)
		mem_lease_release(&reservation->parts[i].ticket, now_us);
	ev_feed_event(reservation->conf.loop, &reservation->tick, EV_TIMER);
}

void reservations_destroy(reservation_t **list)
{
	while (*list)
		destroy(*list);
}
