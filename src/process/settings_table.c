#include "process/settings_table.h"

#include "process/settings.h"

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };
static const char *const formats[] = { "key-value", "json", NULL };
static const char *const policies[] = { "round-robin", "least-outstanding",
					"cost", "cost-lanes", NULL };

#define DAY_MS INT64_C(86400000)
/* Initializers of setting_t: offset and size of a member of settings_t. */
#define FIELD(member) \
	offsetof(settings_t, member), sizeof(((settings_t *)NULL)->member)

const setting_t settings_table[] = {
	{ "vm", "id", SETTING_TEXT, FIELD(vm_id), 1, 0, NULL, NULL },
	{ "vm", "data_centre", SETTING_TEXT, FIELD(data_centre), 1, 0, NULL,
	  NULL },
	{ "callers", "address", SETTING_ADDRESS, FIELD(caller_address), 0, 0,
	  NULL, NULL },
	{ "callers", "certificate", SETTING_TEXT, FIELD(caller_certificate), 0,
	  0, "", NULL },
	{ "callers", "key", SETTING_TEXT, FIELD(caller_key), 0, 0, "", NULL },
	{ "callers", "tasks", SETTING_INT32, FIELD(request_tasks), 1,
	  REQUEST_TASKS_MAX, "1", NULL },
	{ "callers", "memory", SETTING_SIZE_BYTES, FIELD(memory_budget_bytes),
	  MIB, 64 * GIB, "256MiB", NULL },
	{ "callers", "body_max", SETTING_SIZE_BYTES, FIELD(body_max_bytes), KIB,
	  GIB, "16MiB", NULL },
	{ "operators", "address", SETTING_ADDRESS, FIELD(operator_address), 0,
	  0, NULL, NULL },
	{ "operators", "certificate", SETTING_TEXT, FIELD(operator_certificate),
	  0, 0, "", NULL },
	{ "operators", "key", SETTING_TEXT, FIELD(operator_key), 0, 0, "",
	  NULL },
	{ "operators", "token", SETTING_TEXT, FIELD(operator_token), 8, 0, NULL,
	  NULL },
	{ "peers", "address", SETTING_ADDRESS, FIELD(peer_address), 0, 0, NULL,
	  NULL },
	{ "peers", "public_key", SETTING_TEXT, FIELD(peer_public_key), 40, 0,
	  NULL, NULL },
	{ "peers", "secret_key", SETTING_TEXT, FIELD(peer_secret_key), 40, 0,
	  NULL, NULL },
	{ "platform", "url", SETTING_TEXT, FIELD(platform_url), 1, 0, NULL,
	  NULL },
	{ "platform", "namespace", SETTING_TEXT, FIELD(platform_namespace), 1,
	  0, "default", NULL },
	{ "platform", "token", SETTING_TEXT, FIELD(platform_token), 0, 0, "",
	  NULL },
	{ "platform", "timeout", SETTING_DURATION_MS,
	  FIELD(platform_timeout_ms), 10, 60000, "1s", NULL },
	{ "platform", "calls_per_s", SETTING_INT32, FIELD(platform_calls_per_s),
	  1, 10000, "100", NULL },
	/* The claims of two days at one action per second, rounded up; claims
	 * are kept for one day. */
	{ "platform", "claims_max", SETTING_INT32, FIELD(platform_claims_max),
	  1, 100000000, "200000", NULL },
	{ "traces", "url", SETTING_TEXT, FIELD(trace_url), 0, 0, "", NULL },
	{ "log", "level", SETTING_ENUM, FIELD(log_level), 0, 0, "info",
	  levels },
	{ "log", "format", SETTING_ENUM, FIELD(log_format), 0, 0, "key-value",
	  formats },
	{ "history", "path", SETTING_TEXT, FIELD(history_path), 0, 0, "",
	  NULL },
	{ "routing", "policy", SETTING_ENUM, FIELD(route_policy), 0, 0,
	  "cost-lanes", policies },
	{ "routing", "queue_max", SETTING_INT32, FIELD(queue_max), 1, 1000000,
	  "10000", NULL },
	{ "shutdown", "notice", SETTING_DURATION_MS, FIELD(drain_notice_ms), 0,
	  DAY_MS, "5s", NULL },
	{ "shutdown", "limit", SETTING_DURATION_MS, FIELD(drain_max_ms), 0,
	  DAY_MS, "1h", NULL },
};

#define COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

_Static_assert(COUNT <= SETTINGS_MAX, "SETTINGS_MAX is too small");

const size_t settings_table_count = COUNT;
