/**
 * @file edit.h
 * Edits of the JSON form of a configuration document. Each function makes one
 * change without a check of the whole; edit_finish() sets the new version and
 * validates the document.
 *
 * Functions that return bool return false on failure, with @p err filled in.
 */
#ifndef VERSION_EDIT_H
#define VERSION_EDIT_H

#include <jansson.h>

#include "base/err.h"
#include "version/document.h"

/** Most ids in `recent_changes`: the size of a document is limited. */
enum { EDIT_RECENT_CHANGES_MAX = 32 };

/** @return the item called @p name in @p section, or NULL. */
const json_t *edit_find(const json_t *root, const char *section,
			const char *name);

/** Sets `retired` of the item called @p name in @p section to @p retired. */
bool edit_retire(json_t *root, const char *section, const char *name,
		 bool retired, err_t *err);

/** Adds a copy of @p item to @p section; replaces an item of the same name. */
bool edit_set(json_t *root, const char *section, const json_t *item,
	      err_t *err);

/** Removes the item called @p name from @p section. */
bool edit_remove(json_t *root, const char *section, const char *name,
		 err_t *err);

/**
 * Sets the version and the change id of the document, appends the previous
 * change id to `recent_changes`, and validates the document.
 * @return the parsed document, with one reference, or NULL with the error in
 *         @p err
 */
document_t *edit_finish(json_t *root, int64_t version, const char *change_id,
			err_t *err);

/**
 * @return true if @p change_id made this version of the document or one of the
 *         last EDIT_RECENT_CHANGES_MAX versions before
 */
bool edit_contains_change(const json_t *root, const char *change_id);

#endif
