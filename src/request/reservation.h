/**
 * @file reservation.h
 * Reserves KV cache on several engines for one prompt, by a memory lease on
 * each: all leases are granted, or the reservation fails.
 */
#ifndef REQUEST_RESERVATION_H
#define REQUEST_RESERVATION_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/client.h"
#include "process/backends.h"

typedef struct reservation reservation_t;

/**
 * Chooses a server in place of one that refused memory.
 * @param may_replace false: the refusal is only to be noted
 * @return server outside of the set; NULL: none, so that the reservation fails
 */
typedef backend_t *(*reservation_replace_t)(void *context, backend_t *refused,
					    bool may_replace);

typedef struct {
	struct ev_loop *loop;
	client_t *client;
	const char *id_prefix; /**< prefix of the lease ids, unique to this
				* process */
	int64_t tokens; /**< KV cache to reserve on each engine */
	int64_t lease_us; /**< duration of a lease without renewal */
	reservation_t **list; /**< all reservations of the gateway; each adds
			       * and removes itself */
	reservation_replace_t replace; /**< gets the context of `done`; NULL:
					* no lease is replaced */
} reservation_conf_t;

/** Most leases that one reservation replaces. */
enum { RESERVATION_REPLACED_MAX = 3 };

/** @param granted true if all engines granted the memory */
typedef void (*reservation_done_t)(void *context, bool granted);

/**
 * Requests a memory lease from each of the servers.
 * @param done called once, after this function returned
 */
reservation_t *reservation_create(const reservation_conf_t *conf,
				  backend_t *const *servers, size_t count,
				  reservation_done_t done, void *context);

/** @return id of the lease on @p server; NULL: no lease on this server */
const char *reservation_lease_id(const reservation_t *reservation,
				 const backend_t *server);

/** Records that the leases are used: the request is sent. */
void reservation_note_used(reservation_t *reservation);

/**
 * Releases the memory, and frees the reservation once each engine confirmed
 * the release or its lease expired. The callback is not called any more.
 */
void reservation_release(reservation_t *reservation);

/**
 * Frees all reservations of a list without releasing the memory; the leases
 * expire. For the end of the process, when the HTTP client is already freed.
 */
void reservations_destroy(reservation_t **list);

#endif
