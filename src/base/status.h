/**
 * @file status.h
 * Status of this node as JSON. The control task publishes the status regularly,
 * and on demand when the operator listener calls status_copy(). Functions may
 * be called from any thread.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include <stdbool.h>

/**
 * Replaces the status.
 * @param json  NUL-terminated JSON text, owned and freed by this module
 * @param ready true if the node accepts requests
 */
void status_publish(char *json, bool ready);

/**
 * Requests a new status and waits up to 100 ms for its publication.
 * @return a copy of the newest status, which the caller frees; "{}" if no
 *         status was published yet
 */
char *status_copy(void);

/** @return true if a caller of status_copy() waits for a new status. */
bool status_wanted(void);

/** @return true if the node accepts requests. */
bool status_ready(void);

#endif
