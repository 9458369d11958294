/**
 * @file datagram.h
 * UDP socket on the event loop of a task, for announcements whose loss does no
 * harm.
 */
#ifndef CONNECTION_DATAGRAM_H
#define CONNECTION_DATAGRAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

typedef struct datagram datagram_t;

/** Handles one received datagram. @p data is valid until it returns. */
typedef void (*datagram_received_t)(void *context, const uint8_t *data,
				    size_t size);

/**
 * Opens a UDP socket and calls @p received for each datagram.
 * @param address IP:PORT to bind the socket to
 * @return NULL and @p err if @p address is malformed or cannot be bound
 */
datagram_t *datagram_create(struct ev_loop *loop, const char *address,
			    datagram_received_t received, void *context,
			    err_t *err);
void datagram_destroy(datagram_t *datagram);

/**
 * Sends a datagram to IP:PORT. Send errors and loss are not reported.
 * @return false if @p address is malformed
 */
bool datagram_send(datagram_t *datagram, const char *address,
		   const uint8_t *data, size_t size);

#endif
