/**
 * @file stop_guard.h
 * Ends the process when its stop takes too long, whatever it waits for: a host
 * name that is not resolved, a library that does not return, a log that is not
 * read.
 */
#ifndef PROCESS_STOP_GUARD_H
#define PROCESS_STOP_GUARD_H

#include <stdint.h>

/**
 * Ends the process with a log line and EXIT_FAILURE if it still runs in
 * @p limit_ms. Only the first call has an effect: another signal does not
 * prolong a stop.
 */
void stop_guard_arm(int64_t limit_ms);

#endif
