#include "ctl/change.h"
#include "version/assign.h"
#include "version/edit.h"

/* One edit of one item, as given on the command line. */
typedef struct {
	section_id_t section;
	const char *name;
	bool retired;
	int value_count;
	const char **values;
} item_edit_t;

static bool retire(void *context, json_t *root, err_t *err)
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

static exit_code_t run(const invocation_t *invocation, section_id_t section,
		       change_edit_t change, bool retired)
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
	return run(invocation, SECTION_DATA_CENTRES, retire, true);
}

exit_code_t command_data_centre_restore(const invocation_t *invocation)
{
	return run(invocation, SECTION_DATA_CENTRES, retire, false);
}

exit_code_t command_server_retire(const invocation_t *invocation)
{
	return run(invocation, SECTION_SERVERS, retire, true);
}

exit_code_t command_server_restore(const invocation_t *invocation)
{
	return run(invocation, SECTION_SERVERS, retire, false);
}

exit_code_t command_service_set(const invocation_t *invocation)
{
	return run(invocation, SECTION_SERVICES, set_item, false);
}

exit_code_t command_service_remove(const invocation_t *invocation)
{
	return run(invocation, SECTION_SERVICES, remove_item, false);
}

exit_code_t command_account_set(const invocation_t *invocation)
{
	return run(invocation, SECTION_ACCOUNTS, set_item, false);
}

exit_code_t command_account_remove(const invocation_t *invocation)
{
	return run(invocation, SECTION_ACCOUNTS, remove_item, false);
}

exit_code_t command_class_set(const invocation_t *invocation)
{
	return run(invocation, SECTION_CLASSES, set_item, false);
}

exit_code_t command_class_remove(const invocation_t *invocation)
{
	return run(invocation, SECTION_CLASSES, remove_item, false);
}
