/**
 * Edits, key=value assignments, differences and the JSON Schema of a
 * configuration document. Guards against an edit that changes more or less than
 * requested, and against an edit that yields an invalid document without an
 * error.
 */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "version/assign.h"
#include "version/diff.h"
#include "version/edit.h"
#include "version/schema.h"

static const char base[] =
	"{\"version\":1,\"change_id\":\"first\","
	"\"data_centres\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
	"\"classes\":[{\"name\":\"quick\",\"deadline_ms\":5000}],"
	"\"servers\":[{\"name\":\"p1\",\"data_centre\":\"a\","
	"\"kind\":\"plain\",\"url\":\"http://127.0.0.1:1\"}],"
	"\"services\":[{\"name\":\"jobs\",\"kind\":\"plain\","
	"\"class\":\"quick\",\"servers\":[\"p1\"]}]}";

typedef enum { RETIRE, RESTORE, REMOVE, SET } edit_type_t;

/*
 * Each edit, applied to `base`, gives either an error with `message` or the
 * lines of `diff`; the other is NULL.
 */
static const struct {
	edit_type_t type;
	const char *section;
	const char *name;
	const char *item;
	const char *message;
	const char *diff;
} edits[] = {
	{ RETIRE, "data_centres", "a", NULL, NULL,
	  "~ data_centres a retired: (none) -> true\n" },
	{ RESTORE, "servers", "p1", NULL, NULL,
	  "~ servers p1 retired: (none) -> false\n" },
	{ RETIRE, "data_centres", "c", NULL, "data_centres: no \"c\"", NULL },
	{ REMOVE, "services", "jobs", NULL, NULL, "- services jobs\n" },
	{ REMOVE, "data_centres", "a", NULL, "no \"a\" in data_centres", NULL },
	{ REMOVE, "accounts", "x", NULL, "accounts: no \"x\"", NULL },
	{ SET, "classes", NULL, "{\"name\":\"slow\",\"deadline_ms\":60000}",
	  NULL, "+ classes slow\n" },
	{ SET, "classes", NULL, "{\"name\":\"quick\",\"deadline_ms\":6000}",
	  NULL, "~ classes quick deadline_ms: 5000 -> 6000\n" },
	{ SET, "classes", NULL, "{\"name\":\"quick\"}", "deadline_ms: missing",
	  NULL },
	{ SET, "classes", NULL, "{}", "the item has no name", NULL },
};

enum { DIFF_SIZE_BYTES = 1024 };

static void append_line(void *context, const char *text)
{
	char *diff = context;
	size_t length = strlen(diff);

	snprintf(diff + length, DIFF_SIZE_BYTES - length, "%s\n", text);
}

static bool apply_edit(size_t i, json_t *root, err_t *err)
{
	json_t *item;
	bool applied;

	switch (edits[i].type) {
	case RETIRE:
	case RESTORE:
		return edit_retire(root, edits[i].section, edits[i].name,
				   edits[i].type == RETIRE, err);
	case REMOVE:
		return edit_remove(root, edits[i].section, edits[i].name, err);
	case SET:
		item = json_loads(edits[i].item, 0, NULL);
		applied = edit_set(root, edits[i].section, item, err);
		json_decref(item);
		return applied;
	}
	return false;
}

static void edits_yield_a_valid_document(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(edits); i++) {
		json_t *before = json_loads(base, 0, NULL);
		json_t *root = json_deep_copy(before);
		document_t *document = NULL;
		char diff[DIFF_SIZE_BYTES] = "";
		err_t err = { 0 };

		if (apply_edit(i, root, &err))
			document = edit_finish(root, 2, "second", &err);
		if (edits[i].message) {
			assert_null(document);
			if (!strstr(err.message, edits[i].message))
				fail_msg("case %zu: \"%s\"", i, err.message);
		} else {
			if (!document)
				fail_msg("case %zu: %s", i, err.message);
			diff_documents(before, root, append_line, diff);
			assert_string_equal(diff, edits[i].diff);
			assert_int_equal(document_version(document), 2);
			assert_true(edit_contains_change(root, "first"));
			assert_true(edit_contains_change(root, "second"));
			assert_false(edit_contains_change(root, "third"));
		}
		document_unref(document);
		json_decref(root);
		json_decref(before);
	}
}

/*
 * Guards against a list of recent changes that grows with each change until the
 * document reaches its size limit.
 */
static void recent_changes_are_bounded(void **state)
{
	json_t *root = json_loads(base, 0, NULL);
	char id[16];
	int i;

	for (i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "change-%d", i);
		document_unref(edit_finish(root, 2 + i, id, NULL));
	}
	assert_int_equal(
		json_array_size(json_object_get(root, "recent_changes")),
		EDIT_RECENT_CHANGES_MAX);
	assert_true(edit_contains_change(root, "change-67"));
	assert_false(edit_contains_change(root, "change-66"));
	json_decref(root);
}

static const struct {
	section_id_t section;
	const char *text;
	const char *json; /* item after the assignment; NULL: refused */
} assignments[] = {
	{ SECTION_CLASSES, "priority=7", "{\"priority\":7}" },
	{ SECTION_CLASSES, "priority=", "{}" },
	{ SECTION_CLASSES, "priority=high", NULL },
	{ SECTION_CLASSES, "priority", NULL },
	{ SECTION_CLASSES, "colour=red", NULL },
	{ SECTION_CLASSES, "name=other", NULL },
	{ SECTION_SERVICES, "repeatable=false", "{\"repeatable\":false}" },
	{ SECTION_SERVICES, "repeatable=no", NULL },
	{ SECTION_SERVICES, "servers=a,b", "{\"servers\":[\"a\",\"b\"]}" },
	{ SECTION_ACCOUNTS, "key=", NULL },
	/* BLAKE2b-256 of "secret" as printed by b2sum -l 256 */
	{ SECTION_ACCOUNTS, "key=secret",
	  "{\"key_hash\":\"ae4aafb3c7d8616b739f05a30d06b4e2"
	  "236fdea712168159f346e8a3efd57d9e\"}" },
};

static void assigns_values_by_type(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(assignments); i++) {
		json_t *item = json_object();
		json_t *expected =
			assignments[i].json
				? json_loads(assignments[i].json, 0, NULL)
				: NULL;
		bool assigned = assign_value(item,
					     &sections[assignments[i].section],
					     assignments[i].text, NULL);

		assert_int_equal(assigned, expected != NULL);
		if (assigned && !json_equal(item, expected))
			fail_msg("case %zu", i);
		json_decref(item);
		json_decref(expected);
	}
}

/*
 * An operator's console generates its forms from the schema: a key that the
 * schema lacks could not be edited there.
 */
static void schema_has_every_key(void **state)
{
	json_t *schema = schema_create();
	json_t *properties = json_object_get(schema, "properties");
	size_t f;
	int id;

	for (id = 0; id < SECTION_COUNT; id++) {
		json_t *items = json_object_get(
			json_object_get(properties, sections[id].key), "items");

		for (f = 0; f < sections[id].field_count; f++)
			assert_non_null(json_object_get(
				json_object_get(items, "properties"),
				sections[id].fields[f].key));
	}
	assert_non_null(json_object_get(properties, limits_section.key));
	json_decref(schema);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(edits_yield_a_valid_document),
		cmocka_unit_test(recent_changes_are_bounded),
		cmocka_unit_test(assigns_values_by_type),
		cmocka_unit_test(schema_has_every_key),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
