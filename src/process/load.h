/**
 * @file load.h
 * Load report of a backend server, as parsed by the adapter of its API.
 */
#ifndef PROCESS_LOAD_H
#define PROCESS_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"
#include "version/document.h"

enum { LOAD_MODELS_MAX = 8 };

/** Load of one server at one time. */
typedef struct {
	char server[NAME_SIZE_BYTES];
	uint64_t incarnation; /**< changes when the server restarts */
	bool cold; /**< the server reports that it needs a slow start */
	int64_t kv_total_tokens;
	int64_t kv_used_tokens;
	int32_t running; /**< requests */
	int32_t queued; /**< requests */
	int64_t prefill_queued_tokens; /**< tokens to prefill in queued and
					  running prompts */
	int64_t prefill_tokens_per_s;
	server_role_t role;
	bool shares_kv; /**< can hold a prompt with other servers */
	int32_t model_count;
	char models[LOAD_MODELS_MAX][NAME_SIZE_BYTES];
	int64_t taken_us; /**< when the server measured the load */
	int64_t received_us; /**< when the report reached this node */
} load_report_t;

#endif
