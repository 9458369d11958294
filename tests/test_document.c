/**
 * Guards against a parser of configuration documents that accepts an invalid
 * document, refuses a valid one, or reports an error that does not name the
 * offending value, which an operator then cannot find.
 */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "version/document.h"

#define HASH_A                             \
	"00000000000000000000000000000000" \
	"000000000000000000000000000000aa"
#define HASH_B                             \
	"00000000000000000000000000000000" \
	"000000000000000000000000000000bb"
#define CLASSES "\"classes\":[{\"name\":\"quick\",\"deadline_ms\":5000}]"
#define DC "\"data_centres\":[{\"name\":\"a\"},{\"name\":\"b\"}]"
#define ENGINE                                                        \
	"{\"name\":\"e1\",\"data_centre\":\"a\",\"kind\":\"engine\"," \
	"\"url\":\"http://127.0.0.1:9001\",\"kv_tokens\":1000,"       \
	"\"model\":\"m\"}"

static const char valid_document[] =
	"{\"version\":7,\"change_id\":\"c1\"," DC "," CLASSES ","
	"\"distances\":[{\"from\":\"a\",\"to\":\"b\",\"rtt_us\":500}],"
	"\"servers\":[" ENGINE "],"
	"\"services\":[{\"name\":\"s\",\"kind\":\"model\",\"model\":\"m\","
	"\"class\":\"quick\"}],"
	"\"accounts\":[{\"name\":\"acme\",\"key_hash\":\"" HASH_A "\","
	"\"classes\":[\"quick\"]}]}";

static void accepts_a_complete_document(void **state)
{
	err_t err = { 0 };
	document_t *document =
		document_parse(valid_document, strlen(valid_document), &err);
	const server_conf_t *server;
	const account_conf_t *account;
	uint8_t hash[KEY_HASH_SIZE_BYTES] = { 0 };

	assert_string_equal(err.message, "");
	assert_non_null(document);
	assert_int_equal(document_version(document), 7);
	assert_string_equal(document_change_id(document), "c1");
	server = document_server(document, "e1");
	assert_non_null(server);
	assert_int_equal(server->max_requests, 64);
	assert_true(document_server_in_service(document, server));
	assert_int_equal(document_rtt_us(document, "b", "a"), 500);
	assert_int_equal(document_limits(document)->retry_percent, 10);
	hash[KEY_HASH_SIZE_BYTES - 1] = 0xaa;
	account = document_account_by_key(document, hash);
	assert_non_null(account);
	assert_true(document_account_may_use_class(account, "quick"));
	assert_false(document_account_may_use_class(account, "other"));
	assert_true(document_account_may_use_service(account, "s"));
	hash[0] = 1;
	assert_null(document_account_by_key(document, hash));
	document_unref(document);
}

/* Guards against an account that may use all services once the last of its own
 * is taken away. */
static void account_without_services_may_use_none(void **state)
{
#define SERVICE(name)                                                \
	"{\"name\":\"" name "\",\"kind\":\"model\",\"model\":\"m\"," \
	"\"class\":\"quick\"}"
	static const struct {
		const char *services;
		bool may_use;
	} cases[] = {
		{ "", true },
		{ ",\"services\":[\"s\"]", true },
		{ ",\"services\":[\"t\"]", false },
		{ ",\"services\":[]", false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char text[1024];
		document_t *document;
		err_t err = { 0 };

		snprintf(
			text, sizeof(text),
			"{\"version\":1," DC "," CLASSES ","
			"\"services\":[" SERVICE("s") "," SERVICE(
				"t") "],"
				     "\"accounts\":[{\"name\":\"acme\",\"key_hash\":"
				     "\"" HASH_A "\"%s}]}",
			cases[i].services);
		document = document_parse(text, strlen(text), &err);
		assert_string_equal(err.message, "");
		if (document_account_may_use_service(
			    document_account_at(document, 0), "s") !=
		    cases[i].may_use)
			fail_msg("case %zu: %s", i, cases[i].services);
		document_unref(document);
	}
}

static const struct {
	const char *text;
	const char *message;
	document_err_t code;
} refused[] = {
	{ "{", "line 1", DOCUMENT_ERR_SYNTAX },
	{ "[]", "document: expected an object", DOCUMENT_ERR_SCHEMA },
	{ "{}", "version:", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":0}", "version:", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"version\":2}", "duplicate", DOCUMENT_ERR_SYNTAX },
	{ "{\"version\":1,\"extra\":2}", "extra: unknown key",
	  DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"data_centres\":{}}", "expected an array",
	  DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"data_centres\":[{\"name\":\"a/b\"}]}",
	  "data_centres[0].name", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"data_centres\":[{\"name\":\"a\"},"
	  "{\"name\":\"a\"}]}",
	  "exists twice", DOCUMENT_ERR_DUPLICATE },
	{ "{\"version\":1," DC ",\"servers\":[{\"name\":\"x\","
	  "\"data_centre\":\"c\",\"kind\":\"plain\","
	  "\"url\":\"http://127.0.0.1:1\"}]}",
	  "no \"c\" in data_centres", DOCUMENT_ERR_REFERENCE },
	{ "{\"version\":1," DC ",\"servers\":[{\"name\":\"x\","
	  "\"data_centre\":\"a\",\"kind\":\"plain\","
	  "\"url\":\"http://example.org:1\"}]}",
	  "servers[0].url", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1," DC ",\"servers\":[{\"name\":\"x\","
	  "\"data_centre\":\"a\",\"kind\":\"engine\","
	  "\"url\":\"http://127.0.0.1:1\"}]}",
	  "needs KV memory", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1," CLASSES ",\"limits\":{\"retry_percent\":101}}",
	  "limits.retry_percent: expected an integer from 0 to 100",
	  DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1," CLASSES ",\"services\":[{\"name\":\"s\","
	  "\"kind\":\"plain\",\"class\":\"quick\"}]}",
	  "needs servers", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1," CLASSES ",\"services\":[{\"name\":\"s\","
	  "\"kind\":\"model\",\"model\":\"m\",\"class\":\"quick\","
	  "\"repeatable\":false}]}",
	  "must be true", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"accounts\":[{\"name\":\"a\","
	  "\"key_hash\":\"abc\"}]}",
	  "64 hexadecimal digits", DOCUMENT_ERR_SCHEMA },
	{ "{\"version\":1,\"accounts\":[{\"name\":\"a\","
	  "\"key_hash\":\"" HASH_B "\"},{\"name\":\"b\","
	  "\"key_hash\":\"" HASH_B "\"}]}",
	  "key_hash: exists twice", DOCUMENT_ERR_DUPLICATE },
};

static void refuses_invalid_documents(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(refused); i++) {
		err_t err = { 0 };
		document_t *document = document_parse(
			refused[i].text, strlen(refused[i].text), &err);

		assert_null(document);
		if (!strstr(err.message, refused[i].message))
			fail_msg("case %zu: \"%s\" lacks \"%s\"", i,
				 err.message, refused[i].message);
		assert_int_equal(err.layer, ERR_LAYER_DOCUMENT);
		assert_int_equal(err.code, refused[i].code);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(account_without_services_may_use_none),
		cmocka_unit_test(accepts_a_complete_document),
		cmocka_unit_test(refuses_invalid_documents),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
