/**
 * @file settings_table.h
 * Table of the keys that a settings file may contain.
 */
#ifndef PROCESS_SETTINGS_TABLE_H
#define PROCESS_SETTINGS_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
	SETTING_TEXT, /**< char array */
	SETTING_ADDRESS, /**< ADDRESS:PORT */
	SETTING_INT32, /**< number without a unit */
	SETTING_DURATION_MS, /**< int64_t; written with ms, s, min or h */
	SETTING_SIZE_BYTES, /**< int64_t; written with KiB, MiB or GiB */
	SETTING_ENUM /**< int: index of setting_t.values */
} setting_type_t;

/** One key of the settings file. */
typedef struct {
	const char *section;
	const char *key;
	setting_type_t type;
	size_t offset_bytes; /**< offset of the member in settings_t */
	size_t size_bytes; /**< size of the member; a text needs 1 for NUL */
	int64_t min; /**< least number, in ms, bytes or without a unit; for a
			text the shortest length */
	int64_t max; /**< greatest number; not used for texts */
	const char *default_text; /**< parsed like a value of the file; NULL:
				     the key is required */
	const char *const *values; /**< SETTING_ENUM: names of the values from
				      0, NULL-terminated; else NULL */
} setting_t;

#define KIB INT64_C(1024)
#define MIB (1024 * KIB)
#define GIB (1024 * MIB)

enum { SETTINGS_MAX = 64 /**< most keys in settings_table */ };

extern const setting_t settings_table[];
extern const size_t settings_table_count; /**< at most SETTINGS_MAX */

#endif
