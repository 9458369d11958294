/**
 * @file zap.h
 * ZAP handler: accepts only CURVE clients that present the fleet's key.
 */
#ifndef CONNECTION_ZAP_H
#define CONNECTION_ZAP_H

#include <ev.h>
#include <stdbool.h>

typedef struct zap zap_t;

/**
 * Binds the handler; one per ZeroMQ context, before the sockets it guards.
 * @param public_key of the fleet, Z85
 * @return NULL with zmq_errno() set if the key or the socket is unusable
 */
zap_t *zap_create(void *zmq, struct ev_loop *loop, const char *public_key);
void zap_destroy(zap_t *zap);

#endif
