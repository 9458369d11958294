/**
 * @file forward.h
 * One request of a caller, from its headers to its final answer.
 */
#ifndef REQUEST_FORWARD_H
#define REQUEST_FORWARD_H

#include "connection/listener.h"

struct gateway;

/** Callbacks of the callers' listener; the context is the gateway. */
extern const listener_handler_t forward_handler;

/** Tries requests again that wait for a server. */
void forward_retry_waiting(struct gateway *gateway);

/** Looks after requests on servers that seem to be cut off. */
void forward_check_partition(struct gateway *gateway);

/** Ends every request without an answer; for the end of the process. */
void forward_abort_all(struct gateway *gateway);

#endif
