/**
 * @file rendezvous.h
 * Rendezvous hashing: which members are responsible for a key.
 *
 * Every node that sees the same members chooses the same ones, and a member
 * that joins or leaves moves only the keys that it wins or held.
 */
#ifndef PROCESS_RENDEZVOUS_H
#define PROCESS_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

enum { RENDEZVOUS_NONE = -1 };

/** @return index of the owner of @p key, RENDEZVOUS_NONE without members. */
int32_t rendezvous_owner(const char *key,
			 const char (*members)[NAME_SIZE_BYTES], size_t count);

/**
 * Chooses the members with the highest weights, highest first.
 * @param chosen indices, @p wanted of them
 * @return the number chosen, less than @p wanted if there are fewer members
 */
size_t rendezvous_top(const char *key, const char (*members)[NAME_SIZE_BYTES],
		      size_t count, size_t wanted, int32_t *chosen);

#endif
