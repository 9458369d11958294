/**
 * @file status.h
 * The node's status as the control task publishes it on demand, for the
 * operator listener. Functions may be called from any thread.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include <stdbool.h>

/** Replaces the status; takes over @p json, a NUL-terminated JSON text. */
void status_publish(char *json, bool ready);

/**
 * Asks for a new status and waits for it for up to 100 ms.
 *
 * @return a copy of the newest status that the caller frees; "{}" before any.
 */
char *status_copy(void);

/** Whether a caller of status_copy() waits for a new status. */
bool status_wanted(void);

/** Whether the node accepts requests. */
bool status_ready(void);

#endif
