#include "request/reservation.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "platform/orders.h"

/* Interval at which due orders are sent; a fraction of the shortest pause
 * between two orders of a lease. */
#define TIMER_PERIOD_S 0.05

/** Memory lease on one of the servers. */
typedef struct {
	reservation_t *reservation;
	backend_t *server;
	mem_lease_t lease;
} server_lease_t;

struct reservation {
	reservation_conf_t conf;
	server_lease_t *leases;
	size_t count;
	ev_timer timer;
	reservation_done_t done; /* NULL once it was called, or the reservation
				  * was released */
	void *context;
	bool used; /* the request was sent */
	uint32_t replaced; /* leases that were replaced */
	bool releasing; /* the leases are being released; the reservation is
			 * freed after that */
	reservation_t *prev, *next;
};

static void count_answer(const mem_lease_t *lease)
{
	if (lease->state == MEM_LEASE_HELD)
		metrics_add(METRIC_MEMORY_LEASES, 1);
	else if (lease->state == MEM_LEASE_REFUSED)
		metrics_add(METRIC_MEMORY_LEASES_REFUSED, 1);
}

static void on_answer(void *context, client_end_t end, int status,
		      const char *body, size_t size)
{
	server_lease_t *server_lease = context;
	mem_lease_state_t before = server_lease->lease.state;

	mem_lease_answered(&server_lease->lease,
			   platform_order_answer(end, status),
			   clock_monotonic_us());
	if (before == MEM_LEASE_REQUESTED)
		count_answer(&server_lease->lease);
	/* The timer handles all leases, outside of the HTTP client's callback.
	 */
	ev_feed_event(server_lease->reservation->conf.loop,
		      &server_lease->reservation->timer, EV_TIMER);
}

static void send_orders(reservation_t *reservation)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < reservation->count; i++) {
		server_lease_t *server_lease = &reservation->leases[i];
		const backend_entry_t *entry =
			backend_entry(server_lease->server);
		order_target_t target = { entry->address, entry->id };
		mem_lease_order_t order =
			mem_lease_next(&server_lease->lease, now_us);

		if (order == MEM_LEASE_NONE)
			continue;
		log_event(EVENT_ORDER_SENT,
			  "server=%s order=%s ticket=%s tokens=%" PRId64,
			  entry->id,
			  order == MEM_LEASE_RESERVE ? "reserve" : "release",
			  server_lease->lease.id, server_lease->lease.tokens);
		platform_order(reservation->conf.client, &target,
			       &server_lease->lease, order, on_answer,
			       server_lease);
	}
}

/* @return true if all leases are in @p state; those in MEM_LEASE_GONE must also
 * have no order in flight */
static bool all_in_state(const reservation_t *reservation,
			 mem_lease_state_t state)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->leases[i].lease.state != state ||
		    (state == MEM_LEASE_GONE &&
		     reservation->leases[i].lease.in_flight != MEM_LEASE_NONE))
			return false;
	return true;
}

static bool any_refused(const reservation_t *reservation)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->leases[i].lease.state == MEM_LEASE_REFUSED)
			return true;
	return false;
}

static void init_lease(server_lease_t *server_lease, backend_t *server)
{
	static uint64_t serial;
	const reservation_conf_t *conf = &server_lease->reservation->conf;
	char id[NAME_SIZE_BYTES];

	snprintf(id, sizeof(id), "%s-%" PRIu64, conf->id_prefix, ++serial);
	server_lease->server = backend_ref(server);
	mem_lease_init(&server_lease->lease, id, conf->tokens, conf->lease_us,
		       clock_monotonic_us());
}

/* Replaces a lease that its engine refused: such a lease holds no memory. One
 * whose answer was lost may hold some, and is released with the others.
 * @return false if the lease stays refused */
static bool replace_refused(reservation_t *reservation,
			    server_lease_t *server_lease)
{
	backend_t *refused = server_lease->server, *server;

	if (server_lease->lease.may_hold || !reservation->conf.replace)
		return false;
	server = reservation->conf.replace(reservation->context, refused,
					   reservation->replaced <
						   RESERVATION_REPLACED_MAX);
	if (!server)
		return false;
	reservation->replaced++;
	init_lease(server_lease, server);
	backend_unref(refused);
	return true;
}

/* Replaces the refused leases, and keeps the granted ones. */
static void replace_all_refused(reservation_t *reservation)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->leases[i].lease.state == MEM_LEASE_REFUSED &&
		    !replace_refused(reservation, &reservation->leases[i]))
			return;
}

static void destroy(reservation_t *reservation)
{
	size_t i;

	ev_timer_stop(reservation->conf.loop, &reservation->timer);
	for (i = 0; i < reservation->count; i++)
		backend_unref(reservation->leases[i].server);
	DL_DELETE(*reservation->conf.list, reservation);
	free(reservation->leases);
	free(reservation);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	reservation_t *reservation = timer->data;
	reservation_done_t done = reservation->done;
	bool refused;

	if (done)
		replace_all_refused(reservation);
	refused = any_refused(reservation);
	send_orders(reservation);
	if (reservation->releasing) {
		if (all_in_state(reservation, MEM_LEASE_GONE))
			destroy(reservation);
		return;
	}
	if (!done || (!refused && !all_in_state(reservation, MEM_LEASE_HELD)))
		return;
	reservation->done = NULL;
	done(reservation->context, !refused);
}

reservation_t *reservation_create(const reservation_conf_t *conf,
				  backend_t *const *servers, size_t count,
				  reservation_done_t done, void *context)
{
	reservation_t *reservation = mem_calloc(1, sizeof(*reservation));
	size_t i;

	DL_APPEND(*conf->list, reservation);
	reservation->conf = *conf;
	reservation->done = done;
	reservation->context = context;
	reservation->count = count;
	reservation->leases = mem_calloc(count, sizeof(*reservation->leases));
	for (i = 0; i < count; i++) {
		reservation->leases[i].reservation = reservation;
		init_lease(&reservation->leases[i], servers[i]);
	}
	ev_timer_init(&reservation->timer, on_timer, 0., TIMER_PERIOD_S);
	reservation->timer.data = reservation;
	ev_timer_start(conf->loop, &reservation->timer);
	return reservation;
}

const char *reservation_lease_id(const reservation_t *reservation,
				 const backend_t *server)
{
	size_t i;

	for (i = 0; i < reservation->count; i++)
		if (reservation->leases[i].server == server)
			return reservation->leases[i].lease.id;
	return NULL;
}

void reservation_note_used(reservation_t *reservation)
{
	reservation->used = true;
}

void reservation_release(reservation_t *reservation)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < reservation->count && !reservation->used; i++)
		if (reservation->leases[i].lease.state == MEM_LEASE_HELD)
			metrics_add(METRIC_MEMORY_LEASES_UNUSED, 1);
	reservation->done = NULL;
	reservation->releasing = true;
	for (i = 0; i < reservation->count; i++)
		mem_lease_release(&reservation->leases[i].lease, now_us);
	ev_feed_event(reservation->conf.loop, &reservation->timer, EV_TIMER);
}

void reservations_destroy(reservation_t **list)
{
	while (*list)
		destroy(*list);
}
