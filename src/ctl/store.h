/**
 * @file store.h
 * Blocking access to the configuration object in the platform's store.
 */
#ifndef CTL_STORE_H
#define CTL_STORE_H

#include <jansson.h>

#include "platform/client.h"
#include "ctl/ctl.h"

typedef struct store store_t;

/** @return NULL with @p err if the HTTP client cannot be created */
store_t *store_create(const settings_t *settings, err_t *err);
void store_destroy(store_t *store);

/** Result of a call; the caller frees spec with json_decref(). */
typedef struct {
	platform_status_t status;
	int64_t version; /**< resourceVersion of the object; 0: no
			    object */
	json_t *spec; /**< the document; NULL: no object in the answer */
} store_result_t;

/** Reads the object. */
store_result_t store_get(store_t *store);

/**
 * Creates or replaces the object.
 * @param version resourceVersion to replace; 0: create the object
 */
store_result_t store_put(store_t *store, int64_t version, json_t *spec);

/** Blocks for @p pause_ms, the pause between two attempts. */
void store_sleep(store_t *store, int64_t pause_ms);

/** @return error message for a call that ended with @p status */
const char *store_status_text(platform_status_t status);

#endif
