/**
 * @file parse.h
 * Parses JSON objects into structs, as the field tables describe.
 */
#ifndef VERSION_PARSE_H
#define VERSION_PARSE_H

#include <jansson.h>

#include "base/err.h"
#include "version/fields.h"

/**
 * Parses one object into a zeroed struct. Absent keys get their default.
 * @param path   names the object in errors, for example `servers[2]`
 * @param target struct of section->item_size_bytes
 * @return false if a key is missing, unknown or has an invalid value
 */
bool parse_object(const json_t *json, const section_t *section,
		  const char *path, void *target, err_t *err);

/** Frees the lists of names that parse_object() allocated in a struct. */
void parse_clear(const section_t *section, void *target);

#endif
