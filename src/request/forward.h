/**
 * @file forward.h
 * Proxies a caller's request to the servers, from its headers to its final
 * answer.
 */
#ifndef REQUEST_FORWARD_H
#define REQUEST_FORWARD_H

#include "connection/listener.h"

struct gateway;

/** Callbacks of the listener for callers; the context is the gateway. */
extern const listener_handler_t forward_handler;

/** Callbacks of the listener for requests that other nodes pass on. */
extern const listener_handler_t forward_relayed_handler;

/** Tries to choose a server for each request that waits for one. */
void forward_retry_waiting(struct gateway *gateway);

/**
 * Shortens the timeout of each request whose server is in a data centre that
 * seems partitioned from this node.
 */
void forward_check_partition(struct gateway *gateway);

/** Ends all requests at the end of a graceful stop: those whose answer has not
 * begun get an error. */
void forward_end_all(struct gateway *gateway);

/** Ends all requests without an answer, when the process stops. */
void forward_abort_all(struct gateway *gateway);

#endif
