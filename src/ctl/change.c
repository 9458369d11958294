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

/* A change between reading the document and the end of its write. */
typedef struct {
	store_t *store;
	json_t *before; /* document in force when it was read */
	int64_t object_version; /* 0: there was none */
	json_t *after;
	char id[CHANGE_ID_SIZE_BYTES];
	bool json;
} change_t;

static int64_t version_of(const json_t *root)
{
	return json_integer_value(json_object_get(root, "version"));
}

static exit_code_t report_success(const change_t *change)
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

static exit_code_t report_race(const change_t *change, const json_t *winner)
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
	ctl_complain("not applied: version %" PRId64 ", change %s, was "
		     "accepted first; it made these changes:",
		     version_of(winner), id ? id : "(none)");
	diff_documents(change->before, winner, ctl_print_line, stderr);
	return EXIT_LOST_RACE;
}

static exit_code_t report_failure(platform_status_t status, const char *doing)
{
	ctl_complain("%s: %s", doing, store_status_text(status));
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

/*
 * Decides by reading back. Returns true when the outcome is certain. An
 * unchanged object leaves it open: the write may still be on its way.
 */
static bool settle(const change_t *change, exit_code_t *code)
{
	store_result_t found = store_get(change->store);
	bool settled = found.status == PLATFORM_OK &&
		       found.version != change->object_version;

	if (settled)
		*code = edit_contains_change(found.spec, change->id)
				? report_success(change)
				: report_race(change, found.spec);
	json_decref(found.spec);
	return settled;
}

/*
 * Writes until the outcome is certain. Repeating the same conditional update
 * is safe: it can take effect only once, since it names the version that it
 * replaces.
 */
static exit_code_t write_change(const change_t *change)
{
	store_result_t written = { .status = PLATFORM_UNSENT };
	exit_code_t code = EXIT_FAILED;
	bool sent = false;
	int i;

	for (i = 0; i < WRITE_ATTEMPTS; i++) {
		if (i)
			store_sleep(change->store, PAUSE_MS);
		written = store_put(change->store, change->object_version,
				    change->after);
		json_decref(written.spec);
		switch (written.status) {
		case PLATFORM_OK:
			return report_success(change);
		case PLATFORM_REFUSED:
			return report_failure(written.status, "not applied");
		case PLATFORM_UNKNOWN:
			sent = true;
			break;
		case PLATFORM_EXISTS:
		case PLATFORM_CONFLICT:
		case PLATFORM_NOT_FOUND:
		case PLATFORM_BUDGET:
		case PLATFORM_UNSENT:
			break;
		}
		if (settle(change, &code))
			return code;
	}
	return report_failure(written.status, sent ? "outcome unknown, run "
						     "config get later"
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
		ctl_complain("not applied: %s", err.message);
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
		ctl_complain("%s", err.message);
		return EXIT_FAILED;
	}
	found = store_get(change.store);
	if (found.status == PLATFORM_OK || found.status == PLATFORM_NOT_FOUND) {
		change.before = found.spec ? found.spec : json_object();
		change.object_version = found.version;
		code = edit_and_write(&change, edit, context);
	} else {
		code = report_failure(found.status, "configuration");
	}
	json_decref(change.before);
	json_decref(change.after);
	store_destroy(change.store);
	return code;
}
