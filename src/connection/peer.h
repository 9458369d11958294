/**
 * @file peer.h
 * Links to other daemons: one ROUTER socket that receives and one DEALER
 * socket per peer that sends, encrypted with CURVE.
 *
 * CURVE authenticates the server only, so a ZAP handler accepts only clients
 * that present the fleet's public key. Queues are bounded; a message for a
 * peer without a connection, or with a full queue, is dropped and counted.
 */
#ifndef CONNECTION_PEER_H
#define CONNECTION_PEER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "base/units.h"

typedef struct peer peer_t;

typedef struct {
	char address[URL_SIZE_BYTES]; /**< ADDRESS:PORT to receive on */
	const char *public_key; /**< of the fleet, Z85 */
	const char *secret_key;
} peer_conf_t;

typedef void (*peer_receive_t)(void *context, const void *data, size_t size);

/** Opens the receiving socket; one per ZeroMQ context, because of ZAP. */
peer_t *peer_create(void *zmq, struct ev_loop *loop, const peer_conf_t *conf,
		    peer_receive_t receive, void *context, err_t *err);
void peer_destroy(peer_t *peer);

/** Opens a link, or moves it to another address. */
bool peer_connect(peer_t *peer, const char *vm_id, const char *address,
		  err_t *err);
void peer_disconnect(peer_t *peer, const char *vm_id);

/** Closes the links to VMs for which @p keep returns false. */
void peer_retain(peer_t *peer, bool (*keep)(void *context, const char *vm_id),
		 void *context);

/** Sends a message; false if it was dropped. */
bool peer_send(peer_t *peer, const char *vm_id, const void *data, size_t size);

#endif
