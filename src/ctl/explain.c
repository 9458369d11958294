#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

enum { QUERY_SIZE_BYTES = 1024 };

/* Joins the KEY=VALUE arguments after the first one to a query.
 * @return false after printing the error */
static bool format_query(const invocation_t *invocation, char *query,
			 size_t size)
{
	size_t used = 0;
	int i;

	for (i = 1; i < invocation->argument_count; i++) {
		const char *argument = invocation->arguments[i];
		const char *value = strchr(argument, '=');
		char *escaped;

		if (!value) {
			ctl_error("%s: expected KEY=VALUE", argument);
			return false;
		}
		escaped = curl_easy_escape(NULL, value + 1, 0);
		used += (size_t)snprintf(query + used, size - used, "%s%.*s=%s",
					 i > 1 ? "&" : "",
					 (int)(value - argument), argument,
					 escaped ? escaped : "");
		curl_free(escaped);
		if (used >= size) {
			ctl_error("the arguments are too long");
			return false;
		}
	}
	return true;
}

static const char *text_of(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "-";
}

static long long number_of(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static const char *flag(const json_t *json, const char *key)
{
	return json_is_true(json_object_get(json, key)) ? key : "";
}

static void print_request(const json_t *json)
{
	printf("service %s, route %s, priority %lld (most urgent route %lld), "
	       "prompt %lld, output %lld, objective %lld ms\n",
	       text_of(json, "service"), text_of(json, "route"),
	       number_of(json, "priority"), number_of(json, "first_priority"),
	       number_of(json, "prompt_tokens"),
	       number_of(json, "output_tokens"),
	       number_of(json, "objective_ms"));
	printf("node %s in %s: %.0f%% of the requests spill over%s\n",
	       text_of(json, "node"), text_of(json, "data_centre"),
	       json_real_value(json_object_get(json, "spillover")) * 100,
	       *flag(json, "cut_off") ? ", servers cannot be reached" : "");
}

static void print_decision(const json_t *json)
{
	const json_t *retry_after = json_object_get(json, "retry_after_ms");

	printf("decision %s", text_of(json, "decision"));
	if (json_is_integer(json_object_get(json, "predicted_ms")))
		printf(", first event in %lld ms, late weight of others %.2f",
		       number_of(json, "predicted_ms"),
		       json_real_value(json_object_get(json, "late_weight")));
	if (json_is_integer(retry_after))
		printf(", Retry-After %lld ms",
		       (long long)json_integer_value(retry_after));
	printf(", leaves its data centre: %s\n", text_of(json, "leaves"));
}

static void print_admission(const json_t *json)
{
	const json_t *share = json_object_get(json, "account_share");

	printf("deferred %s", text_of(json, "deferred"));
	if (json_is_integer(json_object_get(json, "sent_priority")))
		printf(", sent with priority %lld",
		       number_of(json, "sent_priority"));
	printf(", %lld of %lld slots free", number_of(json, "free_slots"),
	       number_of(json, "slots"));
	if (json_is_integer(json_object_get(json, "account_requests")))
		printf(", %lld requests of the account",
		       number_of(json, "account_requests"));
	if (json_is_integer(share))
		printf(", fair share %lld",
		       (long long)json_integer_value(share));
	printf("\n");
}

static void print_candidate(const json_t *json)
{
	printf("%s %s %s: %lld prefilling (%lld deferred), %lld decoding, %lld "
	       "slots, backlog %lld ms, %lld KV tokens, known for %lld ms, "
	       "distance %lld ms, traffic %lld ms, slowdown %.2f %s %s %s\n",
	       number_of(json, "shard") ? "*" : " ", text_of(json, "server"),
	       text_of(json, "data_centre"), number_of(json, "prefilling"),
	       number_of(json, "deferred"), number_of(json, "decoding"),
	       number_of(json, "slots"), number_of(json, "backlog_ms"),
	       number_of(json, "kv_tokens"), number_of(json, "load_age_ms"),
	       number_of(json, "distance_ms"), number_of(json, "traffic_ms"),
	       json_real_value(json_object_get(json, "slowdown")),
	       flag(json, "reserved"), flag(json, "fallback"),
	       flag(json, "limited"));
}

exit_code_t command_explain(const invocation_t *invocation)
{
	char query[QUERY_SIZE_BYTES], url[URL_SIZE_BYTES + QUERY_SIZE_BYTES];
	ctl_fetch_t wanted = { .url = url,
			       .address = invocation->arguments[0],
			       .shows_errors = true };
	const json_t *candidate;
	exit_code_t code;
	json_t *json;
	size_t i;

	if (!format_query(invocation, query, sizeof(query)))
		return EXIT_USAGE;
	snprintf(url, sizeof(url), "http://%s/explain?%s", wanted.address,
		 query);
	json = ctl_fetch_json(&wanted, &code);
	if (!json)
		return code;
	if (invocation->json) {
		ctl_print_json(json);
	} else {
		print_request(json);
		print_decision(json);
		print_admission(json);
		json_array_foreach(json_object_get(json, "candidates"), i,
				   candidate) print_candidate(candidate);
	}
	json_decref(json);
	return EXIT_OK;
}
