#include "ctl/change.h"
#include "version/assign.h"
#include "version/edit.h"

/** Edit of one item of a section, as given on the command line. */
typedef struct {
	section_id_t section;
	const char *name;
	bool retired; /**< new value, for set_retired() */
	int value_count;
	const char **values; /**< KEY=VALUE, for set_item() */
} item_edit_t;

/** Takes an item out of service, or puts it back. */
static bool set_retired(void *context, json_t *root, err_t *err)
{
	const item_edit_t *edit = context;

	return edit_retire(root, sections[edit->section].key, edit->name,
			   edit->retired, err);
}

static bool remove_item(void *context, json_t *root, err_t *err)
{
	const item_edit_t *edit = context;

	return edit_remove(root, sections[edit->section].key, edit->name, err);
}

/** Creates an item or changes keys of an existing one. */
static bool set_item(void *context, json_t *root, err_t *err)
{
	const item_edit_t *edit = context;
	const json_t *found =
		edit_find(root, sections[edit->section].key, edit->name);
	json_t *item = found ? json_deep_copy(found)
			     : json_pack("{s:s}", "name", edit->name);
	bool set = true;
	int i;

	for (i = 0; set && i < edit->value_count; i++)
		set = assign_value(item, &sections[edit->section],
				   edit->values[i], err);
	if (set)
		set = edit_set(root, sections[edit->section].key, item, err);
	json_decref(item);
	return set;
}

static exit_code_t run_edit(const invocation_t *invocation,
			    section_id_t section, change_edit_t change,
			    bool retired)
{
	item_edit_t edit = {
		.section = section,
		.name = invocation->arguments[0],
		.retired = retired,
		.value_count = invocation->argument_count - 1,
		.values = invocation->arguments + 1,
	};

	return change_run(invocation, change, &edit);
}

exit_code_t command_data_centre_retire(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_DATA_CENTRES, set_retired, true);
}

exit_code_t command_data_centre_restore(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_DATA_CENTRES, set_retired, false);
}

exit_code_t command_server_retire(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_SERVERS, set_retired, true);
}

exit_code_t command_server_restore(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_SERVERS, set_retired, false);
}

exit_code_t command_service_set(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_SERVICES, set_item, false);
}

exit_code_t command_service_remove(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_SERVICES, remove_item, false);
}

exit_code_t command_account_set(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_ACCOUNTS, set_item, false);
}

exit_code_t command_account_remove(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_ACCOUNTS, remove_item, false);
}

exit_code_t command_class_set(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_CLASSES, set_item, false);
}

exit_code_t command_class_remove(const invocation_t *invocation)
{
	return run_edit(invocation, SECTION_CLASSES, remove_item, false);
}
