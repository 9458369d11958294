/**
 * @file platform_codec.h
 * Wire format of the platform: URLs, objects, watch lines, VM list. No I/O.
 */
#ifndef CONNECTION_PLATFORM_CODEC_H
#define CONNECTION_PLATFORM_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "connection/platform.h"

/** Codes of ERR_LAYER_PLATFORM. */
typedef enum {
	PLATFORM_ERR_MALFORMED = 1 /**< an answer lacks the expected form */
} platform_err_t;

typedef enum {
	PLATFORM_CALL_READ,
	PLATFORM_CALL_CREATE,
	PLATFORM_CALL_WRITE,
	PLATFORM_CALL_DELETE, /**< answered without an object */
	PLATFORM_CALL_WATCH,
	PLATFORM_CALL_LIST,
	PLATFORM_CALL_VMS
} platform_call_type_t;

enum { PLATFORM_URL_SIZE_BYTES = 3072 };

/** Writes the URL of an object; false if it does not fit. */
bool platform_url(char url[PLATFORM_URL_SIZE_BYTES],
		  const platform_conf_t *conf, const char *kind,
		  const char *name);

/** @return the path element of a kind. */
const char *platform_kind_text(platform_kind_t kind);

/** Maps the end of a call and its HTTP status. */
platform_status_t platform_status(platform_call_type_t type, client_end_t end,
				  int http_status);

/**
 * Reads an object.
 * @return the JSON that @p object borrows from, or NULL with @p err
 */
json_t *platform_parse_object(const char *text, size_t size,
			      platform_object_t *object, err_t *err);

/**
 * Reads one line of a watch; PLATFORM_UNKNOWN if it is malformed. A bookmark
 * has version 0.
 */
platform_status_t platform_parse_event(const char *line, size_t size,
				       json_t **root,
				       platform_object_t *object);

/**
 * Reads a page of a list; the caller frees the result.
 * @param root what the objects borrow from
 * @param next where the next page starts, of PLATFORM_NEXT_SIZE_BYTES
 */
platform_object_t *platform_parse_list(const char *text, size_t size,
				       json_t **root, size_t *count, char *next,
				       err_t *err);

/** Reads the VM list; the caller frees the result. NULL with @p err. */
platform_vm_t *platform_parse_vms(const char *text, size_t size, size_t *count,
				  err_t *err);

/** @return an object as text; the caller frees it. */
char *platform_format_object(const char *name, int64_t version,
			     const json_t *spec);

#endif
