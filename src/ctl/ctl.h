/**
 * @file ctl.h
 * Declarations shared by the files of the command-line tool.
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
	EXIT_FAILED, /**< invalid input, or refused by the platform */
	EXIT_USAGE, /**< invalid command line */
	EXIT_LOST_RACE, /**< another change was accepted first */
	EXIT_UNREACHABLE /**< no answer from the platform or the node */
} exit_code_t;

/** Command line of one run, as the commands get it. */
typedef struct {
	const char *settings_path;
	bool json; /**< print results as JSON */
	int argument_count;
	const char **arguments; /**< arguments after the command's own words */
} invocation_t;

/**
 * Loads the settings.
 * @return false after printing the error
 */
bool ctl_settings(const invocation_t *invocation, settings_t *settings);

/** Prints an error as one line `chivestage: ...` on standard error. */
void ctl_error(const char *format, ...) __attribute__((format(printf, 1, 2)));

/**
 * Prints a line of a difference; a callback for diff_documents().
 * @param file FILE to print to
 */
void ctl_print_line(void *file, const char *text);

/** Prints a JSON value on one line. */
void ctl_print_json(const json_t *json);

/**
 * Reads a file. Of a file above DOCUMENT_SIZE_MAX_BYTES, only one byte more
 * than the limit is read.
 * @param path       path of the file; "-": standard input
 * @param size_bytes set to the number of bytes read
 * @return text that the caller frees; NULL after printing the error
 */
char *ctl_read_file(const char *path, size_t *size_bytes);

/** A request to a node. */
typedef struct {
	const char *url;
	const char *address; /**< of the node, for messages */
	const char *header; /**< "Name: value"; NULL: none */
	const char *ca_path; /**< NULL: no TLS */
	bool shows_errors; /**< the text of an error says what is wrong */
} ctl_fetch_t;

/**
 * Reads JSON from a node.
 * @param code set to the exit code for the error
 * @return NULL after printing the error
 */
json_t *ctl_fetch_json(const ctl_fetch_t *wanted, exit_code_t *code);

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
exit_code_t command_explain(const invocation_t *invocation);
exit_code_t command_keys(const invocation_t *invocation);

#endif
