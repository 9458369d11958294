/**
 * @file gateway.h
 * Gateway node: forwards callers' requests on the routes of the platform to the
 * backend servers of each route.
 *
 * A single task holds the listeners, the HTTP client, the views of the
 * platform's store, the server table and the requests.
 */
#ifndef PROCESS_GATEWAY_H
#define PROCESS_GATEWAY_H

#include <ev.h>

#include "base/err.h"
#include "process/node_settings.h"

typedef struct gateway gateway_t;

/**
 * Opens the sockets and starts to read the platform's store.
 * @return NULL on failure, with the reason in @p err
 */
gateway_t *gateway_create(struct ev_loop *loop, const node_settings_t *settings,
			  err_t *err);
void gateway_destroy(gateway_t *gateway);

/**
 * Starts a graceful stop: readiness probes fail from now on, and requests are
 * still accepted until the load balancer takes the node out. The event loop
 * ends once all requests have ended; requests that take too long are aborted.
 */
void gateway_stop(gateway_t *gateway);

/** @return time, in ms, in which a stop has to end the process */
int64_t gateway_stop_limit_ms(const gateway_t *gateway);

/** Applies those of the changed settings that can change at run time. */
void gateway_reload(gateway_t *gateway, const node_settings_t *settings);

#endif
