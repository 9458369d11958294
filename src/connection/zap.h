/**
 * @file zap.h
 * Handler of the ZeroMQ Authentication Protocol (ZAP). Accepts only CURVE
 * clients that present the fleet's public key.
 */
#ifndef CONNECTION_ZAP_H
#define CONNECTION_ZAP_H

#include <ev.h>
#include <stdbool.h>

typedef struct zap zap_t;

/**
 * Starts the handler, before any socket that needs authentication is bound. A
 * ZeroMQ context can have only one handler.
 * @param public_key public key of the fleet, as Z85 text of 40 characters
 * @return NULL if the key or the socket is unusable; zmq_errno() has the
 * reason, EINVAL for the key
 */
zap_t *zap_create(void *zmq, struct ev_loop *loop, const char *public_key);
void zap_destroy(zap_t *zap);

#endif
