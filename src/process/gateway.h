/**
 * @file gateway.h
 * An entry node that serves the routes of the platform: callers' requests are
 * forwarded to the backend servers of their route.
 *
 * One task owns everything: the listeners, the HTTP client, the views of the
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
 */
gateway_t *gateway_create(struct ev_loop *loop, const node_settings_t *settings,
			  err_t *err);
void gateway_destroy(gateway_t *gateway);

/**
 * Starts a graceful stop: not ready from now on, requests are still taken
 * until the load balancer has noticed, then the loop is left.
 */
void gateway_stop(gateway_t *gateway);

/** Takes changed settings over, as far as they can change at run time. */
void gateway_reload(gateway_t *gateway, const node_settings_t *settings);

#endif
