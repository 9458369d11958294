/**
 * @file framing.h
 * Checks that the length of a request can be read in one way only. Another
 * parser on the way, which reads it in another way, would take a part of the
 * body for a request of its own (RFC 9112, sections 5, 6 and 11.2).
 */
#ifndef CONNECTION_FRAMING_H
#define CONNECTION_FRAMING_H

#include <microhttpd.h>
#include <stdbool.h>

/**
 * @return true if all header names are tokens, no header is folded, and the
 * length is stated once at most: as one number, or as chunks
 */
bool framing_is_clear(struct MHD_Connection *connection);

#endif
