/**
 * @file engine_chunk.h
 * Fast parser for the usual form of a chunk, without a JSON tree. Internal to
 * the engine adapter, which parses every other form with the JSON library.
 */
#ifndef CONNECTION_ENGINE_CHUNK_H
#define CONNECTION_ENGINE_CHUNK_H

#include "connection/engine.h"

/**
 * Parses a chunk that has no white space, escapes, non-ASCII text, unknown or
 * repeated members. The result equals that of the JSON library.
 * @param buffer receives the text of the chunk
 * @param chunk  zeroed by the caller of this function
 * @return false if the chunk has another form; @p chunk is then undefined
 */
bool engine_read_plain_chunk(const char *data, size_t size, char *buffer,
			     size_t buffer_size, engine_chunk_t *chunk);

#endif
