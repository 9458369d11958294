/**
 * @file crash.h
 * Logs the signal and the stack when a fatal signal ends the process.
 */
#ifndef BASE_CRASH_H
#define BASE_CRASH_H

/**
 * Installs handlers for fatal signals. A handler writes one log line before
 * the process ends: event 108, the signal number, the build id of the program,
 * and the stack as offsets into the program. Call once, early in main().
 */
void crash_handler_install(void);

#endif
