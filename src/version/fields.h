/**
 * @file fields.h
 * Tables of the fields of the configuration document, read by the parser, the
 * writer of the JSON Schema and the edits.
 */
#ifndef VERSION_FIELDS_H
#define VERSION_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
	FIELD_NAME, /**< char[NAME_SIZE_BYTES]; letters, digits, '-', '_' and
		       '.', but no leading '.' */
	FIELD_URL, /**< char[URL_SIZE_BYTES], http://ADDRESS:PORT */
	FIELD_BOOL, /**< bool */
	FIELD_INT32, /**< int32_t */
	FIELD_INT64, /**< int64_t */
	FIELD_ENUM, /**< an enum; the value is an index into `values` */
	FIELD_NAMES, /**< names_t */
	FIELD_HASH /**< uint8_t[KEY_HASH_SIZE_BYTES] as hexadecimal digits */
} field_type_t;

/** A list of names, as the structs of document.h lay it out. */
typedef struct {
	size_t count;
	char (*names)[64]; /**< array of buffers of NAME_SIZE_BYTES */
} names_t;

/** One key of a JSON object, and the struct member that holds its value. */
typedef struct {
	const char *key;
	field_type_t type;
	size_t offset_bytes; /**< offset of the member in the struct */
	bool required;
	int64_t min; /**< least allowed integer */
	int64_t max; /**< greatest allowed integer */
	int64_t initial; /**< value when the key is absent */
	const char *const *values; /**< FIELD_ENUM: names, NULL-terminated */
	const char *refers_to; /**< section that has the name; NULL: none */
	const char *description;
} field_t;

/** One array of objects of the document, or its `limits` object. */
typedef struct {
	const char *key;
	const field_t *fields;
	size_t field_count;
	size_t item_size_bytes; /**< size of the struct of one object */
} section_t;

typedef enum {
	SECTION_DATA_CENTRES,
	SECTION_DISTANCES,
	SECTION_SERVERS,
	SECTION_SERVICES,
	SECTION_CLASSES,
	SECTION_ACCOUNTS,
	SECTION_COUNT
} section_id_t;

/**
 * The arrays of the document. Names refer to objects of earlier sections,
 * except that services refer to classes.
 */
extern const section_t sections[SECTION_COUNT];

/** The `limits` object. */
extern const section_t limits_section;

/** @return the section with this key, or NULL. */
const section_t *section_find(const char *key);

#endif
