/**
 * @file hop_headers.h
 * Hop-by-hop headers: they concern a single connection and are not relayed.
 * Does no I/O.
 */
#ifndef REQUEST_HOP_HEADERS_H
#define REQUEST_HOP_HEADERS_H

#include <stdbool.h>

/**
 * @param connection value of the message's Connection header, which may name
 *                   further hop-by-hop headers; NULL: no such header
 * @return true if the header @p name is hop-by-hop
 */
bool is_hop_header(const char *name, const char *connection);

#endif
