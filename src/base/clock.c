#include "base/clock.h"

#include <time.h>

#include "base/units.h"

static int64_t read_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

int64_t clock_monotonic_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

int64_t clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}

int64_t clock_boot_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}
