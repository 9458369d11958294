/**
 * @file clock.h
 * Clocks of the I/O layers. Modules that only decide, without I/O, take the
 * time as an argument.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** @return microseconds of CLOCK_MONOTONIC. */
int64_t clock_monotonic_us(void);

/**
 * @return microseconds of CLOCK_BOOTTIME, which also advances while the VM is
 * suspended. Use this clock for time limits that a suspended VM must not
 * extend.
 */
int64_t clock_boot_us(void);

/** @return microseconds since the Unix epoch. */
int64_t clock_wall_us(void);

#endif
