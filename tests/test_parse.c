/** Tests of request parsing: paths, keys, completions, prefix hashes. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "request/parse.h"
#include "request/prefix_hash.h"

static const struct {
	const char *method, *path;
	int32_t refusal; /* -1: accepted */
	endpoint_type_t type;
	const char *service, *rest;
} paths[] = {
	{ "POST", "/v1/completions", -1, ENDPOINT_COMPLETION, "", NULL },
	{ "POST", "/v1/chat/completions", -1, ENDPOINT_CHAT, "", NULL },
	{ "GET", "/v1/models", -1, ENDPOINT_MODELS, "", NULL },
	{ "PUT", "/services/jobs/a/b", -1, ENDPOINT_SERVICE, "jobs", "/a/b" },
	{ "GET", "/services/jobs", -1, ENDPOINT_SERVICE, "jobs", "" },
	{ "GET", "/v1/completions", REFUSAL_BAD_REQUEST, 0, "", NULL },
	{ "GET", "/services/", REFUSAL_NOT_FOUND, 0, "", NULL },
	{ "GET", "/services//x", REFUSAL_NOT_FOUND, 0, "", NULL },
	{ "GET", "/healthz", REFUSAL_NOT_FOUND, 0, "", NULL },
	{ "GET", "", REFUSAL_NOT_FOUND, 0, "", NULL },
};

/* Guards against a call that is sent to a service other than its path names. */
static void reads_paths(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(paths); i++) {
		endpoint_t endpoint;
		err_t err = { 0 };
		bool valid = parse_endpoint(paths[i].method, paths[i].path,
					    &endpoint, &err);

		assert_int_equal(valid, paths[i].refusal < 0);
		if (!valid) {
			assert_int_equal(err.code, paths[i].refusal);
			continue;
		}
		assert_int_equal(endpoint.type, paths[i].type);
		assert_string_equal(endpoint.service, paths[i].service);
		if (paths[i].rest)
			assert_string_equal(endpoint.rest, paths[i].rest);
	}
}

/* Guards against a key that is cut or belongs to a scheme other than Bearer. */
static void reads_bearer_keys(void **state)
{
	static const struct {
		const char *header, *key;
	} headers[] = {
		{ "Bearer abc", "abc" }, { "bearer  abc", "abc" },
		{ "Basic abc", NULL },	 { "Bearer", NULL },
		{ "Bearer ", NULL },	 { NULL, NULL },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(headers); i++) {
		const char *key = parse_bearer(headers[i].header);

		if (headers[i].key)
			assert_string_equal(key, headers[i].key);
		else
			assert_null(key);
	}
}

#define KEY_32 "0123456789abcdef0123456789abcdef"

/*
 * Guards against two actions with different keys that are taken for the same
 * action because a long key was cut.
 */
static void checks_idempotency_keys(void **state)
{
	static const struct {
		const char *header;
		bool required;
		int32_t refusal;
	} keys[] = {
		{ "a", true, -1 },
		{ KEY_32 KEY_32 KEY_32 KEY_32, true, -1 },
		{ KEY_32 KEY_32 KEY_32 KEY_32 "x", true, REFUSAL_BAD_REQUEST },
		{ "", true, REFUSAL_BAD_REQUEST },
		{ "a b", true, REFUSAL_BAD_REQUEST },
		{ "a\x80", true, REFUSAL_BAD_REQUEST },
		{ NULL, true, REFUSAL_KEY_REQUIRED },
		{ NULL, false, -1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(keys); i++) {
		char key[IDEMPOTENCY_KEY_SIZE_BYTES];
		err_t err = { 0 };
		bool valid = parse_idempotency_key(keys[i].header,
						   keys[i].required, key, &err);

		assert_int_equal(valid, keys[i].refusal < 0);
		if (!valid)
			assert_int_equal(err.code, keys[i].refusal);
		if (valid && keys[i].header)
			assert_string_equal(key, keys[i].header);
		if (!valid)
			assert_string_equal(key, "");
	}
}

/* Members of a valid completion, and the start of those of a chat. */
#define P "\"model\":\"m\",\"prompt\":\"12345\""
#define C "\"model\":\"m\",\"messages\":"

static const struct {
	const char *body;
	bool chat;
	const char *message; /* NULL: accepted */
	int64_t prompt_tokens, max_tokens;
	bool stream;
} bodies[] = {
	{ "{" P "}", false, NULL, 2, MAX_TOKENS_DEFAULT, false },
	{ "{" P ",\"max_tokens\":7,\"stream\":true,\"n\":1}", false, NULL, 2, 7,
	  true },
	{ "{" C "[{\"role\":\"user\",\"content\":\"1234\"},"
	  "{\"role\":\"user\",\"content\":[{\"type\":\"text\","
	  "\"text\":\"56789\"}]}],\"max_completion_tokens\":9}",
	  true, NULL, 3, 9, false },
	{ "{\"model\":\"m\",\"prompt\":\"\"}", false, NULL, 0,
	  MAX_TOKENS_DEFAULT, false },
	{ "", false, "not JSON", 0, 0, false },
	{ "{" P "", false, "not JSON", 0, 0, false },
	{ "{" P ",\"stream\":true,\"stream\":false}", false, "not JSON", 0, 0,
	  false },
	{ "\"x\"", false, "not JSON", 0, 0, false },
	{ "[]", false, "expected a JSON object", 0, 0, false },
	{ "{\"prompt\":\"x\"}", false, "model:", 0, 0, false },
	{ "{\"model\":\"m\"}", false, "prompt:", 0, 0, false },
	{ "{\"model\":\"m\",\"prompt\":[\"x\"]}", false, "prompt:", 0, 0,
	  false },
	{ "{" P ",\"max_tokens\":0}", false, "max_tokens:", 0, 0, false },
	{ "{" P ",\"max_tokens\":1.5}", false, "max_tokens:", 0, 0, false },
	{ "{" P ",\"max_tokens\":2000000}", false, "max_tokens:", 0, 0, false },
	{ "{" P ",\"n\":2}", false, "n: only 1", 0, 0, false },
	{ "{" P ",\"best_of\":2}", false, "best_of: only 1", 0, 0, false },
	{ "{" P ",\"stream\":1}", false, "stream: expected", 0, 0, false },
	{ "{" C "[]}", true, "messages:", 0, 0, false },
	{ "{" C "[{\"content\":\"x\"}]}", true, "needs a role", 0, 0, false },
	{ "{" C "[{\"role\":\"user\",\"content\":1}]}", true, "content must", 0,
	  0, false },
	{ "{" C "[{\"role\":\"user\",\"content\":[{\"type\":\"image_url\"}]}]}",
	  true, "only parts of type text", 0, 0, false },
};

/* Guards against invalid bodies that reach an engine and waste its time. */
static void checks_completions(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(bodies); i++) {
		completion_t completion;
		err_t err = { 0 };
		bool valid = parse_completion(bodies[i].body,
					      strlen(bodies[i].body),
					      bodies[i].chat, "acme",
					      &completion, &err);

		if (valid == (bodies[i].message != NULL))
			fail_msg("case %zu: %s", i, err.message);
		if (!valid) {
			if (!bodies[i].message ||
			    !strstr(err.message, bodies[i].message))
				fail_msg("case %zu: %s", i, err.message);
			assert_int_equal(err.code, REFUSAL_BAD_REQUEST);
			continue;
		}
		assert_int_equal(completion.prompt_tokens,
				 bodies[i].prompt_tokens);
		assert_int_equal(completion.max_tokens, bodies[i].max_tokens);
		assert_int_equal(completion.stream, bodies[i].stream);
		completion_clear(&completion);
	}
}

/*
 * Guards against hashes that depend on how the prompt is divided into calls of
 * prefix_hash_add(), that are equal although earlier blocks differ, or that are
 * equal for two accounts, which would reveal the prompts of one account to the
 * other.
 */
static void chains_prefix_hashes(void **state)
{
	static char prompt[5 * PREFIX_BLOCK_SIZE_BYTES + 100];
	prefix_hash_t whole, pieces, other, changed, bounded;
	size_t at, step = 1;

	for (at = 0; at < sizeof(prompt); at++)
		prompt[at] = (char)('a' + at % 23);
	prefix_hash_init(&whole, "acme", BLOCK_HASHES_MAX);
	prefix_hash_add(&whole, prompt, sizeof(prompt));
	assert_int_equal(whole.count, 5);
	prefix_hash_init(&pieces, "acme", BLOCK_HASHES_MAX);
	for (at = 0; at < sizeof(prompt);
	     at += step, step = step * 3 % 1000 + 1)
		prefix_hash_add(&pieces, prompt + at,
				at + step < sizeof(prompt)
					? step
					: sizeof(prompt) - at);
	assert_int_equal(pieces.count, 5);
	assert_memory_equal(whole.blocks, pieces.blocks, 5 * sizeof(uint64_t));
	prefix_hash_init(&other, "kwena", BLOCK_HASHES_MAX);
	prefix_hash_add(&other, prompt, sizeof(prompt));
	prompt[PREFIX_BLOCK_SIZE_BYTES] = '!';
	prefix_hash_init(&changed, "acme", BLOCK_HASHES_MAX);
	prefix_hash_add(&changed, prompt, sizeof(prompt));
	assert_int_equal(changed.blocks[0], whole.blocks[0]);
	for (at = 0; at < 5; at++) {
		assert_int_not_equal(other.blocks[at], whole.blocks[at]);
		if (at)
			assert_int_not_equal(changed.blocks[at],
					     whole.blocks[at]);
	}
	prefix_hash_init(&bounded, "acme", 3);
	prefix_hash_add(&bounded, prompt, sizeof(prompt));
	assert_int_equal(bounded.count, 3);
	prefix_hash_clear(&whole);
	prefix_hash_clear(&pieces);
	prefix_hash_clear(&other);
	prefix_hash_clear(&changed);
	prefix_hash_clear(&bounded);
}

/* Guards against a reuse of a key for another action that is not detected. */
static void hashes_actions_by_all_inputs(void **state)
{
	static const struct {
		const char *method, *path, *query, *body;
	} calls[] = {
		{ "POST", "/a", "", "x" }, { "PUT", "/a", "", "x" },
		{ "POST", "/b", "", "x" }, { "POST", "/a", "q", "x" },
		{ "POST", "/a", "", "y" }, { "POST", "/", "a", "x" },
		{ "POST", "/a", "", "" },
	};
	uint8_t hashes[COUNT_OF(calls)][REQUEST_HASH_SIZE_BYTES];
	size_t i, j;

	for (i = 0; i < COUNT_OF(calls); i++) {
		parse_request_hash(calls[i].method, calls[i].path,
				   calls[i].query, calls[i].body,
				   strlen(calls[i].body), hashes[i]);
		for (j = 0; j < i; j++)
			assert_memory_not_equal(hashes[i], hashes[j],
						REQUEST_HASH_SIZE_BYTES);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reads_paths),
		cmocka_unit_test(reads_bearer_keys),
		cmocka_unit_test(checks_idempotency_keys),
		cmocka_unit_test(checks_completions),
		cmocka_unit_test(chains_prefix_hashes),
		cmocka_unit_test(hashes_actions_by_all_inputs),
	};

	return sodium_init() < 0 || cmocka_run_group_tests(tests, NULL, NULL);
}
