/**
 * @file address.h
 * Reads IP:PORT.
 */
#ifndef CONNECTION_ADDRESS_H
#define CONNECTION_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/** @return false unless @p text is an IPv4 address and a port. */
bool address_parse(const char *text, struct sockaddr_in *address);

#endif
