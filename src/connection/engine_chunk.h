/**
 * @file engine_chunk.h
 * Reads the usual form of a chunk without a JSON tree. Internal to the engine
 * adapter; every other form is left to the JSON library.
 */
#ifndef CONNECTION_ENGINE_CHUNK_H
#define CONNECTION_ENGINE_CHUNK_H

#include "connection/engine.h"

/**
 * Reads a chunk without white space, escapes, non-ASCII text, unknown or
 * repeated members. What it reads, the JSON library reads in the same way.
 * @param chunk zeroed
 * @return false if the form is another one; @p chunk is then undefined
 */
bool engine_read_plain_chunk(const char *data, size_t size, char *buffer,
			     size_t buffer_size, engine_chunk_t *chunk);

#endif
