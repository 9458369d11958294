/**
 * @file status.h
 * The node's status as the control task last published it, for the operator
 * listener. Functions may be called from any thread.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include <stdbool.h>

/** Replaces the status; takes over @p json, a NUL-terminated JSON text. */
void status_publish(char *json, bool ready);

/** @return a copy of the status that the caller frees; "{}" before any. */
char *status_copy(void);

/** Whether the node accepts requests. */
bool status_ready(void);

#endif
