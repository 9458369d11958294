/**
 * @file rendezvous.h
 * Rendezvous hashing: selects the members that are responsible for a key.
 *
 * All nodes with the same list of members select the same members for a key. A
 * member that joins or leaves moves only the keys that it gains or loses.
 */
#ifndef PROCESS_RENDEZVOUS_H
#define PROCESS_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

enum { RENDEZVOUS_NONE = -1 };

/** @return index of the owner of @p key; RENDEZVOUS_NONE if @p count is 0. */
int32_t rendezvous_owner(const char *key,
			 const char (*members)[NAME_SIZE_BYTES], size_t count);

/**
 * Selects the members with the highest weights, highest first. The weight is a
 * hash of the key and the member's name.
 * @param chosen filled with indices of members; has space for @p wanted
 * @return number of selected members, less than @p wanted if @p count is
 * smaller
 */
size_t rendezvous_top(const char *key, const char (*members)[NAME_SIZE_BYTES],
		      size_t count, size_t wanted, int32_t *chosen);

#endif
