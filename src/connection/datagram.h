/**
 * @file datagram.h
 * UDP socket on the loop of a task, for announcements that may get lost.
 */
#ifndef CONNECTION_DATAGRAM_H
#define CONNECTION_DATAGRAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

typedef struct datagram datagram_t;

typedef void (*datagram_received_t)(void *context, const uint8_t *data,
				    size_t size);

/** @param address IP:PORT that the socket is bound to */
datagram_t *datagram_create(struct ev_loop *loop, const char *address,
			    datagram_received_t received, void *context,
			    err_t *err);
void datagram_destroy(datagram_t *datagram);

/** Sends to IP:PORT; loss is not reported. @return false: bad address */
bool datagram_send(datagram_t *datagram, const char *address,
		   const uint8_t *data, size_t size);

#endif
