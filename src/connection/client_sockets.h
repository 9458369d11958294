/**
 * @file client_sockets.h
 * Sockets of the HTTP client. A call that ends early resets its connection, so
 * that the kernel drops what it has not delivered. The sockets are set up so
 * that the kernel does the same when the process is killed, and, after the time
 * of the call, when the process has stopped. Private to the HTTP client.
 */
#ifndef CONNECTION_CLIENT_SOCKETS_H
#define CONNECTION_CLIENT_SOCKETS_H

#include <stdbool.h>

#include "connection/client_private.h"

/** Makes libcurl open and close the sockets of a call here, with the times that
 * @p request states. */
void client_sockets_watch(client_call_t *call, const client_request_t *request);

/** Notes that a call sends on a socket, which another call may have opened. */
void client_sockets_use(client_call_t *call, curl_socket_t fd);

/**
 * Ends the use of all sockets of a call, after libcurl has freed its handle.
 * @param ended_well the response was received whole; otherwise the sockets that
 * libcurl has closed are reset
 */
void client_sockets_release(client_call_t *call, bool ended_well);

/** Frees what is left of a client whose connections are closed. */
void client_sockets_forget(client_t *client);

#endif
