/**
 * Guards against lines of the test history that are not valid JSON, or that
 * give a value another type, so that the history checker cannot read them.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/history.h"
#include "cases.h"

static const struct {
	const char *fields;
	const char *json; /**< fields of the line without t_us, who and event */
} cases[] = {
	{ "a=1 b=-20", "{\"a\":1,\"b\":-20}" },
	{ "a=007 b=1x", "{\"a\":\"007\",\"b\":\"1x\"}" },
	{ "a=9999999999999999999", "{\"a\":\"9999999999999999999\"}" },
	{ "a=\"two words\" b=", "{\"a\":\"two words\",\"b\":\"\"}" },
	{ "a=\\ b=\"1\"", "{\"a\":\"\\\\\",\"b\":\"1\"}" },
	{ "a=\"open", "{\"a\":\"open\"}" },
	{ "a=x\ty b", "{\"a\":\"x?y\"}" },
};

static void writes_one_object_per_event(void **state)
{
	char path[] = "/tmp/chivestage-history.XXXXXX", *line = NULL;
	size_t i, capacity = 0;
	err_t err = { 0 };
	FILE *file;

	close(mkstemp(path));
	history_event("unseen", "a=%d", 1);
	assert_true(history_open(path, "n1", &err));
	for (i = 0; i < COUNT_OF(cases); i++)
		history_event("test", "%s", cases[i].fields);
	history_close();
	file = fopen(path, "r");
	assert_non_null(file);
	for (i = 0; i < COUNT_OF(cases); i++) {
		json_t *expected = json_loads(cases[i].json, 0, NULL), *actual;

		assert_true(getline(&line, &capacity, file) > 0);
		actual = json_loads(line, 0, NULL);
		assert_non_null(actual);
		assert_true(json_is_integer(json_object_get(actual, "t_us")));
		json_object_del(actual, "t_us");
		json_object_set_new(expected, "who", json_string("n1"));
		json_object_set_new(expected, "event", json_string("test"));
		if (!json_equal(actual, expected))
			fail_msg("case %zu: %s", i, line);
		json_decref(actual);
		json_decref(expected);
	}
	assert_true(getline(&line, &capacity, file) < 0);
	free(line);
	fclose(file);
	unlink(path);
}

static void fails_if_the_file_cannot_be_opened(void **state)
{
	err_t err = { 0 };

	assert_false(history_open("/nowhere/file", "n1", &err));
	assert_int_equal(err.code, HISTORY_ERR_OPEN);
	assert_non_null(strstr(err.message, "/nowhere/file"));
	assert_true(history_open("", "n1", &err));
	assert_false(history_is_open);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(writes_one_object_per_event),
		cmocka_unit_test(fails_if_the_file_cannot_be_opened),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
