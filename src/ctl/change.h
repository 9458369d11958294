/**
 * @file change.h
 * One change of the configuration: read, edit, write by conditional update,
 * and settle a lost answer.
 */
#ifndef CTL_CHANGE_H
#define CTL_CHANGE_H

#include "ctl/ctl.h"

/**
 * Edits the JSON form of the document in force.
 * @param root the document; an empty object if there is none yet
 */
typedef bool (*change_edit_t)(void *context, json_t *root, err_t *err);

/** Makes one change and prints its result. */
exit_code_t change_run(const invocation_t *invocation, change_edit_t edit,
		       void *context);

#endif
