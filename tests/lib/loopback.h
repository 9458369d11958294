/**
 * @file loopback.h
 * Sockets of the tests' own servers.
 */
#ifndef TESTS_LIB_LOOPBACK_H
#define TESTS_LIB_LOOPBACK_H

/** Listens on a free TCP port of 127.0.0.1. @return the socket */
int loopback_listen(int *port);

#endif
