/**
 * @file edit.h
 * Named edits on the JSON form of a document. Each takes one step towards a
 * new version; edit_finish() validates the result as a whole.
 */
#ifndef VERSION_EDIT_H
#define VERSION_EDIT_H

#include <jansson.h>

#include "base/err.h"
#include "version/document.h"

enum { EDIT_RECENT_CHANGES_MAX = 32 };

/** @return the item called @p name in @p section, or NULL. */
const json_t *edit_find(const json_t *root, const char *section,
			const char *name);

/** Sets `retired` of the item called @p name in @p section. */
bool edit_retire(json_t *root, const char *section, const char *name,
		 bool retired, err_t *err);

/** Adds @p item, or replaces the item of the same name. */
bool edit_set(json_t *root, const char *section, const json_t *item,
	      err_t *err);

/** Removes the item called @p name. */
bool edit_remove(json_t *root, const char *section, const char *name,
		 err_t *err);

/**
 * Gives the document its version and change id, moves the former change id
 * to the list of recent ones, and validates it.
 */
document_t *edit_finish(json_t *root, int64_t version, const char *change_id,
			err_t *err);

/** Whether @p change_id made this document or one of its recent versions. */
bool edit_contains_change(const json_t *root, const char *change_id);

#endif
