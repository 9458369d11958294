#include "process/settings_table.h"

#include "process/settings.h"

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };
static const char *const formats[] = { "key-value", "json", NULL };
static const char *const policies[] = { "round-robin", "least-outstanding",
					"cost", "cost-lanes", NULL };

#define DAY_MS INT64_C(86400000)
#define PLACE(member) \
	offsetof(settings_t, member), sizeof(((settings_t *)NULL)->member)

const setting_t settings_table[] = {
	{ "vm", "id", SETTING_TEXT, PLACE(vm_id), 1, 0, NULL, NULL },
	{ "vm", "data_centre", SETTING_TEXT, PLACE(data_centre), 1, 0, NULL,
	  NULL },
	{ "callers", "address", SETTING_ADDRESS, PLACE(caller_address), 0, 0,
	  NULL, NULL },
	{ "callers", "certificate", SETTING_TEXT, PLACE(caller_certificate), 0,
	  0, "", NULL },
	{ "callers", "key", SETTING_TEXT, PLACE(caller_key), 0, 0, "", NULL },
	{ "callers", "tasks", SETTING_INT32, PLACE(request_tasks), 1, 64, "1",
	  NULL },
	{ "callers", "memory", SETTING_SIZE_BYTES, PLACE(memory_budget_bytes),
	  MIB, 64 * GIB, "256MiB", NULL },
	{ "callers", "body_max", SETTING_SIZE_BYTES, PLACE(body_max_bytes), KIB,
	  GIB, "16MiB", NULL },
	{ "operators", "address", SETTING_ADDRESS, PLACE(operator_address), 0,
	  0, NULL, NULL },
	{ "operators", "certificate", SETTING_TEXT, PLACE(operator_certificate),
	  0, 0, "", NULL },
	{ "operators", "key", SETTING_TEXT, PLACE(operator_key), 0, 0, "",
	  NULL },
	{ "operators", "token", SETTING_TEXT, PLACE(operator_token), 8, 0, NULL,
	  NULL },
	{ "peers", "address", SETTING_ADDRESS, PLACE(peer_address), 0, 0, NULL,
	  NULL },
	{ "peers", "public_key", SETTING_TEXT, PLACE(peer_public_key), 40, 0,
	  NULL, NULL },
	{ "peers", "secret_key", SETTING_TEXT, PLACE(peer_secret_key), 40, 0,
	  NULL, NULL },
	{ "platform", "url", SETTING_TEXT, PLACE(platform_url), 1, 0, NULL,
	  NULL },
	{ "platform", "namespace", SETTING_TEXT, PLACE(platform_namespace), 1,
	  0, "default", NULL },
	{ "platform", "token", SETTING_TEXT, PLACE(platform_token), 0, 0, "",
	  NULL },
	{ "platform", "timeout", SETTING_DURATION_MS,
	  PLACE(platform_timeout_ms), 10, 60000, "1s", NULL },
	{ "platform", "calls_per_s", SETTING_INT32, PLACE(platform_calls_per_s),
	  1, 10000, "100", NULL },
	/* Two days of one order a second, of which a day is kept. */
	{ "platform", "claims_max", SETTING_INT32, PLACE(platform_claims_max),
	  1, 100000000, "200000", NULL },
	{ "traces", "url", SETTING_TEXT, PLACE(trace_url), 0, 0, "", NULL },
	{ "log", "level", SETTING_ENUM, PLACE(log_level), 0, 0, "info",
	  levels },
	{ "log", "format", SETTING_ENUM, PLACE(log_format), 0, 0, "key-value",
	  formats },
	{ "history", "path", SETTING_TEXT, PLACE(history_path), 0, 0, "",
	  NULL },
	{ "routing", "policy", SETTING_ENUM, PLACE(route_policy), 0, 0,
	  "cost-lanes", policies },
	{ "routing", "queue_max", SETTING_INT32, PLACE(queue_max), 1, 1000000,
	  "10000", NULL },
	{ "shutdown", "notice", SETTING_DURATION_MS, PLACE(drain_notice_ms), 0,
	  DAY_MS, "5s", NULL },
	{ "shutdown", "limit", SETTING_DURATION_MS, PLACE(drain_max_ms), 0,
	  DAY_MS, "1h", NULL },
};

#define COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

_Static_assert(COUNT <= SETTINGS_MAX, "SETTINGS_MAX is too small");

const size_t settings_table_count = COUNT;
