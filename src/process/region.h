/**
 * @file region.h
 * Data centres of a region: they are near each other, and their nodes share
 * what they learn of the platform.
 */
#ifndef PROCESS_REGION_H
#define PROCESS_REGION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/units.h"

/** The largest region of the target has five data centres. */
enum { REGION_DATA_CENTRES_MAX = 16 };

typedef struct {
	size_t count;
	char data_centres[REGION_DATA_CENTRES_MAX][NAME_SIZE_BYTES];
} region_t;

/** Adds a data centre once. @return false if the region is full */
bool region_add(region_t *region, const char *data_centre);
bool region_has(const region_t *region, const char *data_centre);
/** @return the place of a data centre in the region, its count if it is in
 * another one. */
size_t region_find(const region_t *region, const char *data_centre);

#endif
