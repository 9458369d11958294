/**
 * @file address.h
 * Parses IPv4 socket addresses in the text form IP:PORT.
 */
#ifndef CONNECTION_ADDRESS_H
#define CONNECTION_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Parses IP:PORT into @p address.
 * @return true if @p text is an IPv4 address, a colon and a port from 0 to
 * 65535
 */
bool address_parse(const char *text, struct sockaddr_in *address);

#endif
