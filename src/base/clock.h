/**
 * @file clock.h
 * Clock reads for the I/O layers. Decision modules take time as an argument.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** @return microseconds of CLOCK_MONOTONIC. */
int64_t clock_monotonic_us(void);

/**
 * @return microseconds of CLOCK_BOOTTIME, which counts the time in which the
 * VM was suspended; for bounds that hold whatever happens to the VM.
 */
int64_t clock_boot_us(void);

/** @return microseconds since the Unix epoch. */
int64_t clock_wall_us(void);

#endif
