/**
 * @file parse.h
 * Reads JSON objects into structs by field tables.
 */
#ifndef VERSION_PARSE_H
#define VERSION_PARSE_H

#include <jansson.h>

#include "base/err.h"
#include "version/fields.h"

/**
 * Reads one object into a zeroed struct.
 * @param path names the object in errors, for example `servers[2]`
 */
bool parse_object(const json_t *json, const section_t *section,
		  const char *path, void *target, err_t *err);

/** Frees what parse_object() allocated inside a struct. */
void parse_clear(const section_t *section, void *target);

#endif
