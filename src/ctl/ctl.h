/**
 * @file ctl.h
 * Shared parts of the command-line tool.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <jansson.h>
#include <stdbool.h>

#include "base/err.h"
#include "process/settings.h"
#include "version/document.h"

/** Exit codes of the tool; also the codes of ERR_LAYER_CTL. */
typedef enum {
	EXIT_OK,
	EXIT_FAILED,
	EXIT_USAGE,
	EXIT_LOST_RACE,
	EXIT_UNREACHABLE
} exit_code_t;

/** What every command gets. */
typedef struct {
	const char *settings_path;
	bool json;
	int argument_count;
	const char **arguments; /**< after the command's words */
} invocation_t;

/** Loads the settings; prints the error and returns false if that fails. */
bool ctl_settings(const invocation_t *invocation, settings_t *settings);

/** Prints one line `chivestage: ...` on standard error. */
void ctl_complain(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

/** Prints a line of a difference; the context is a FILE. */
void ctl_print_line(void *file, const char *text);

/** Prints a JSON value on one line. */
void ctl_print_json(const json_t *json);

/** Reads a file, or standard input for "-"; NULL with a printed error. */
char *ctl_read_file(const char *path, size_t *size_bytes);

exit_code_t command_config_check(const invocation_t *invocation);
exit_code_t command_config_apply(const invocation_t *invocation);
exit_code_t command_config_get(const invocation_t *invocation);
exit_code_t command_config_diff(const invocation_t *invocation);
exit_code_t command_config_schema(const invocation_t *invocation);
exit_code_t command_data_centre_retire(const invocation_t *invocation);
exit_code_t command_data_centre_restore(const invocation_t *invocation);
exit_code_t command_server_retire(const invocation_t *invocation);
exit_code_t command_server_restore(const invocation_t *invocation);
exit_code_t command_service_set(const invocation_t *invocation);
exit_code_t command_service_remove(const invocation_t *invocation);
exit_code_t command_account_set(const invocation_t *invocation);
exit_code_t command_account_remove(const invocation_t *invocation);
exit_code_t command_class_set(const invocation_t *invocation);
exit_code_t command_class_remove(const invocation_t *invocation);
exit_code_t command_status(const invocation_t *invocation);
exit_code_t command_member_list(const invocation_t *invocation);
exit_code_t command_keys(const invocation_t *invocation);

#endif
