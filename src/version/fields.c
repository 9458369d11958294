#include "version/fields.h"

#include <string.h>

#include "version/document.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum {
	DAY_MS = 24 * 60 * 60 * 1000,
	REQUESTS_MAX = 100000,
	RTT_MAX_US = 10 * 1000 * 1000
};

static const char *const server_kinds[] = { "engine", "plain", NULL };
static const char *const fencings[] = { "enforced", "ignored", NULL };
static const char *const roles[] = { "both", "prefill", "decode", NULL };
static const char *const service_kinds[] = { "model", "plain", NULL };

#define AT(type, member) .offset_bytes = offsetof(type, member)

static const field_t data_centre_fields[] = {
	{ .key = "name",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(data_centre_conf_t, name),
	  .description = "Name." },
	{ .key = "retired",
	  .type = FIELD_BOOL,
	  AT(data_centre_conf_t, retired),
	  .description = "Receives no new requests." },
};

static const field_t distance_fields[] = {
	{ .key = "from",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(distance_conf_t, from),
	  .refers_to = "data_centres",
	  .description = "Data centre." },
	{ .key = "to",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(distance_conf_t, to),
	  .refers_to = "data_centres",
	  .description = "Another data centre." },
	{ .key = "rtt_us",
	  .type = FIELD_INT64,
	  .required = true,
	  AT(distance_conf_t, rtt_us),
	  .max = RTT_MAX_US,
	  .description = "Round-trip time in microseconds." },
};

static const field_t server_fields[] = {
	{ .key = "name",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(server_conf_t, name),
	  .description = "Name." },
	{ .key = "data_centre",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(server_conf_t, data_centre),
	  .refers_to = "data_centres",
	  .description = "Data centre of the server." },
	{ .key = "url",
	  .type = FIELD_URL,
	  .required = true,
	  AT(server_conf_t, url),
	  .description = "http://ADDRESS:PORT" },
	{ .key = "kind",
	  .type = FIELD_ENUM,
	  .required = true,
	  AT(server_conf_t, kind),
	  .values = server_kinds,
	  .description = "Model engine or plain service." },
	{ .key = "fencing",
	  .type = FIELD_ENUM,
	  AT(server_conf_t, fencing),
	  .values = fencings,
	  .initial = FENCING_IGNORED,
	  .description =
		  "Enforced: refuses orders with an old fencing token." },
	{ .key = "retired",
	  .type = FIELD_BOOL,
	  AT(server_conf_t, retired),
	  .description = "Receives no new requests." },
	{ .key = "kv_tokens",
	  .type = FIELD_INT64,
	  AT(server_conf_t, kv_tokens),
	  .max = TOKENS_MAX,
	  .description = "KV memory in tokens." },
	{ .key = "max_requests",
	  .type = FIELD_INT32,
	  AT(server_conf_t, max_requests),
	  .min = 1,
	  .max = REQUESTS_MAX,
	  .initial = 64,
	  .description = "Concurrent requests when warm." },
	{ .key = "cold_requests",
	  .type = FIELD_INT32,
	  AT(server_conf_t, cold_requests),
	  .min = 1,
	  .max = REQUESTS_MAX,
	  .initial = 1,
	  .description = "Concurrent requests when cold." },
	{ .key = "role",
	  .type = FIELD_ENUM,
	  AT(server_conf_t, role),
	  .values = roles,
	  .description = "Desired role of an engine." },
	{ .key = "model",
	  .type = FIELD_NAME,
	  AT(server_conf_t, model),
	  .description = "Desired model of an engine." },
};

static const field_t service_fields[] = {
	{ .key = "name",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(service_conf_t, name),
	  .description = "Name." },
	{ .key = "kind",
	  .type = FIELD_ENUM,
	  .required = true,
	  AT(service_conf_t, kind),
	  .values = service_kinds,
	  .description = "Model or plain service." },
	{ .key = "model",
	  .type = FIELD_NAME,
	  AT(service_conf_t, model),
	  .description = "Model of a model service." },
	{ .key = "class",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(service_conf_t, class_name),
	  .refers_to = "classes",
	  .description = "Class of requests that name no class." },
	{ .key = "repeatable",
	  .type = FIELD_BOOL,
	  AT(service_conf_t, repeatable),
	  .initial = 1,
	  .description = "False: each call runs at most once." },
	{ .key = "servers",
	  .type = FIELD_NAMES,
	  AT(service_conf_t, server_count),
	  .refers_to = "servers",
	  .description = "Servers of a plain service." },
};

static const field_t class_fields[] = {
	{ .key = "name",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(class_conf_t, name),
	  .description = "Name." },
	{ .key = "priority",
	  .type = FIELD_INT32,
	  AT(class_conf_t, priority),
	  .max = 100,
	  .initial = 50,
	  .description = "Requests of a higher priority go first." },
	{ .key = "ttft_ms",
	  .type = FIELD_INT64,
	  AT(class_conf_t, ttft_ms),
	  .min = 1,
	  .max = DAY_MS,
	  .initial = 780,
	  .description = "Objective for the time to first token in ms." },
	{ .key = "deadline_ms",
	  .type = FIELD_INT64,
	  .required = true,
	  AT(class_conf_t, deadline_ms),
	  .min = 1,
	  .max = DAY_MS,
	  .description = "Time limit of a request in ms." },
	{ .key = "stall_ms",
	  .type = FIELD_INT64,
	  AT(class_conf_t, stall_ms),
	  .min = 1,
	  .max = DAY_MS,
	  .initial = 30000,
	  .description = "Longest time without a read by the caller in ms." },
	{ .key = "server_idle_ms",
	  .type = FIELD_INT64,
	  AT(class_conf_t, server_idle_ms),
	  .min = 1,
	  .max = DAY_MS,
	  .initial = 60000,
	  .description = "Longest silence of a server in ms." },
};

static const field_t account_fields[] = {
	{ .key = "name",
	  .type = FIELD_NAME,
	  .required = true,
	  AT(account_conf_t, name),
	  .description = "Name." },
	{ .key = "key_hash",
	  .type = FIELD_HASH,
	  .required = true,
	  AT(account_conf_t, key_hash),
	  .description = "BLAKE2b-256 of the bearer key, hexadecimal." },
	{ .key = "weight",
	  .type = FIELD_INT32,
	  AT(account_conf_t, weight),
	  .min = 1,
	  .max = 1000,
	  .initial = 1,
	  .description = "Relative weight in the queue." },
	{ .key = "requests_per_s",
	  .type = FIELD_INT64,
	  AT(account_conf_t, requests_per_s),
	  .max = REQUESTS_MAX,
	  .description = "Requests per second on all nodes; 0: no limit." },
	{ .key = "max_in_flight",
	  .type = FIELD_INT32,
	  AT(account_conf_t, max_in_flight),
	  .max = REQUESTS_MAX,
	  .description = "Concurrent requests per node; 0: no limit." },
	{ .key = "classes",
	  .type = FIELD_NAMES,
	  AT(account_conf_t, class_count),
	  .refers_to = "classes",
	  .description = "Classes that a request may name." },
	{ .key = "services",
	  .type = FIELD_NAMES,
	  AT(account_conf_t, service_count),
	  .refers_to = "services",
	  .description = "Services of the account; missing: all." },
};

static const field_t limits_fields[] = {
	{ .key = "long_prompt_tokens",
	  .type = FIELD_INT64,
	  AT(limits_conf_t, long_prompt_tokens),
	  .min = 1,
	  .max = TOKENS_MAX,
	  .initial = 32000,
	  .description = "Prompts of more tokens use the long lane." },
	{ .key = "credit_block_tokens",
	  .type = FIELD_INT64,
	  AT(limits_conf_t, credit_block_tokens),
	  .min = 1,
	  .max = TOKENS_MAX,
	  .initial = 16000,
	  .description =
		  "KV tokens in a node's block of credits on a server." },
	{ .key = "weight_loads_max",
	  .type = FIELD_INT32,
	  AT(limits_conf_t, weight_loads_max),
	  .min = 1,
	  .max = 1000,
	  .initial = 2,
	  .description = "Weight loads in flight per data centre." },
	{ .key = "retry_percent",
	  .type = FIELD_INT32,
	  AT(limits_conf_t, retry_percent),
	  .max = 100,
	  .initial = 10,
	  .description = "Retries per 100 requests of a service." },
};

#define SECTION(name, table, type)                                             \
	{                                                                      \
		.key = (name), .fields = (table), .field_count = COUNT(table), \
		.item_size_bytes = sizeof(type)                                \
	}

const section_t sections[SECTION_COUNT] = {
	[SECTION_DATA_CENTRES] =
		SECTION("data_centres", data_centre_fields, data_centre_conf_t),
	[SECTION_DISTANCES] =
		SECTION("distances", distance_fields, distance_conf_t),
	[SECTION_SERVERS] = SECTION("servers", server_fields, server_conf_t),
	[SECTION_SERVICES] =
		SECTION("services", service_fields, service_conf_t),
	[SECTION_CLASSES] = SECTION("classes", class_fields, class_conf_t),
	[SECTION_ACCOUNTS] =
		SECTION("accounts", account_fields, account_conf_t),
};

const section_t limits_section =
	SECTION("limits", limits_fields, limits_conf_t);

const section_t *section_find(const char *key)
{
	size_t i;

	for (i = 0; i < SECTION_COUNT; i++)
		if (!strcmp(sections[i].key, key))
			return &sections[i];
	return NULL;
}
