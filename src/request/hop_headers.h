/**
 * @file hop_headers.h
 * Headers that concern one connection only and are not passed on. Pure.
 */
#ifndef REQUEST_HOP_HEADERS_H
#define REQUEST_HOP_HEADERS_H

#include <stdbool.h>

/**
 * @param connection value of the Connection header of the same message, which
 *                   may name further headers; or NULL
 */
bool is_hop_header(const char *name, const char *connection);

#endif
