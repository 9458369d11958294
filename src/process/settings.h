/**
 * @file settings.h
 * Settings of one process, read from a YAML file.
 *
 * An unknown key, a wrong type or unit and a value out of range are errors
 * whose message names the file, the line and the key. Sizes and times are
 * written with their unit: 64MiB, 250ms, 5s.
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
/** Largest callers.tasks. */
enum { REQUEST_TASKS_MAX = 64 };

/** Codes of ERR_LAYER_SETTINGS. */
typedef enum {
	SETTINGS_ERR_FILE = 1, /**< the file cannot be read */
	SETTINGS_ERR_SYNTAX, /**< the file is not YAML, or has no sections */
	SETTINGS_ERR_KEY, /**< unknown, repeated or missing key, or a
			     certificate without its key */
	SETTINGS_ERR_VALUE /**< wrong type or unit, or out of range */
} settings_err_t;

/** The settings; each comment names the key as SECTION.KEY of the file. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES]; /**< vm.id */
	char data_centre[NAME_SIZE_BYTES]; /**< vm.data_centre */

	char caller_address[URL_SIZE_BYTES]; /**< callers.address */
	char caller_certificate[PATH_SIZE_BYTES]; /**< callers.certificate;
						     empty: plain HTTP */
	char caller_key[PATH_SIZE_BYTES]; /**< callers.key */
	int32_t request_tasks; /**< callers.tasks: threads that serve callers */
	int64_t memory_budget_bytes; /**< callers.memory: memory limit for the
					  requests of callers */
	int64_t body_max_bytes; /**< callers.body_max: longest request body */

	char operator_address[URL_SIZE_BYTES]; /**< operators.address */
	char operator_certificate[PATH_SIZE_BYTES]; /**< operators.certificate;
						       empty: plain HTTP */
	char operator_key[PATH_SIZE_BYTES]; /**< operators.key */
	char operator_token[NAME_SIZE_BYTES]; /**< operators.token: bearer token
					       of the operators */

	char peer_address[URL_SIZE_BYTES]; /**< peers.address */
	char peer_public_key[CURVE_KEY_SIZE_BYTES]; /**< peers.public_key */
	char peer_secret_key[CURVE_KEY_SIZE_BYTES]; /**< peers.secret_key */

	char platform_url[URL_SIZE_BYTES]; /**< platform.url */
	char platform_namespace[NAME_SIZE_BYTES]; /**< platform.namespace */
	char platform_token[NAME_SIZE_BYTES]; /**< platform.token */
	int64_t platform_timeout_ms; /**< platform.timeout: time limit of one
					call */
	int32_t platform_calls_per_s; /**< platform.calls_per_s */
	int32_t platform_claims_max; /**< platform.claims_max: most claims in
					the store; a claim records a call that
					runs at most once */

	char trace_url[URL_SIZE_BYTES]; /**< traces.url; empty: no export */
	log_level_t log_level; /**< log.level */
	log_format_t log_format; /**< log.format */
	char history_path[PATH_SIZE_BYTES]; /**< history.path: log of events for
					     tests; empty: none */

	route_policy_t route_policy; /**< routing.policy */
	int32_t queue_max; /**< routing.queue_max: most requests that wait for
			      a server */
	int64_t drain_notice_ms; /**< shutdown.notice: time from the
				    announcement of a shutdown until new
				    requests are refused */
	int64_t drain_max_ms; /**< shutdown.limit: longest shutdown */
} settings_t;

/**
 * Reads the settings of the daemon.
 * @param path YAML file
 * @param err set on failure, with the message `file:line: key: problem`; the
 *            line is left out if the problem is not in one line of the file
 * @return true if the file is valid
 */
bool settings_load(const char *path, settings_t *settings, err_t *err);

/**
 * Reads the settings of the command-line tool, like settings_load(). Only the
 * sections `platform` and `operators` must be complete; keys missing in other
 * sections are left zero.
 */
bool settings_load_tool(const char *path, settings_t *settings, err_t *err);

#endif
