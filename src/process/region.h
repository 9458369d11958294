/**
 * @file region.h
 * Data centres of a region: they are near each other, and their nodes send
 * each other updates of their views of the platform.
 */
#ifndef PROCESS_REGION_H
#define PROCESS_REGION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/units.h"

/** The largest region that is planned for has five data centres. */
enum { REGION_DATA_CENTRES_MAX = 16 };

typedef struct {
	size_t count;
	char data_centres[REGION_DATA_CENTRES_MAX][NAME_SIZE_BYTES];
} region_t;

/**
 * Adds a data centre unless the region has it already.
 * @return false if the region is full
 */
bool region_add(region_t *region, const char *data_centre);
bool region_has(const region_t *region, const char *data_centre);
/** @return index of a data centre; region->count if it is not in the region */
size_t region_find(const region_t *region, const char *data_centre);

#endif
