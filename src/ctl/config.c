#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/change.h"
#include "ctl/store.h"
#include "version/diff.h"
#include "version/schema.h"

/** @return the document in a file; NULL after printing the error */
static document_t *read_document(const char *path)
{
	document_t *document;
	err_t err = { 0 };
	size_t size_bytes;
	char *text = ctl_read_file(path, &size_bytes);

	if (!text)
		return NULL;
	document = document_parse(text, size_bytes, &err);
	free(text);
	if (!document)
		ctl_error("%s: %s", path, err.message);
	return document;
}

static json_t *document_json(const document_t *document)
{
	return json_loads(document_text(document), 0, NULL);
}

exit_code_t command_config_check(const invocation_t *invocation)
{
	document_t *document = read_document(invocation->arguments[0]);

	if (!document)
		return EXIT_FAILED;
	printf("valid, version %" PRId64 "\n", document_version(document));
	document_unref(document);
	return EXIT_OK;
}

/**
 * Replaces the whole document by the document of a file; a change_edit_t
 * callback. The version in the file is the version that the file was edited
 * from. If another version is in force, the file is refused, because it would
 * undo later changes.
 * @param context document of the file, as JSON
 */
static bool replace_document(void *context, json_t *root, err_t *err)
{
	json_t *replacement = context;
	json_int_t base =
		json_integer_value(json_object_get(replacement, "version"));
	json_int_t current =
		json_integer_value(json_object_get(root, "version"));
	json_t *previous_id = json_incref(json_object_get(root, "change_id"));
	json_t *recent_ids =
		json_incref(json_object_get(root, "recent_changes"));

	if (current && base != current) {
		json_decref(previous_id);
		json_decref(recent_ids);
		return err_set(err, ERR_LAYER_CTL, EXIT_LOST_RACE,
			       "the file was made from version %lld, but "
			       "version %lld is in force; see config diff",
			       (long long)base, (long long)current);
	}
	json_object_clear(root);
	json_object_update(root, replacement);
	json_object_del(root, "change_id");
	json_object_del(root, "recent_changes");
	if (previous_id)
		json_object_set_new(root, "change_id", previous_id);
	if (recent_ids)
		json_object_set_new(root, "recent_changes", recent_ids);
	return true;
}

exit_code_t command_config_apply(const invocation_t *invocation)
{
	document_t *document = read_document(invocation->arguments[0]);
	exit_code_t code;
	json_t *json;

	if (!document)
		return EXIT_FAILED;
	json = document_json(document);
	code = change_run(invocation, replace_document, json);
	json_decref(json);
	document_unref(document);
	return code;
}

/**
 * Reads the document in force.
 * @param spec set to the document, for json_decref()
 * @param code set to the exit code for the error
 * @return false after printing the error
 */
static bool fetch_document(const invocation_t *invocation, json_t **spec,
			   exit_code_t *code)
{
	store_result_t found;
	settings_t settings;
	store_t *store;
	err_t err = { 0 };

	*code = EXIT_FAILED;
	if (!ctl_settings(invocation, &settings))
		return false;
	store = store_create(&settings, &err);
	if (!store) {
		ctl_error("%s", err.message);
		return false;
	}
	found = store_get(store);
	store_destroy(store);
	if (found.status == PLATFORM_OK) {
		*spec = found.spec;
		return true;
	}
	ctl_error("%s", store_status_text(found.status));
	if (found.status != PLATFORM_NOT_FOUND &&
	    found.status != PLATFORM_REFUSED)
		*code = EXIT_UNREACHABLE;
	return false;
}

exit_code_t command_config_get(const invocation_t *invocation)
{
	json_t *spec = NULL;
	exit_code_t code;

	if (!fetch_document(invocation, &spec, &code))
		return code;
	json_dumpf(spec, stdout,
		   (invocation->json ? JSON_COMPACT : JSON_INDENT(2)) |
			   JSON_SORT_KEYS);
	putchar('\n');
	json_decref(spec);
	return EXIT_OK;
}

/** Appends a line of a difference to a JSON array. */
static void append_line(void *context, const char *text)
{
	json_array_append_new(context, json_string(text));
}

exit_code_t command_config_diff(const invocation_t *invocation)
{
	document_t *document = read_document(invocation->arguments[0]);
	json_t *spec = NULL, *json, *lines;
	exit_code_t code;

	if (!document)
		return EXIT_FAILED;
	if (!fetch_document(invocation, &spec, &code)) {
		document_unref(document);
		return code;
	}
	json = document_json(document);
	if (invocation->json) {
		lines = json_array();
		diff_documents(spec, json, append_line, lines);
		ctl_print_json(lines);
		json_decref(lines);
	} else {
		diff_documents(spec, json, ctl_print_line, stdout);
	}
	json_decref(json);
	json_decref(spec);
	document_unref(document);
	return EXIT_OK;
}

exit_code_t command_config_schema(const invocation_t *invocation)
{
	json_t *schema = schema_create();

	json_dumpf(schema, stdout,
		   invocation->json ? JSON_COMPACT : JSON_INDENT(2));
	putchar('\n');
	json_decref(schema);
	return EXIT_OK;
}
