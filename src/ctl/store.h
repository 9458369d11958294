/**
 * @file store.h
 * Blocking access to the configuration object in the platform.
 */
#ifndef CTL_STORE_H
#define CTL_STORE_H

#include <jansson.h>

#include "platform/client.h"
#include "ctl/ctl.h"

typedef struct store store_t;

store_t *store_create(const settings_t *settings, err_t *err);
void store_destroy(store_t *store);

/** What a call returned; free `spec` with json_decref(). */
typedef struct {
	platform_status_t status;
	int64_t version; /**< resourceVersion */
	json_t *spec; /**< NULL: none */
} store_result_t;

store_result_t store_get(store_t *store);

/** Creates the object if @p version is 0, else replaces that version. */
store_result_t store_put(store_t *store, int64_t version, json_t *spec);

/** Waits, for the pause between two attempts. */
void store_sleep(store_t *store, int64_t pause_ms);

/** @return why a call did not succeed, as text for a message. */
const char *store_status_text(platform_status_t status);

#endif
