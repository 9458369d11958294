/**
 * @file settings.h
 * Settings of one process, read from a YAML file.
 *
 * Unknown keys, wrong types, units and ranges are refused with file, line
 * and key. Sizes are given with a unit (64MiB), times too (250ms, 5s).
 */
#ifndef PROCESS_SETTINGS_H
#define PROCESS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/log.h"
#include "base/units.h"
#include "process/dispatch.h"

enum { PATH_SIZE_BYTES = 512, CURVE_KEY_SIZE_BYTES = 41 };

/** Codes of ERR_LAYER_SETTINGS. */
typedef enum {
	SETTINGS_ERR_FILE = 1, /**< cannot be read */
	SETTINGS_ERR_SYNTAX, /**< not YAML */
	SETTINGS_ERR_KEY, /**< unknown, repeated or missing key */
	SETTINGS_ERR_VALUE /**< wrong type, unit or range */
} settings_err_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES]; /**< vm.id */
	char data_centre[NAME_SIZE_BYTES]; /**< vm.data_centre */

	char caller_address[URL_SIZE_BYTES]; /**< callers.address */
	char caller_certificate[PATH_SIZE_BYTES]; /**< callers.certificate */
	char caller_key[PATH_SIZE_BYTES]; /**< callers.key */
	int32_t request_tasks; /**< callers.tasks */
	int64_t memory_budget_bytes; /**< callers.memory */
	int64_t body_max_bytes; /**< callers.body_max */

	char operator_address[URL_SIZE_BYTES]; /**< operators.address */
	char operator_certificate[PATH_SIZE_BYTES];
	char operator_key[PATH_SIZE_BYTES];
	char operator_token[NAME_SIZE_BYTES]; /**< operators.token */

	char peer_address[URL_SIZE_BYTES]; /**< peers.address */
	char peer_public_key[CURVE_KEY_SIZE_BYTES]; /**< peers.public_key */
	char peer_secret_key[CURVE_KEY_SIZE_BYTES]; /**< peers.secret_key */

	char platform_url[URL_SIZE_BYTES]; /**< platform.url */
	char platform_namespace[NAME_SIZE_BYTES]; /**< platform.namespace */
	char platform_token[NAME_SIZE_BYTES]; /**< platform.token */
	int64_t platform_timeout_ms; /**< platform.timeout */
	int32_t platform_calls_per_s; /**< platform.calls_per_s */
	int32_t platform_claims_max; /**< platform.claims_max */

	char trace_url[URL_SIZE_BYTES]; /**< traces.url; empty: no export */
	log_level_t log_level; /**< log.level */
	log_format_t log_format; /**< log.format */
	char history_path[PATH_SIZE_BYTES]; /**< history.path; for tests */

	route_policy_t route_policy; /**< routing.policy */
	int32_t queue_max; /**< routing.queue_max */
	int64_t drain_notice_ms; /**< shutdown.notice */
	int64_t drain_max_ms; /**< shutdown.limit */
} settings_t;

/** Reads @p path; false with @p err filled in as `file:line: key: problem`. */
bool settings_load(const char *path, settings_t *settings, err_t *err);

/** The same for the tool, which needs only `platform` and `operators`. */
bool settings_load_tool(const char *path, settings_t *settings, err_t *err);

#endif
