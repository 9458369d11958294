#include "process/rendezvous.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

static uint64_t weight_of(const char *key, const char *member)
{
	uint64_t seed = XXH3_64bits(key, strlen(key));

	return XXH3_64bits_withSeed(member, strlen(member), seed);
}

/* @return true if the first member has the higher weight. Names decide between
 * equal weights, so that the result does not depend on the order of members. */
static bool ranks_before(uint64_t weight, const char *name,
			 uint64_t other_weight, const char *other_name)
{
	if (weight != other_weight)
		return weight > other_weight;
	return strcmp(name, other_name) < 0;
}

size_t rendezvous_top(const char *key, const char (*members)[NAME_SIZE_BYTES],
		      size_t count, size_t wanted, int32_t *chosen)
{
	size_t filled = 0, i, place;

	for (i = 0; i < count; i++) {
		uint64_t weight = weight_of(key, members[i]);

		for (place = filled; place > 0; place--) {
			const char *other = members[chosen[place - 1]];

			if (!ranks_before(weight, members[i],
					  weight_of(key, other), other))
				break;
		}
		if (place >= wanted)
			continue;
		if (filled < wanted)
			filled++;
		memmove(chosen + place + 1, chosen + place,
			(filled - place - 1) * sizeof(*chosen));
		chosen[place] = (int32_t)i;
	}
	return filled;
}

int32_t rendezvous_owner(const char *key,
			 const char (*members)[NAME_SIZE_BYTES], size_t count)
{
	int32_t owner = RENDEZVOUS_NONE;

	rendezvous_top(key, members, count, 1, &owner);
	return owner;
}
