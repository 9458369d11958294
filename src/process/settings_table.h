/**
 * @file settings_table.h
 * Table of the keys that a settings file may hold.
 */
#ifndef PROCESS_SETTINGS_TABLE_H
#define PROCESS_SETTINGS_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
	SETTING_TEXT,
	SETTING_ADDRESS, /**< ADDRESS:PORT */
	SETTING_INT32,
	SETTING_DURATION_MS,
	SETTING_SIZE_BYTES,
	SETTING_ENUM
} setting_type_t;

/** One key; `initial` is read like a given value, NULL means required. */
typedef struct {
	const char *section;
	const char *key;
	setting_type_t type;
	size_t offset_bytes;
	size_t size_bytes;
	int64_t min;
	int64_t max;
	const char *initial;
	const char *const *values; /**< SETTING_ENUM, NULL-terminated */
} setting_t;

#define KIB INT64_C(1024)
#define MIB (1024 * KIB)
#define GIB (1024 * MIB)

enum { SETTINGS_MAX = 64 };

extern const setting_t settings_table[];
extern const size_t settings_table_count; /**< at most SETTINGS_MAX */

#endif
