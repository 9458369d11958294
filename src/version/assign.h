/**
 * @file assign.h
 * Applies `key=value` arguments to one item of a configuration document.
 */
#ifndef VERSION_ASSIGN_H
#define VERSION_ASSIGN_H

#include <jansson.h>

#include "base/err.h"
#include "version/fields.h"

/**
 * Sets one key of @p item from the text `key=value`. The names of a list are
 * separated by commas; an empty value removes the key. For accounts,
 * `key=SECRET` stores the hash of the secret.
 * @return false if the key is unknown or the value has the wrong type
 */
bool assign_value(json_t *item, const section_t *section, const char *text,
		  err_t *err);

#endif
