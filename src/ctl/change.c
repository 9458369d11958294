#include "ctl/change.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/store.h"
#include "version/diff.h"
#include "version/edit.h"

enum {
	WRITE_ATTEMPTS = 5,
	PAUSE_MS = 200,
	CHANGE_ID_BYTES = 16,
	CHANGE_ID_SIZE_BYTES = 2 * CHANGE_ID_BYTES + 1
};

/** A change, from reading the document until the outcome is known. */
typedef struct {
	store_t *store;
	json_t *before; /**< document that was read; empty: none in force */
	int64_t object_version; /**< revision of the object that was read; 0: no
				   object */
	json_t *after; /**< edited document */
	char id[CHANGE_ID_SIZE_BYTES]; /**< change id, random hex digits */
	bool json; /**< print the result as JSON */
} change_t;

static int64_t version_of(const json_t *root)
{
	return json_integer_value(json_object_get(root, "version"));
}

static exit_code_t print_success(const change_t *change)
{
	if (change->json) {
		json_t *result =
			json_pack("{s:b,s:I,s:s}", "accepted", 1, "version",
				  (json_int_t)version_of(change->after),
				  "change_id", change->id);

		ctl_print_json(result);
		json_decref(result);
		return EXIT_OK;
	}
	printf("version %" PRId64 " accepted, change %s\n",
	       version_of(change->after), change->id);
	diff_documents(change->before, change->after, ctl_print_line, stdout);
	return EXIT_OK;
}

/** @param winner document that was accepted instead */
static exit_code_t print_lost_race(const change_t *change, const json_t *winner)
{
	const char *id =
		json_string_value(json_object_get(winner, "change_id"));

	if (change->json) {
		json_t *result = json_pack("{s:b,s:s,s:I,s:s}", "accepted", 0,
					   "code", "lost_race",
					   "winner_version",
					   (json_int_t)version_of(winner),
					   "winner_change_id", id ? id : "");

		ctl_print_json(result);
		json_decref(result);
	}
	ctl_error("not applied: version %" PRId64 ", change %s, was "
		  "accepted first; it made these changes:",
		  version_of(winner), id ? id : "(none)");
	diff_documents(change->before, winner, ctl_print_line, stderr);
	return EXIT_LOST_RACE;
}

/** @param action what failed, as the start of the error message */
static exit_code_t print_failure(platform_status_t status, const char *action)
{
	ctl_error("%s: %s", action, store_status_text(status));
	switch (status) {
	case PLATFORM_UNSENT:
	case PLATFORM_UNKNOWN:
	case PLATFORM_BUDGET:
		return EXIT_UNREACHABLE;
	case PLATFORM_EXISTS:
	case PLATFORM_CONFLICT:
		return EXIT_LOST_RACE;
	case PLATFORM_OK:
	case PLATFORM_NOT_FOUND:
	case PLATFORM_REFUSED:
		break;
	}
	return EXIT_FAILED;
}

/**
 * Reads the object again to find out whether the change was accepted, and
 * prints the result. An unchanged object proves nothing: the write may still
 * take effect.
 * @param code set to the exit code if the outcome is certain
 * @return true if the outcome is certain
 */
static bool find_outcome(const change_t *change, exit_code_t *code)
{
	store_result_t found = store_get(change->store);
	bool certain = found.status == PLATFORM_OK &&
		       found.version != change->object_version;

	if (certain)
		*code = edit_contains_change(found.spec, change->id)
				? print_success(change)
				: print_lost_race(change, found.spec);
	json_decref(found.spec);
	return certain;
}

/**
 * Writes the edited document, up to WRITE_ATTEMPTS times, until the outcome is
 * certain, and prints the result. Repeating the same conditional update is
 * safe: the update names the version that it replaces, so it can take effect
 * only once.
 */
static exit_code_t write_change(const change_t *change)
{
	store_result_t written = { .status = PLATFORM_UNSENT };
	exit_code_t code = EXIT_FAILED;
	bool may_be_written = false;
	int i;

	for (i = 0; i < WRITE_ATTEMPTS; i++) {
		if (i)
			store_sleep(change->store, PAUSE_MS);
		written = store_put(change->store, change->object_version,
				    change->after);
		json_decref(written.spec);
		switch (written.status) {
		case PLATFORM_OK:
			return print_success(change);
		case PLATFORM_REFUSED:
			return print_failure(written.status, "not applied");
		case PLATFORM_UNKNOWN:
			may_be_written = true;
			break;
		case PLATFORM_EXISTS:
		case PLATFORM_CONFLICT:
		case PLATFORM_NOT_FOUND:
		case PLATFORM_BUDGET:
		case PLATFORM_UNSENT:
			break;
		}
		if (find_outcome(change, &code))
			return code;
	}
	return print_failure(written.status,
			     may_be_written
				     ? "outcome unknown; check later with "
				       "config get"
				     : "not applied");
}

static void make_change_id(char id[CHANGE_ID_SIZE_BYTES])
{
	uint8_t bytes[CHANGE_ID_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(id, CHANGE_ID_SIZE_BYTES, bytes, sizeof(bytes));
}

static exit_code_t edit_and_write(change_t *change, change_edit_t edit,
				  void *context)
{
	document_t *document = NULL;
	err_t err = { 0 };

	change->after = json_deep_copy(change->before);
	make_change_id(change->id);
	if (edit(context, change->after, &err))
		document = edit_finish(change->after,
				       version_of(change->before) + 1,
				       change->id, &err);
	if (!document) {
		ctl_error("not applied: %s", err.message);
		return err.layer == ERR_LAYER_CTL ? (exit_code_t)err.code
						  : EXIT_FAILED;
	}
	document_unref(document);
	return write_change(change);
}

exit_code_t change_run(const invocation_t *invocation, change_edit_t edit,
		       void *context)
{
	change_t change = { .json = invocation->json };
	store_result_t found;
	settings_t settings;
	exit_code_t code;
	err_t err = { 0 };

	if (!ctl_settings(invocation, &settings))
		return EXIT_FAILED;
	change.store = store_create(&settings, &err);
	if (!change.store) {
		ctl_error("%s", err.message);
		return EXIT_FAILED;
	}
	found = store_get(change.store);
	if (found.status == PLATFORM_OK || found.status == PLATFORM_NOT_FOUND) {
		change.before = found.spec ? found.spec : json_object();
		change.object_version = found.version;
		code = edit_and_write(&change, edit, context);
	} else {
		code = print_failure(found.status, "configuration");
	}
	json_decref(change.before);
	json_decref(change.after);
	store_destroy(change.store);
	return code;
}
