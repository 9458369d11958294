/**
 * @file units.h
 * Time units and the size of names.
 *
 * Times are int64_t microseconds of CLOCK_MONOTONIC unless a name says
 * otherwise. Names end in their unit: _us, _ms, _bytes, _tokens.
 */
#ifndef BASE_UNITS_H
#define BASE_UNITS_H

#include <stdint.h>

#define US_PER_MS INT64_C(1000)
#define MS_PER_S INT64_C(1000)
#define US_PER_S INT64_C(1000000)

/** Bound of a number of tokens: of a prompt, an output or engine memory. Sums
 * and times computed from such numbers do not overflow. */
#define TOKENS_MAX INT64_C(1000000000)

/** Bound of a computed time, 35 years: sums of such times do not overflow. */
#define TIME_MAX_US (INT64_C(1) << 50)

/** @return a computed time as an integer, within TIME_MAX_US */
static inline int64_t time_to_us(double us)
{
	if (us <= -(double)TIME_MAX_US)
		return -TIME_MAX_US;
	return us < (double)TIME_MAX_US ? (int64_t)us : TIME_MAX_US;
}

/** Size of a buffer for any configured name, with the terminating NUL. */
enum { NAME_SIZE_BYTES = 64 };

/** Size of a buffer for an HTTP URL or endpoint, with the terminating NUL. */
enum { URL_SIZE_BYTES = 256 };
/** Size of the key of requests that nodes pass to each other, in hex. */
enum { RELAY_KEY_SIZE_BYTES = 33 };

#endif
