/**
 * @file peer.h
 * Messages to and from peers: the chivestaged processes of other nodes. One
 * ZeroMQ ROUTER socket receives, and one DEALER socket (link) for each peer
 * sends, encrypted with CURVE.
 *
 * CURVE authenticates the server only, so a ZAP handler accepts only clients
 * that present the fleet's public key. The queues are limited; a message for a
 * peer without a connection, or with a full queue, is dropped and counted.
 */
#ifndef CONNECTION_PEER_H
#define CONNECTION_PEER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "base/units.h"

/** Receiving socket of this node and links to all peers. */
typedef struct peer peer_t;

/** Address and keys of this node. */
typedef struct {
	char address[URL_SIZE_BYTES]; /**< ADDRESS:PORT to receive on */
	const char *public_key; /**< public CURVE key that all nodes (the fleet)
				   share, as Z85 text */
	const char *secret_key; /**< secret key of public_key, as Z85 text */
} peer_conf_t;

/** Handles a received message. @p data is valid until it returns. */
typedef void (*peer_receive_t)(void *context, const void *data, size_t size);

/**
 * Opens the receiving socket. A ZeroMQ context can have only one peer_t,
 * because a context has only one ZAP handler.
 * @return NULL and @p err if the address or a key is unusable
 */
peer_t *peer_create(void *zmq, struct ev_loop *loop, const peer_conf_t *conf,
		    peer_receive_t receive, void *context, err_t *err);
void peer_destroy(peer_t *peer);

/**
 * Opens a link to a peer, or connects an open link to a new address.
 * @return false and @p err if no socket can be opened for @p address
 */
bool peer_connect(peer_t *peer, const char *vm_id, const char *address,
		  err_t *err);

/** Closes the link to a peer, if there is a link. */
void peer_disconnect(peer_t *peer, const char *vm_id);

/** Closes the links to the peers for which @p keep returns false. */
void peer_retain(peer_t *peer, bool (*keep)(void *context, const char *vm_id),
		 void *context);

/** Sends a message. @return false if the message was dropped */
bool peer_send(peer_t *peer, const char *vm_id, const void *data, size_t size);

#endif
