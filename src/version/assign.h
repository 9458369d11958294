/**
 * @file assign.h
 * `key=value` arguments as edits of one item of a document.
 */
#ifndef VERSION_ASSIGN_H
#define VERSION_ASSIGN_H

#include <jansson.h>

#include "base/err.h"
#include "version/fields.h"

/**
 * Sets one key of @p item from the text `key=value`. Lists are separated by
 * commas, an empty value removes the key. For accounts, `key=SECRET` stores
 * the hash of the secret.
 */
bool assign_value(json_t *item, const section_t *section, const char *text,
		  err_t *err);

#endif
