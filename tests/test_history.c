/** The history writer: guards against lines that the checker cannot read. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/history.h"
#include "cases.h"

static const struct {
	const char *fields;
	const char *json; /**< what the line has to contain */
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
		json_t *expected = json_loads(cases[i].json, 0, NULL), *found;

		assert_true(getline(&line, &capacity, file) > 0);
		found = json_loads(line, 0, NULL);
		assert_non_null(found);
		assert_true(json_is_integer(json_object_get(found, "t_us")));
		json_object_del(found, "t_us");
		json_object_set_new(expected, "who", json_string("n1"));
		json_object_set_new(expected, "event", json_string("test"));
		if (!json_equal(found, expected))
			fail_msg("case %zu: %s", i, line);
		json_decref(found);
		json_decref(expected);
	}
	assert_true(getline(&line, &capacity, file) < 0);
	free(line);
	fclose(file);
	unlink(path);
}

static void refuses_a_path_that_cannot_be_opened(void **state)
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
		cmocka_unit_test(refuses_a_path_that_cannot_be_opened),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
