/**
 * @file reservation.h
 * Leases of KV cache on several engines for one prompt: all or none.
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

typedef struct {
	struct ev_loop *loop;
	client_t *client;
	const char *owner; /**< prefix of the ids, unique to this process */
	int64_t tokens; /**< on each engine */
	int64_t lease_us;
	reservation_t **list; /**< the reservations that exist */
} reservation_conf_t;

/** @param granted whether all engines gave the memory */
typedef void (*reservation_done_t)(void *context, bool granted);

/** Asks the engines; @p done is called later, once. */
reservation_t *reservation_create(const reservation_conf_t *conf,
				  backend_t *const *servers, size_t count,
				  reservation_done_t done, void *context);

/** @return the id of the lease on a server, or NULL. */
const char *reservation_ticket(const reservation_t *reservation,
			       const backend_t *server);

/**
 * Gives the memory back and frees the object once the engines have confirmed
 * it; done is not called any more.
 */
void reservation_release(reservation_t *reservation);

/** Frees all of a list; their leases expire. For the end of the process, when
 * the HTTP client is gone. */
void reservations_destroy(reservation_t **list);

#endif
