/**
 * @file crash.h
 * Tells on the log how a process ended that a fatal signal ends.
 */
#ifndef BASE_CRASH_H
#define BASE_CRASH_H

/**
 * Writes one line on a fatal signal before the process ends by it: event 108,
 * the signal, the build id of the program, and the stack as offsets into it.
 * Call once, early.
 */
void crash_handler_install(void);

#endif
