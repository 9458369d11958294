/**
 * @file change.h
 * Makes one change of the configuration: reads the document, edits it and
 * writes it by conditional update. If the answer to the write is lost, reads
 * the document again to find out whether the change was accepted.
 */
#ifndef CTL_CHANGE_H
#define CTL_CHANGE_H

#include "ctl/ctl.h"

/**
 * Edits the JSON form of the document in force.
 * @param root the document; an empty object if none has been applied yet
 * @return false with @p err if the edit is not possible
 */
typedef bool (*change_edit_t)(void *context, json_t *root, err_t *err);

/**
 * Makes one change and prints its result.
 * @param context passed to @p edit
 */
exit_code_t change_run(const invocation_t *invocation, change_edit_t edit,
		       void *context);

#endif
