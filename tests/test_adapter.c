/**
 * Tests of decoding what the platform sends: settings, the routing
 * configuration, entries of servers, and headers of answers.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cases.h"
#include "base/mem.h"
#include "platform/codec.h"
#include "platform/config.h"
#include "platform/headers.h"
#include "platform/orders.h"
#include "platform/settings.h"
#include "process/placement.h"
#include "request/hop_headers.h"

#define SETTINGS                                                      \
	"node=front-a-1\nrole=gateway\nip=10.0.0.1\nzone=a\n"         \
	"bind.front=10.0.0.1:8227\nbind.ready=10.0.0.1:8220\n"        \
	"portRange=7340,7355\nplatform.address=10.9.1.7:8223\n"       \
	"limits.memoryMb=260\ncontractParams.revokeMs=5000\n"         \
	"contractParams.strictRevoke=true\ncontractParams.graceS=8\n" \
	"contractParams.budgetRatio=0.2\nregion=r1\n"                 \
	"zones.a=r1\nzones.b=r1\nzones.c=r2\n"

#define TEN "1111111111"
#define HUNDRED TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN
#define LONG_VALUE                                                      \
	HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED \
		HUNDRED HUNDRED HUNDRED

/* Guards against load control where servers state their rates, or where the
 * settings do not say whether they do. */
static void controls_load_where_servers_state_no_rates(void **state)
{
	static const struct {
		const char *guards_against, *text;
		bool controls_load;
	} cases[] = {
		{ "a default that changes deployments", SETTINGS, false },
		{ "contracts that are not read",
		  SETTINGS "contracts=base,engine,stream\n", true },
		{ "one contract of several",
		  SETTINGS "contracts=base,pressure,stream\n", false },
		{ "the last contract", SETTINGS "contracts=base,pressure\n",
		  false },
		{ "a name that contains the one that is wanted",
		  SETTINGS "contracts=pressures,backpressure\n", true },
	};
	node_settings_t settings;
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		assert_true(platform_settings_parse("f", cases[i].text,
						    &settings, NULL));
		if (settings.controls_load != cases[i].controls_load)
			fail_msg("case \"%s\"", cases[i].guards_against);
	}
	assert_int_equal(settings.traffic_price_us_per_mb, 0);
	assert_true(platform_settings_parse(
		"f", SETTINGS "traffic.priceMsPerMb=3\n", &settings, NULL));
	assert_int_equal(settings.traffic_price_us_per_mb, 3000);
}

/*
 * Guards against settings that are misread, and against a file that the
 * platform writes being refused.
 */
static void parses_settings(void **state)
{
	static const struct {
		const char *guards_against, *text, *error; /* NULL: valid */
	} cases[] = {
		{ "valid settings that are refused", SETTINGS, NULL },
		{ "a refusal of keys that the platform adds",
		  SETTINGS "new.key=1\n", NULL },
		{ "a missing key", "node=a\n", "f: zone: missing" },
		{ "a key that is the end of another", "xnode=a\nzone=a\n",
		  "f: node: missing" },
		{ "a number with text as its value",
		  SETTINGS "contractParams.drainMs=x\nlimits.maxFds=many\n",
		  "f: limits.maxFds: cannot use \"many\"" },
		{ "a negative number", SETTINGS "limits.maxFds=-1\n",
		  "f: limits.maxFds" },
		{ "an empty name", "node=\nzone=a\n", "f: node: " },
		{ "a value that is too long and counts as missing",
		  SETTINGS "contractParams.drainMs=" LONG_VALUE "\n",
		  "f: contractParams.drainMs: too long" },
	};
	node_settings_t settings;
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		err_t err = { 0 };
		bool valid = platform_settings_parse("f", cases[i].text,
						     &settings, &err);

		if (valid != !cases[i].error ||
		    (!valid && !strstr(err.message, cases[i].error)))
			fail_msg("case \"%s\": %d %s", cases[i].guards_against,
				 valid, err.message);
	}
	platform_settings_parse("f", SETTINGS, &settings, NULL);
	assert_string_equal(settings.node_id, "front-a-1");
	assert_string_equal(settings.platform_url, "http://10.9.1.7:8223");
	assert_string_equal(settings.peer_address, "10.0.0.1:7340");
	assert_int_equal(settings.memory_limit_bytes, 260 * 1024 * 1024);
	assert_int_equal(settings.stop_ms, 8000);
	assert_true(settings.keys_expire);
	assert_int_equal(settings.region.count, 2);
	assert_int_equal(region_find(&settings.region, "a"), 0);
	assert_int_equal(region_find(&settings.region, "b"), 1);
	assert_int_equal(region_find(&settings.region, "c"), 2);
	assert_true(settings.retry_ratio > 0.19 && settings.retry_ratio < 0.21);
}

#define ROUTE(name, host, prefix, extra)                             \
	"{\"name\":\"" name "\",\"host\":\"" host                    \
	"\",\"pathPrefix\":\"" prefix "\",\"kind\":\"stream\","      \
	"\"timeoutMs\":9000,\"targetLatencyMs\":300,\"attempts\":2," \
	"\"service\":\"s\"" extra "}"

#define SHORT_ROUTE                                                           \
	"{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\","              \
	"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":150," \
	"\"service\":\"s\",\"priority\":1}"

#define CONFIG(routes)                                                  \
	"{\"version\":7,\"routes\":[" routes "],\"services\":["         \
	"{\"name\":\"s\",\"maxConns\":9,\"coldS\":3.0,\"coldPerS\":36," \
	"\"engine\":{\"concurrencyLimit\":16,\"kvCapacity\":405000,"    \
	"\"stride\":34,\"step_ms\":1.31,\"read_per_s\":154000.0,"       \
	"\"pairs_per_m\":0.162,\"context_per_k\":0.00213,"              \
	"\"chunk\":2048,\"usual\":{\"prompt\":11323,\"answer\":1266}}}" \
	"],\"limits\":{\"bodyBytes\":1000},\"tenants\":[{\"name\":"     \
	"\"t1\",\"keys\":[\"k1\",\"k2\"],\"priority\":3},"              \
	"{\"name\":\"t2\",\"keys\":[\"k3\"]}]}"

static routing_t *decode(const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	routing_t *routing;

	assert_non_null(json);
	routing = platform_decode_routing(json, NULL);
	json_decref(json);
	return routing;
}

/* Guards against a file whose end is ignored because the file is too long. */
static void refuses_a_long_settings_file(void **state)
{
	enum { LINES = 30000 };
	char path[] = "/tmp/test_adapter_XXXXXX";
	node_settings_t settings;
	err_t err = { 0 };
	int fd = mkstemp(path), i;
	FILE *file = fdopen(fd, "w");
	bool valid;

	fputs(SETTINGS, file);
	for (i = 0; i < LINES; i++)
		fputs("some.key=1\n", file);
	fclose(file);
	valid = platform_settings_load(path, &settings, &err);
	unlink(path);
	assert_false(valid);
	assert_non_null(strstr(err.message, "too long"));
}

/* Guards against requests that are sent by the wrong route. */
static void finds_routes(void **state)
{
	static const struct {
		const char *guards_against, *host, *path, *expected;
	} cases[] = {
		{ "a prefix that does not match", "h", "/a/x", "short" },
		{ "a shorter prefix that wins", "h", "/a/b/x", "long" },
		{ "a prefix that ends inside a name", "h", "/a/bc", "short" },
		{ "a query taken for the path", "h", "/a/x?y=/a/b/", "short" },
		{ "a route of another host", "other", "/a/x", "other" },
		{ "a port in the host", "h:80", "/a/x", "short" },
		{ "capitals in the host", "H", "/a/x", "short" },
		{ "a route of an IPv6 address", "[::1]", "/a/x", "address" },
		{ "a port after an IPv6 address", "[::1]:80", "/a/x",
		  "address" },
		{ "another IPv6 address", "[::2]:80", "/a/x", NULL },
		{ "an IPv6 address without its end", "[::1", "/a/x", NULL },
		{ "a path outside of all prefixes", "h", "/b/", NULL },
		{ "the prefix without its slash", "h", "/a", NULL },
		{ "an unknown host", "none", "/a/x", NULL },
	};
	routing_t *routing =
		decode(CONFIG(ROUTE("address", "[::1]", "/a/", "") "," ROUTE(
			"short", "h", "/a/",
			"") "," ROUTE("long", "h", "/a/b/",
				      "") "," ROUTE("other", "other", "/a/",
						    "")));
	size_t i;

	assert_non_null(routing);
	for (i = 0; i < COUNT_OF(cases); i++) {
		const route_conf_t *route =
			routing_find(routing, cases[i].host, cases[i].path);

		if ((!route) != !cases[i].expected ||
		    (route && strcmp(route->name, cases[i].expected) != 0))
			fail_msg("case \"%s\": %s", cases[i].guards_against,
				 route ? route->name : "none");
	}
	routing_unref(routing);
}

/* Guards against kinds of requests that count as more or less urgent than they
 * are. */
static void finds_most_urgent_kind_of_a_service(void **state)
{
	static const struct {
		const char *guards_against, *config;
		int32_t first;
		int64_t target_ms; /* of the shortest objective */
	} cases[] = {
		{ "a shorter objective that does not count",
		  CONFIG(ROUTE("a", "h", "/a/",
			       ",\"priority\":1") "," SHORT_ROUTE),
		  1, 150 },
		{ "a longer objective that does",
		  CONFIG(SHORT_ROUTE
			 "," ROUTE("c", "h", "/c/", ",\"priority\":1")),
		  1, 150 },
		{ "a route whose priority is not counted",
		  CONFIG(ROUTE("a", "h", "/a/", ",\"priority\":2") "," ROUTE(
			  "b", "h", "/b/", ",\"priority\":1")),
		  1, 300 },
		{ "a less urgent route that counts, as it comes last",
		  CONFIG(ROUTE("a", "h", "/a/", ",\"priority\":1") "," ROUTE(
			  "b", "h", "/b/", ",\"priority\":2")),
		  1, 300 },
		{ "the priority of an account that counts as one of a kind",
		  CONFIG(ROUTE("a", "h", "/a/", ",\"priority\":5")), 5, 300 },
		{ "a route to another service that counts",
		  CONFIG(ROUTE(
			  "a", "h", "/a/",
			  ",\"priority\":2") ","
					     "{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":"
					     "\"/b/\",\"service\":\"other\",\"priority\":0,"
					     "\"kind\":\"idempotent\",\"timeoutMs\":1000,"
					     "\"targetLatencyMs\":100}"),
		  2, 300 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		routing_t *routing = decode(cases[i].config);

		assert_non_null(routing);
		if (routing_first_priority(routing, "s") != cases[i].first ||
		    routing_shortest_target_ms(routing, "s") !=
			    cases[i].target_ms)
			fail_msg("case \"%s\": %d, %" PRId64 " ms",
				 cases[i].guards_against,
				 routing_first_priority(routing, "s"),
				 routing_shortest_target_ms(routing, "s"));
		assert_int_equal(routing_first_priority(routing, "none"), 0);
		assert_int_equal(routing_shortest_target_ms(routing, "none"),
				 0);
		routing_unref(routing);
	}
}

/* Guards against priorities whose difference overflows. */
static void bounds_ranks(void **state)
{
	routing_t *routing = decode(CONFIG(
		ROUTE("a", "h", "/a/",
		      ",\"priority\":-9999999999") "," ROUTE("b", "h", "/b/",
							     ",\"priority\":"
							     "9999999999")));

	assert_non_null(routing);
	assert_int_equal(routing_ranks_below(routing,
					     routing_find(routing, "h", "/b/x"),
					     "s"),
			 ROUTING_RANKS_MAX);
	assert_int_equal(routing_ranks_below(routing,
					     routing_find(routing, "h", "/a/x"),
					     "s"),
			 0);
	routing_unref(routing);
}

/* Guards against keys that are ignored or misread, and against wrong units. */
static void decodes_routing(void **state)
{
	routing_t *routing = decode(CONFIG(
		ROUTE("r", "h", "/a/",
		      ",\"public\":true,\"resumable\":true,\"gapAimMs\":250")));
	const route_conf_t *route = routing_find(routing, "h", "/a/");
	const service_conf_t *found = routing_service(routing, "s");

	assert_int_equal(routing_version(routing), 7);
	assert_int_equal(route->kind, CALL_STREAM);
	assert_int_equal(route->timeout_ms, 9000);
	assert_int_equal(route->event_gap_target_ms, 250);
	assert_true(route->is_public && route->is_resumable);
	assert_int_equal(routing_limits(routing)->body_bytes, 1000);
	assert_true(found->engine.present);
	assert_int_equal(found->cold_ms, 3000);
	/* Prefill of 154,000 tokens a second, and 0.162 ms for 1,000,000
	 * pairs of tokens. */
	assert_true(found->engine.prefill_token_us > 6.49 &&
		    found->engine.prefill_token_us < 6.5);
	assert_true(found->engine.prefill_pair_us > 0.000161 &&
		    found->engine.prefill_pair_us < 0.000163);
	assert_string_equal(routing_account(routing, "k2")->name, "t1");
	assert_int_equal(routing_account(routing, "k2")->priority, 3);
	assert_int_equal(routing_account(routing, "k3")->priority, -1);
	assert_null(routing_account(routing, "k"));
	assert_null(routing_account(routing, ""));
	assert_null(routing_service(routing, "none"));
	routing_unref(routing);
}

/* Guards against numbers that another writer puts far out of range, and that
 * become others when they are converted. */
static void bounds_numbers(void **state)
{
	static const struct {
		const char *number;
		int64_t timeout_ms;
		int32_t attempts;
	} cases[] = {
		{ "1e300", INT64_C(1) << 53, INT32_MAX },
		{ "-1e300", -(INT64_C(1) << 53), INT32_MIN },
		{ "4294967298", 4294967298, INT32_MAX },
		{ "-4294967295", -4294967295, INT32_MIN },
		{ "2.9", 2, 2 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char text[400];
		routing_t *routing;
		const route_conf_t *route;

		snprintf(text, sizeof(text),
			 "{\"version\":1,\"routes\":[{\"host\":\"h\","
			 "\"pathPrefix\":\"/\",\"kind\":\"stream\","
			 "\"service\":\"s\",\"timeoutMs\":%s,"
			 "\"attempts\":%s}]}",
			 cases[i].number, cases[i].number);
		routing = decode(text);
		assert_non_null(routing);
		route = routing_find(routing, "h", "/");
		if (route->timeout_ms != cases[i].timeout_ms ||
		    route->attempts_max != cases[i].attempts)
			fail_msg("%s: %lld, %d", cases[i].number,
				 (long long)route->timeout_ms,
				 route->attempts_max);
		routing_unref(routing);
	}
}

/* Guards against numbers of an engine with which times, and sums of tokens,
 * become other numbers when they are converted: a request would be placed by
 * them, or never. */
static void numbers_of_an_engine_overflow(void **state)
{
	static const char *const numbers[] = {
		"1e300",   "-1e300", "1e-300", "9007199254740993",
		"1000000", "0",	     "-1",     "9223372036854775807",
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(numbers) * COUNT_OF(numbers); i++) {
		const char *number = numbers[i % COUNT_OF(numbers)];
		const char *other = numbers[i / COUNT_OF(numbers)];
		candidate_t candidates[3];
		placement_query_t query = { .output_tokens = TOKENS_MAX,
					    .prompt_tokens = TOKENS_MAX,
					    .objective_us = US_PER_S,
					    .target_us = US_PER_S,
					    .limit_us = 10 * US_PER_S,
					    .may_refuse = true,
					    .nodes = 3 };
		placement_t placement;
		char text[900];
		routing_t *routing;
		const service_conf_t *service;

		snprintf(text, sizeof(text),
			 "{\"version\":1,\"routes\":[],\"services\":[{"
			 "\"name\":\"m\",\"coldS\":%s,\"coldPerS\":%s,"
			 "\"scale\":{\"startupS\":%s},\"engine\":{"
			 "\"kvCapacity\":%s,\"stride\":%s,\"chunk\":%s,"
			 "\"step_ms\":%s,\"per_seq_ms\":%s,"
			 "\"context_per_k\":%s,\"read_per_s\":%s,"
			 "\"pairs_per_m\":%s,\"usual\":{\"prompt\":%s,"
			 "\"answer\":%s}}}]}",
			 number, other, number, other, number, other, number,
			 other, number, other, number, other, number);
		routing = decode(text);
		assert_non_null(routing);
		service = routing_service(routing, "m");
		assert_in_range(service->engine.kv_capacity_tokens, 0,
				TOKENS_MAX);
		if (service->engine.present)
			query.engine = &service->engine;
		for (j = 0; j < COUNT_OF(candidates); j++)
			candidates[j] = (candidate_t){
				.order = (uint32_t)j,
				.load = { .decoding = 3, .prefilling = 1 },
				.slots = 8,
				.kv_capacity_tokens =
					service->engine.kv_capacity_tokens,
				.slowdown = 1
			};
		if (placement_choose(candidates, COUNT_OF(candidates), &query,
				     &placement) == PLACEMENT_CHOSEN)
			assert_in_range(placement.first_event_us, 0,
					query.limit_us);
		query.prompt_tokens = 1;
		query.output_tokens = 1;
		placement_choose(candidates, COUNT_OF(candidates), &query,
				 &placement);
		routing_unref(routing);
	}
}

/* Guards against a malformed configuration that comes into force. */
static void refuses_malformed_routing(void **state)
{
	static const struct {
		const char *guards_against, *text;
	} cases[] = {
		{ "a configuration without a version", "{\"routes\":[]}" },
		{ "a configuration without routes", "{\"version\":1}" },
		{ "an unknown kind",
		  "{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":"
		  "\"/\",\"kind\":\"once\",\"service\":\"s\"}]}" },
		{ "a route without a service",
		  "{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":"
		  "\"/\",\"kind\":\"stream\"}]}" },
		{ "a key that is not a string",
		  "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"t\","
		  "\"keys\":[7]}]}" },
		{ "accounts that are no list",
		  "{\"version\":1,\"routes\":[],\"tenants\":{}}" },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++)
		if (decode(cases[i].text))
			fail_msg("case \"%s\"", cases[i].guards_against);
}

/* Guards against routes that are open to all once the last account is gone. */
static void needs_keys_if_accounts_are_listed(void **state)
{
	static const struct {
		const char *accounts;
		bool needs_keys;
	} cases[] = {
		{ "", false },
		{ ",\"tenants\":null", true },
		{ ",\"tenants\":[]", true },
		{ ",\"tenants\":[{\"name\":\"t\",\"keys\":[]}]", true },
		{ ",\"tenants\":[{\"name\":\"t\",\"keys\":[\"k\"]}]", true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char text[128];
		routing_t *routing;

		snprintf(text, sizeof(text), "{\"version\":1,\"routes\":[]%s}",
			 cases[i].accounts);
		routing = decode(text);
		assert_non_null(routing);
		if (routing_needs_keys(routing) != cases[i].needs_keys)
			fail_msg("case %zu: %s", i, text);
		routing_unref(routing);
	}
}

/* Guards against requests that are not split by the weights of a route. */
static void splits_by_weight(void **state)
{
	routing_t *routing = decode(
		"{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/"
		"\",\"kind\":\"idempotent\",\"backends\":[{\"service\":\"a\","
		"\"weight\":90},{\"service\":\"b\",\"weight\":10}]}]}");
	const route_conf_t *route = routing_find(routing, "h", "/");
	int b = 0;
	uint64_t i;

	for (i = 0; i < 1000; i++)
		b += !strcmp(routing_target(route, i), "b");
	assert_int_equal(b, 100);
	routing_unref(routing);
}

#define ENTRY(slots, address, state)                                 \
	"{\"service\":\"s\",\"address\":" address ",\"zone\":\"a\"," \
	"\"concurrencyLimit\":" slots ",\"state\":" state            \
	",\"version\":\"v1\",\"seq\":3,\"coldLeftMs\":1500,\"born\":1700000000000}"

/*
 * Guards against a usable server that is ignored, and against a malformed entry
 * that is used.
 */
static void decodes_servers(void **state)
{
	static const struct {
		const char *guards_against, *text;
		bool usable;
	} cases[] = {
		{ "a ready server that is ignored",
		  ENTRY("16", "\"10.0.0.9:80\"", "\"ready\""), true },
		{ "a draining server that is ignored",
		  ENTRY("16", "\"10.0.0.9:80\"", "\"draining\""), true },
		{ "an unknown state", ENTRY("16", "\"10.0.0.9:80\"", "\"up\""),
		  false },
		{ "an address that is a number", ENTRY("16", "7", "\"ready\""),
		  false },
		{ "an address without a port",
		  ENTRY("16", "\"10.0.0.9\"", "\"ready\""), false },
		{ "slots that are a string",
		  ENTRY("\"16\"", "\"10.0.0.9:80\"", "\"ready\""), false },
		{ "no slots", ENTRY("0", "\"10.0.0.9:80\"", "\"ready\""),
		  false },
		{ "a port out of range",
		  ENTRY("16", "\"10.0.0.9:65536\"", "\"ready\""), false },
		{ "a port far out of range",
		  ENTRY("16", "\"10.0.0.9:99999999999\"", "\"ready\""), false },
		{ "port 0", ENTRY("16", "\"10.0.0.9:0\"", "\"ready\""), false },
		{ "a negative port",
		  ENTRY("16", "\"10.0.0.9:-80\"", "\"ready\""), false },
		{ "an address that is no address",
		  ENTRY("16", "\"10.0.0.999:80\"", "\"ready\""), false },
		{ "more slots than a server has",
		  ENTRY("2000000000", "\"10.0.0.9:80\"", "\"ready\""), false },
		{ "a time that overflows",
		  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
		  "\"zone\":\"a\",\"concurrencyLimit\":16,"
		  "\"state\":\"ready\",\"version\":\"v1\",\"seq\":3,\"coldLeftMs\":1e300}",
		  false },
		{ "an entry that is not an object", "\"bytes\"", false },
		{ "an empty entry", "{}", false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		platform_object_t object = { .name = "i-1" };
		backend_entry_t entry;
		bool usable;

		object.spec = json_loads(cases[i].text, JSON_DECODE_ANY, NULL);
		usable = platform_decode_server(&object, &entry);
		if (usable != cases[i].usable)
			fail_msg("case \"%s\"", cases[i].guards_against);
		if (usable) {
			assert_string_equal(entry.id, "i-1");
			assert_int_equal(entry.cold_left_ms, 1500);
			assert_int_equal(entry.born_ms, 1700000000000);
		}
		json_decref(object.spec);
	}
}

/* Guards against a server that is put into use by an entry of another program,
 * which lacks what the server says, or says it in another type. */
static void entry_that_lacks_a_field_names_no_server(void **state)
{
	static const char *const fields[] = {
		"service", "address", "zone", "version",    "concurrencyLimit",
		"state",   "seq",     "born", "coldLeftMs",
	};
	static const char *const odd[] = { NULL, "null", "[]", "{}", "true" };
	size_t i, j;

	for (i = 0; i < COUNT_OF(fields) * COUNT_OF(odd); i++) {
		const char *field = fields[i / COUNT_OF(odd)];
		json_t *spec = json_loads(
			ENTRY("16", "\"10.0.0.9:80\"", "\"ready\""), 0, NULL);
		platform_object_t object = { .name = "i-1", .spec = spec };
		backend_entry_t entry;
		bool is_usable;

		j = i % COUNT_OF(odd);
		assert_non_null(json_object_get(spec, field));
		if (odd[j])
			json_object_set_new(spec, field,
					    json_loads(odd[j], JSON_DECODE_ANY,
						       NULL));
		else
			json_object_del(spec, field);
		is_usable = platform_decode_server(&object, &entry);
		/* Some servers do not state their start. */
		if (is_usable != (!odd[j] && !strcmp(field, "born")))
			fail_msg("%s: %s", field, odd[j] ? odd[j] : "absent");
		json_decref(spec);
	}
}

/* Guards against a configuration that opens routes, or lifts limits, by what it
 * lacks or says in another type. */
static void field_that_cannot_be_read_opens_nothing(void **state)
{
#define ROUTE_WITH(more)                                             \
	"\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":" \
	"\"idempotent\"" more "}]"
#define SERVICE_WITH(more) \
	"\"routes\":[],\"services\":[{\"name\":\"s\"" more "}]"
	static const struct {
		const char *text;
		bool is_valid;
	} cases[] = {
		{ ROUTE_WITH(",\"service\":\"a\""), true },
		{ ROUTE_WITH(""), false },
		{ ROUTE_WITH(",\"service\":null"), false },
		{ ROUTE_WITH(",\"service\":7"), false },
		{ ROUTE_WITH(",\"service\":\"a\",\"backends\":null"), true },
		{ ROUTE_WITH(",\"service\":\"a\",\"backends\":{}"), false },
		{ ROUTE_WITH(",\"service\":\"a\",\"backends\":[]"), false },
		{ ROUTE_WITH(",\"backends\":[{\"service\":\"a\"}]"), true },
		{ ROUTE_WITH(",\"backends\":[{\"service\":\"a\","
			     "\"weight\":\"0\"}]"),
		  false },
		{ ROUTE_WITH(",\"backends\":[{\"service\":\"a\","
			     "\"weight\":null}]"),
		  false },
		{ SERVICE_WITH(",\"maxConns\":4,\"coldPerS\":1,\"coldS\":2"),
		  true },
		{ SERVICE_WITH(",\"maxConns\":\"4\""), false },
		{ SERVICE_WITH(",\"coldPerS\":\"1\""), false },
		{ SERVICE_WITH(",\"coldPerS\":null"), false },
		{ SERVICE_WITH(",\"coldS\":[2]"), false },
		{ "\"routes\":[],\"tenants\":{}", false },
		{ "\"routes\":[],\"tenants\":false", false },
		{ "\"routes\":null", false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char text[256];
		routing_t *routing;

		snprintf(text, sizeof(text), "{\"version\":1,%s}",
			 cases[i].text);
		routing = decode(text);
		if (!routing != !cases[i].is_valid)
			fail_msg("%s", text);
		routing_unref(routing);
	}
}

/* Guards against callers without a key that have the empty one. */
static void empty_key_is_no_key(void **state)
{
	routing_t *routing = decode("{\"version\":1,\"routes\":[],\"tenants\":["
				    "{\"name\":\"t\",\"keys\":[\"\",\"k\"]}]}");

	assert_null(routing_account(routing, ""));
	assert_non_null(routing_account(routing, "k"));
	routing_unref(routing);
}

/* Guards against a list that is cut short, and a deletion that is taken for a
 * change: what such an answer lacks would be out of force or in use. */
static void answer_that_lacks_a_field_is_not_taken(void **state)
{
#define EVENT_WITH(more)                                                          \
	"\"events\":[{\"object\":{\"meta\":{\"name\":\"i\",\"revision\":1}}" more \
	"}]"
	static const struct {
		const char *text;
		bool is_valid;
	} cases[] = {
		{ "\"items\":[],\"morePages\":false", true },
		{ "\"items\":[]", false },
		{ "\"items\":[],\"morePages\":null", false },
		{ "\"items\":[],\"morePages\":1", false },
		{ "\"items\":null,\"morePages\":false", false },
		{ "\"items\":{},\"morePages\":false", false },
		{ "\"events\":[]", true },
		{ "\"events\":null", false },
		{ EVENT_WITH(",\"deleted\":true"), true },
		{ EVENT_WITH(""), false },
		{ EVENT_WITH(",\"deleted\":null"), false },
		{ EVENT_WITH(",\"deleted\":\"true\""), false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		platform_parsed_page_t parsed;
		char text[256];
		err_t err;
		bool is_valid;

		snprintf(text, sizeof(text), "{%s,\"storeRevision\":9}",
			 cases[i].text);
		is_valid = platform_parse_page(text, strlen(text), 0, &parsed,
					       &err);
		if (is_valid != cases[i].is_valid)
			fail_msg("%s", text);
		if (is_valid)
			platform_page_clear(&parsed);
	}
}

enum { NESTED = 200000 };

/* @return text with @p value as a value of the entry in the middle of three */
static char *page_with(const char *value, bool are_events)
{
	static const char sound[] = ENTRY("16", "\"10.0.0.9:80\"", "\"ready\"");
	size_t size = strlen(value) + 4 * sizeof(sound) + 400;
	const char *before = are_events ? "{\"object\":" : "";
	const char *after = are_events ? ",\"deleted\":false}" : "";
	char *text = mem_calloc(size, 1);

	snprintf(text, size,
		 "{\"%s\":[%s{\"meta\":{\"name\":\"i-1\",\"revision\":5},"
		 "\"spec\":%s}%s,%s{\"meta\":{\"name\":\"i-2\",\"revision\":6},"
		 "\"spec\":{\"odd\":%s}}%s,%s{\"meta\":{\"name\":\"i-3\","
		 "\"revision\":7},\"spec\":%s}%s],\"morePages\":false,"
		 "\"storeRevision\":9}",
		 are_events ? "events" : "items", before, sound, after, before,
		 value, after, before, sound, after);
	return text;
}

static char *nested(char open, char close, const char *between)
{
	size_t i, used = 0, size = NESTED * (2 + strlen(between)) + 1;
	char *text = mem_calloc(size, 1);

	for (i = 0; i < NESTED; i++)
		used += (size_t)sprintf(text + used, "%c%s", open,
					i + 1 < NESTED ? between : "");
	memset(text + used, close, NESTED);
	return text;
}

/* Guards against one entry of another program that hides all servers. */
static void odd_entry_hides_the_other_servers(void **state)
{
	char *arrays = nested('[', ']', ""), *maps = nested('{', '}', "\"a\":");
	const char *const values[] = {
		"7",
		"99999999999999999999",
		"-99999999999999999999",
		"1e999",
		"-1e999",
		"[1e999,{\"x\":99999999999999999999}]",
		arrays,
		maps,
		"\"\xff\xfe\"",
		"\"\xc3\xa4 \xff\"",
		"\"\\ud800\"",
		"\"\\u0000\"",
		"\"\\\\\\\" ]}\"",
		"\"\x01\"",
		"11111111111111111111111111111111111111111111111111111111111",
	};
	size_t i;

	for (i = 0; i < 2 * COUNT_OF(values); i++) {
		char *text = page_with(values[i / 2], i % 2);
		platform_parsed_page_t parsed;
		backend_entry_t entry;
		err_t err;

		if (!platform_parse_page(text, strlen(text), 0, &parsed, &err))
			fail_msg("value %.40s", values[i / 2]);
		assert_int_equal(parsed.page.count, 3);
		assert_true(platform_decode_server(&parsed.objects[0], &entry));
		assert_false(
			platform_decode_server(&parsed.objects[1], &entry));
		assert_true(platform_decode_server(&parsed.objects[2], &entry));
		assert_string_equal(entry.id, "i-3");
		platform_page_clear(&parsed);
		free(text);
	}
	free(arrays);
	free(maps);
}

/*
 * Guards against a server's answer that is taken for another kind of answer,
 * against a Retry-After that is not a positive number, or is too long, and
 * against a rate that is no number of requests.
 */
static void parses_reply_headers(void **state)
{
	static const struct {
		const char *name, *value;
		server_reply_t expected;
	} cases[] = {
		{ "X-Not-Run", "1", { .not_run = true } },
		{ "x-server-seal", "1.2", { .sealed = true } },
		{ "X-Request-Id", "r1", { 0 } },
		{ "X-Request-Id", "r2", { .foreign = true } },
		{ "Content-Type", "text/plain", { 0 } },
		{ "Server-Leaving", "1", { .leaving = true } },
		{ "server-leaving", "0", { 0 } },
		{ "Server-Leaving", "yes", { 0 } },
		{ "Retry-After", "2", { .retry_after_ms = 2000 } },
		{ "Retry-After", "0.25", { .retry_after_ms = 250 } },
		{ "Retry-After", "-3", { 0 } },
		{ "Retry-After", "nan", { 0 } },
		{ "Retry-After", "soon", { 0 } },
		{ "Retry-After", "", { 0 } },
		{ "Retry-After", "1e300", { .retry_after_ms = 3600000 } },
		{ "Server-Limit",
		  "2.3",
		  { .rate = RATE_STATED, .rate_per_s = 2.3 } },
		{ "server-limit", "0", { .rate = RATE_STATED } },
		{ "Server-Limit",
		  "1 ",
		  { .rate = RATE_STATED, .rate_per_s = 1 } },
		{ "Server-Limit", "", { .rate = RATE_UNREADABLE } },
		{ "Server-Limit", "-1", { .rate = RATE_UNREADABLE } },
		{ "Server-Limit", "nan", { .rate = RATE_UNREADABLE } },
		{ "Server-Limit", "inf", { .rate = RATE_UNREADABLE } },
		{ "Server-Limit", "2/s", { .rate = RATE_UNREADABLE } },
		{ "Retry-After", "Fri, 04 Dec 2026 12:00:00 GMT", { 0 } },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		server_reply_t reply = { 0 };

		platform_read_reply_header(cases[i].name, cases[i].value, "r1",
					   &reply);
		assert_memory_equal(&reply, &cases[i].expected, sizeof(reply));
	}
}

/*
 * Guards against hop-by-hop headers that are relayed, and against other headers
 * that are withheld.
 */
static void recognises_hop_headers(void **state)
{
	static const struct {
		const char *name, *connection;
		bool hop;
	} cases[] = {
		{ "Connection", NULL, true },
		{ "transfer-encoding", NULL, true },
		{ "Content-Length", NULL, true },
		{ "X-Model", NULL, false },
		{ "X-Private", "close, x-private", true },
		{ "X-Priv", "close, x-private", false },
		{ "Te", NULL, true },
		{ "Content-Type", "close", false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++)
		if (is_hop_header(cases[i].name, cases[i].connection) !=
		    cases[i].hop)
			fail_msg("%s", cases[i].name);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(parses_settings),
		cmocka_unit_test(controls_load_where_servers_state_no_rates),
		cmocka_unit_test(refuses_a_long_settings_file),
		cmocka_unit_test(finds_routes),
		cmocka_unit_test(finds_most_urgent_kind_of_a_service),
		cmocka_unit_test(bounds_ranks),
		cmocka_unit_test(decodes_routing),
		cmocka_unit_test(bounds_numbers),
		cmocka_unit_test(numbers_of_an_engine_overflow),
		cmocka_unit_test(refuses_malformed_routing),
		cmocka_unit_test(needs_keys_if_accounts_are_listed),
		cmocka_unit_test(splits_by_weight),
		cmocka_unit_test(decodes_servers),
		cmocka_unit_test(entry_that_lacks_a_field_names_no_server),
		cmocka_unit_test(field_that_cannot_be_read_opens_nothing),
		cmocka_unit_test(empty_key_is_no_key),
		cmocka_unit_test(answer_that_lacks_a_field_is_not_taken),
		cmocka_unit_test(odd_entry_hides_the_other_servers),
		cmocka_unit_test(parses_reply_headers),
		cmocka_unit_test(recognises_hop_headers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
