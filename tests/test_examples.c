/**
 * Guards against example files that no longer load because the settings or the
 * document format changed without them.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/mem.h"
#include "cases.h"
#include "process/settings.h"
#include "version/document.h"

static void example_settings_load(void **state)
{
	settings_t settings;
	err_t err = { 0 };

	settings_load("examples/settings.yaml", &settings, &err);
	assert_string_equal(err.message, "");
	assert_string_equal(settings.vm_id, "entry-a1");
	assert_int_equal(settings.drain_notice_ms, 5000);
}

static void example_configuration_loads(void **state)
{
	FILE *file = fopen("examples/configuration.json", "r");
	char *text = mem_calloc(1, 65536);
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	err_t err = { 0 };
	document_t *document;
	size_t size;

	assert_non_null(file);
	size = fread(text, 1, 65535, file);
	fclose(file);
	document = document_parse(text, size, &err);
	assert_string_equal(err.message, "");
	assert_int_equal(document_server_count(document), 3);
	/* The example's bearer key is "key". */
	document_hash_key("key", hash);
	assert_non_null(document_account_by_key(document, hash));
	document_unref(document);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(example_settings_load),
		cmocka_unit_test(example_configuration_loads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
