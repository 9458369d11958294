/**
 * @file status_line.h
 * Checks the status line of an HTTP/1 response, since libcurl accepts any three
 * digits as a status, and text right after them.
 */
#ifndef CONNECTION_STATUS_LINE_H
#define CONNECTION_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>

/**
 * @param line a line of a head; no header has a name that looks like a status
 * line
 */
bool is_status_line(const char *line, size_t size);

/** @return true if the status has three digits and is from 100 to 599 (RFC
 * 9110, section 15) */
bool status_line_valid(const char *line, size_t size);

#endif
