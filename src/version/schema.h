/**
 * @file schema.h
 * JSON Schema of the configuration document, from the field tables.
 */
#ifndef VERSION_SCHEMA_H
#define VERSION_SCHEMA_H

#include <jansson.h>

/** @return a new JSON Schema (2020-12) of the document. */
json_t *schema_create(void);

#endif
