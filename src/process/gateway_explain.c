#include <curl/curl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission.h"
#include "base/clock.h"
#include "base/mem.h"
#include "process/gateway_state.h"
#include "process/retry_after.h"

enum {
	/* Candidates listed in one answer; it says how many there are. */
	LISTED_MAX = 200,
	QUERY_SIZE_BYTES = 1024,
	/* Of the body of a request, for the price of traffic. */
	BYTES_PER_PROMPT_TOKEN = 4,
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	HTTP_UNAVAILABLE = 503
};

/** The request to explain. */
typedef struct {
	char service[NAME_SIZE_BYTES]; /**< empty: that of the route */
	char route[URL_SIZE_BYTES]; /**< HOST/PATH; empty: any route */
	char account[NAME_SIZE_BYTES]; /**< empty: none */
	int64_t prompt_tokens, output_tokens; /**< 0: the usual number */
} wanted_t;

/** What is known of it. */
typedef struct {
	const route_conf_t *route;
	const service_conf_t *service;
	const account_conf_t *account; /**< NULL: none */
	int64_t now_us;
	placement_query_t query;
	candidate_t *candidates;
	size_t count;
	placement_result_t result;
	placement_t placement;
	admission_query_t admission_query;
	admission_t admission;
} explained_t;

static int64_t read_tokens(const char *text)
{
	long long number = strtoll(text, NULL, 10);

	if (number < 0)
		return 0;
	return number < TOKENS_MAX ? number : TOKENS_MAX;
}

/* Reads one KEY=VALUE. @return false if the key is not known */
static bool read_argument(const char *key, const char *value, wanted_t *wanted)
{
	if (!strcmp(key, "service"))
		mem_strlcpy(wanted->service, value, sizeof(wanted->service));
	else if (!strcmp(key, "route"))
		mem_strlcpy(wanted->route, value, sizeof(wanted->route));
	else if (!strcmp(key, "account"))
		mem_strlcpy(wanted->account, value, sizeof(wanted->account));
	else if (!strcmp(key, "prompt"))
		wanted->prompt_tokens = read_tokens(value);
	else if (!strcmp(key, "output"))
		wanted->output_tokens = read_tokens(value);
	else
		return false;
	return true;
}

static bool read_query(const char *text, wanted_t *wanted)
{
	char query[QUERY_SIZE_BYTES], *rest = query, *pair;

	if (strlen(text) >= sizeof(query))
		return false;
	mem_strlcpy(query, text, sizeof(query));
	while ((pair = strsep(&rest, "&"))) {
		char *value = strchr(pair, '='), *decoded;
		bool known;

		if (!value)
			return false;
		*value++ = '\0';
		decoded = curl_easy_unescape(NULL, value, 0, NULL);
		known = decoded && read_argument(pair, decoded, wanted);
		curl_free(decoded);
		if (!known)
			return false;
	}
	return *wanted->service || *wanted->route;
}

/* @return the route HOST/PATH; NULL: none */
static const route_conf_t *find_route(const routing_t *routing,
				      const char *text)
{
	const char *path = strchr(text, '/');
	char host[URL_SIZE_BYTES];

	if (!path)
		return NULL;
	mem_strlcpy(host, text, sizeof(host));
	host[path - text] = '\0';
	return routing_find(routing, host, path);
}

/* @return what is not found; NULL: all is */
static const char *find_all(const gateway_t *gateway, const wanted_t *wanted,
			    explained_t *explained)
{
	const routing_t *routing = gateway->routing;
	const char *service = wanted->service;

	explained->route = *wanted->route ? find_route(routing, wanted->route)
					  : routing_route_to(routing, service);
	if (!explained->route)
		return "no such route";
	if (!*service)
		service = routing_target(explained->route, 0);
	explained->service = routing_service(routing, service);
	if (!explained->service)
		return "no such service";
	if (*wanted->account) {
		explained->account =
			routing_account_named(routing, wanted->account);
		if (!explained->account)
			return "no such account";
	}
	return NULL;
}

/* Places the request like forward_place() does, as it would be placed if it had
 * just arrived, without any effect. */
static void place(gateway_t *gateway, const wanted_t *wanted,
		  explained_t *explained)
{
	const service_conf_t *service = explained->service;
	const engine_profile_t *engine = &service->engine;
	const route_conf_t *route = explained->route;
	placement_query_t *query = &explained->query;
	backends_query_t servers = { .service = service,
				     .load_table = gateway->load_table,
				     .is_dry_run = true };

	explained->now_us = clock_monotonic_us();
	*query = (placement_query_t){
		.engine = engine->present ? engine : NULL,
		.prompt_tokens = wanted->prompt_tokens
					 ? wanted->prompt_tokens
					 : engine->usual_prompt_tokens,
		.output_tokens = wanted->output_tokens
					 ? wanted->output_tokens
					 : engine->usual_output_tokens,
		.gap_target_us = route->event_gap_target_ms * US_PER_MS,
		.objective_us = route->target_ms * US_PER_MS,
		.target_us = route->target_ms * US_PER_MS,
		.limit_us = route->timeout_ms * US_PER_MS,
		.may_refuse = true,
		.ranks_below = gateway->settings.controls_load
				       ? routing_ranks_below(gateway->routing,
							     route,
							     service->name)
				       : 0,
		.controls_load = gateway->settings.controls_load,
		.nodes = gateway->nodes,
		/* The node's own sequence of random numbers stays as it is. */
		.salt = (uint64_t)explained->now_us,
	};
	servers.now_us = explained->now_us;
	servers.salt = query->salt;
	servers.traffic_bytes = backends_traffic_bytes(
		service, query->prompt_tokens * BYTES_PER_PROMPT_TOKEN,
		query->output_tokens);
	servers.objective_us =
		routing_shortest_target_ms(gateway->routing, service->name) *
		US_PER_MS;
	explained->count = backends_candidates(gateway->backends, &servers,
					       &explained->candidates);
	explained->result = placement_choose(explained->candidates,
					     explained->count, query,
					     &explained->placement);
	if (explained->result != PLACEMENT_CHOSEN)
		explained->placement.leaves = LEAVES_NOT;
}

/* Decides like forward_admit() for a request that has just arrived. */
static void admit(const gateway_t *gateway, explained_t *explained)
{
	const account_conf_t *account = explained->account;
	const placement_query_t *query = &explained->query;
	const char *service = explained->service->name;

	explained->admission_query = (admission_query_t){
		.controls_load = gateway->settings.controls_load,
		.engine = query->engine,
		.placement = &explained->placement,
		.prompt_tokens = query->prompt_tokens,
		.priority = routing_priority(explained->route, account),
		.ranks_below = query->ranks_below,
		/* Most requests of a less urgent kind are deferred. */
		.salt = 1,
		.target_us = query->target_us,
		.wait_max_us = INT64_MAX,
		.capacity = admission_capacity(explained->candidates,
					       explained->count),
		.accounts = gateway->accounts,
		.service = load_table_hash(service),
		.account = account ? load_table_hash(account->name) : 0,
	};
	admission_decide(&explained->admission_query, &explained->admission);
}

static const char *result_name(placement_result_t result)
{
	static const char *const names[] = {
		[PLACEMENT_CHOSEN] = "placed",
		[PLACEMENT_NO_SERVER] = "no_server",
		[PLACEMENT_BUSY] = "busy",
		[PLACEMENT_TOO_LONG] = "prompt_too_long",
		[PLACEMENT_PAST_LIMIT] = "late",
	};

	return names[result];
}

/* @return Retry-After of the refusal, unless a server is known to accept
 * requests again. */
static json_t *retry_after(const explained_t *explained)
{
	if (explained->result == PLACEMENT_CHOSEN)
		return json_null();
	return json_integer(retry_after_ms(explained->result,
					   &explained->placement,
					   explained->query.limit_us));
}

static size_t shard_of(const explained_t *explained,
		       const candidate_t *candidate)
{
	size_t i;

	if (explained->result != PLACEMENT_CHOSEN)
		return 0;
	for (i = 0; i < explained->placement.count; i++)
		if (explained->placement.shards[i] == candidate)
			return i + 1;
	return 0;
}

static json_t *describe_candidate(const gateway_t *gateway,
				  const explained_t *explained,
				  const candidate_t *candidate)
{
	const backend_t *server = candidate->server;
	const backend_entry_t *entry = backend_entry(server);
	const server_load_t *load = &candidate->load;
	int64_t age_us = load_table_age_us(
		gateway->load_table, backend_hash(server), explained->now_us);

	return json_pack(
		"{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:f,s:b,s:b,"
		"s:b}",
		"server", entry->id, "data_centre", entry->data_centre, "shard",
		(int)shard_of(explained, candidate), "prefilling",
		load->prefilling, "decoding", load->decoding, "deferred",
		load->deferred, "slots", candidate->slots, "backlog_ms",
		(json_int_t)(load->backlog_us / US_PER_MS), "kv_tokens",
		(json_int_t)load->kv_tokens, "load_age_ms",
		(json_int_t)(age_us < 0 ? -1 : age_us / US_PER_MS),
		"distance_ms", (json_int_t)(candidate->distance_us / US_PER_MS),
		"traffic_ms", (json_int_t)(candidate->traffic_us / US_PER_MS),
		"slowdown", candidate->slowdown, "reserved",
		candidate->reserved, "fallback", candidate->fallback, "limited",
		candidate->is_limited);
}

/* Lists the chosen servers, then others. */
static json_t *list_candidates(const gateway_t *gateway,
			       const explained_t *explained)
{
	json_t *list = json_array();
	int chosen;
	size_t i;

	for (chosen = 1; chosen >= 0; chosen--)
		for (i = 0;
		     i < explained->count && json_array_size(list) < LISTED_MAX;
		     i++) {
			const candidate_t *candidate =
				&explained->candidates[i];

			if ((shard_of(explained, candidate) > 0) != chosen)
				continue;
			json_array_append_new(
				list, describe_candidate(gateway, explained,
							 candidate));
		}
	return list;
}

/* Adds what forward_admit() decides on. */
static void describe_admission(const explained_t *explained, json_t *json)
{
	const admission_query_t *query = &explained->admission_query;
	bool is_placed = explained->result == PLACEMENT_CHOSEN;
	account_use_t use = admission_use(query);

	json_object_set_new(
		json, "deferred",
		json_string(is_placed ? admission_cause_name(
						explained->admission.cause)
				      : "-"));
	json_object_set_new(
		json, "sent_priority",
		is_placed ? json_integer(explained->admission.priority)
			  : json_null());
	json_object_set_new(json, "slots", json_integer(query->capacity.slots));
	json_object_set_new(json, "free_slots",
			    json_integer(query->capacity.free));
	json_object_set_new(json, "account_requests",
			    query->account ? json_integer(use.held)
					   : json_null());
	json_object_set_new(json, "account_share",
			    query->account && use.share < INT64_MAX
				    ? json_integer(use.share)
				    : json_null());
}

static json_t *describe(const gateway_t *gateway, const explained_t *explained)
{
	const placement_t *placement = &explained->placement;
	const route_conf_t *route = explained->route;
	const char *service = explained->service->name;
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:b,s:f,s:I}", "node",
		gateway->settings.node_id, "data_centre",
		gateway->settings.data_centre, "service", service, "route",
		route->name, "priority", explained->admission_query.priority,
		"first_priority",
		routing_first_priority(gateway->routing, service),
		"prompt_tokens", (json_int_t)explained->query.prompt_tokens,
		"output_tokens", (json_int_t)explained->query.output_tokens,
		"objective_ms", (json_int_t)route->target_ms, "cut_off",
		backends_is_cut_off(gateway->backends, service), "spillover",
		backends_flow_share(gateway->backends, service),
		"candidate_count", (json_int_t)explained->count);

	json_object_set_new(json, "decision",
			    json_string(result_name(explained->result)));
	json_object_set_new(
		json, "leaves",
		json_string(placement_leaves_name(placement->leaves)));
	json_object_set_new(
		json, "predicted_ms",
		placement->count
			? json_integer(placement->first_event_us / US_PER_MS)
			: json_null());
	json_object_set_new(json, "late_weight",
			    json_real(placement->missed_weight));
	json_object_set_new(json, "retry_after_ms", retry_after(explained));
	describe_admission(explained, json);
	json_object_set_new(json, "candidates",
			    list_candidates(gateway, explained));
	return json;
}

static void reply(exchange_t *exchange, int status, json_t *json)
{
	reply_header_t type = { "Content-Type", "application/json" };
	char *text = json_dumps(json, JSON_COMPACT);

	exchange_reply(exchange, status, &type, 1, text, strlen(text));
	free(text);
	json_decref(json);
}

static void reply_error(exchange_t *exchange, int status, const char *error)
{
	reply(exchange, status, json_pack("{s:s}", "error", error));
}

void gateway_explain(gateway_t *gateway, exchange_t *exchange)
{
	explained_t explained = { .candidates = NULL };
	wanted_t wanted = { .service = "" };
	const char *missing;

	if (!gateway->routing) {
		reply_error(exchange, HTTP_UNAVAILABLE, "no configuration yet");
		return;
	}
	if (!read_query(exchange_query(exchange), &wanted)) {
		reply_error(exchange, HTTP_BAD_REQUEST,
			    "expected service=NAME or route=HOST/PATH, and "
			    "prompt=, output=, account=");
		return;
	}
	missing = find_all(gateway, &wanted, &explained);
	if (missing) {
		reply_error(exchange, HTTP_NOT_FOUND, missing);
		return;
	}
	place(gateway, &wanted, &explained);
	admit(gateway, &explained);
	reply(exchange, HTTP_OK, describe(gateway, &explained));
	free(explained.candidates);
}
