/**
 * @file loopback.h
 * Listening sockets for servers that a test runs in its own process.
 */
#ifndef TESTS_LIB_LOOPBACK_H
#define TESTS_LIB_LOOPBACK_H

#include <stddef.h>

/**
 * Listens on a free TCP port of 127.0.0.1; a failure fails the test.
 * @param port set to the port
 * @return the socket
 */
int loopback_listen(int *port);
/** The same on @p port. */
int loopback_listen_at(int port);
/** Writes an address IP:PORT that is free for TCP and UDP. */
void loopback_free_address(char *address, size_t size);
/** Starts to connect to @p port. @return the socket, which does not block */
int loopback_connect(int port);
/**
 * @return the value of a socket option on a connection of this process to
 * @p port; -1: no such connection
 */
int loopback_option(int port, int level, int option);

#endif
