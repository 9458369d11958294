/**
 * @file schema.h
 * JSON Schema of the configuration document, made from the field tables.
 */
#ifndef VERSION_SCHEMA_H
#define VERSION_SCHEMA_H

#include <jansson.h>

/** @return a new JSON Schema (draft 2020-12), which the caller releases. */
json_t *schema_create(void);

#endif
