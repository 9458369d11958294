#include "process/region.h"

#include <string.h>

#include "base/mem.h"

size_t region_find(const region_t *region, const char *data_centre)
{
	size_t i;

	for (i = 0; i < region->count; i++)
		if (!strcmp(region->data_centres[i], data_centre))
			break;
	return i;
}

bool region_has(const region_t *region, const char *data_centre)
{
	return region_find(region, data_centre) < region->count;
}

bool region_add(region_t *region, const char *data_centre)
{
	if (region_has(region, data_centre))
		return true;
	if (region->count == REGION_DATA_CENTRES_MAX)
		return false;
	mem_strlcpy(region->data_centres[region->count++], data_centre,
		    NAME_SIZE_BYTES);
	return true;
}
