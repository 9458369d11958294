/**
 * @file raw_requests.h
 * Requests whose length can be read in two ways, sent as raw bytes to an
 * interface: on a new connection, after another request, and together with it.
 */
#ifndef TESTS_LIB_RAW_REQUESTS_H
#define TESTS_LIB_RAW_REQUESTS_H

#include <stdbool.h>
#include <stddef.h>

/** An interface, with a backend server behind it. */
typedef struct {
	const char *name;
	const char *path, *key; /* of requests that reach the server */
	bool takes_chunks; /* else refuses them, which are clear, with 400 */
	void (*start)(void);
	void (*stop)(void);
	int (*port)(void);
	void (*step)(void);
	size_t (*arrivals)(void);
	/* @return true if a request arrived that has @p text */
	bool (*arrived)(const char *text);
} interface_t;

/**
 * Plays all requests in all ways, and prints those that a part of runs as a
 * request of its own, whose body arrives cut or changed, or whose connection
 * stays open although its length is not clear.
 * @return the number of these requests
 */
size_t raw_requests_play(const interface_t *interface);

#endif
