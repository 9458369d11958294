#include <popt.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

typedef struct {
	const char *group; /**< first word; NULL: a command of one word */
	const char *verb; /**< last word */
	const char *arguments; /**< arguments as the usage message shows them */
	int min_arguments;
	int max_arguments; /**< -1: any number */
	exit_code_t (*run)(const invocation_t *invocation);
	const char *help;
} command_t;

static const command_t commands[] = {
	{ "config", "check", "FILE", 1, 1, command_config_check,
	  "validate a document" },
	{ "config", "apply", "FILE", 1, 1, command_config_apply,
	  "put a document in force" },
	{ "config", "get", "", 0, 0, command_config_get,
	  "print the document in force" },
	{ "config", "diff", "FILE", 1, 1, command_config_diff,
	  "compare a document with the one in force" },
	{ "config", "schema", "", 0, 0, command_config_schema,
	  "print the JSON Schema of documents" },
	{ "data-centre", "retire", "NAME", 1, 1, command_data_centre_retire,
	  "take a data centre out of service" },
	{ "data-centre", "restore", "NAME", 1, 1, command_data_centre_restore,
	  "put a data centre back into service" },
	{ "server", "retire", "NAME", 1, 1, command_server_retire,
	  "take a backend server out of service" },
	{ "server", "restore", "NAME", 1, 1, command_server_restore,
	  "put a backend server back into service" },
	{ "service", "set", "NAME KEY=VALUE...", 2, -1, command_service_set,
	  "create or change a service" },
	{ "service", "remove", "NAME", 1, 1, command_service_remove,
	  "remove a service" },
	{ "account", "set", "NAME KEY=VALUE...", 2, -1, command_account_set,
	  "create or change a client account" },
	{ "account", "remove", "NAME", 1, 1, command_account_remove,
	  "remove a client account" },
	{ "class", "set", "NAME KEY=VALUE...", 2, -1, command_class_set,
	  "create or change a priority class" },
	{ "class", "remove", "NAME", 1, 1, command_class_remove,
	  "remove a priority class" },
	{ NULL, "status", "", 0, 0, command_status, "print a node's status" },
	{ "member", "list", "", 0, 0, command_member_list,
	  "print the members that a node knows" },
	{ NULL, "explain", "ADDRESS KEY=VALUE...", 2, -1, command_explain,
	  "show where a request would be placed" },
	{ NULL, "keys", "", 0, 0, command_keys,
	  "generate a key pair for connections between nodes" },
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

static const char default_settings_path[] = "/etc/chivestage/settings.yaml";

static void print_help(FILE *out)
{
	size_t i;

	fprintf(out, "usage: chivestage [-c SETTINGS] [--json] COMMAND\n\n");
	for (i = 0; i < COMMAND_COUNT; i++) {
		char usage[64];

		snprintf(usage, sizeof(usage), "%s%s%s %s",
			 commands[i].group ? commands[i].group : "",
			 commands[i].group ? " " : "", commands[i].verb,
			 commands[i].arguments);
		fprintf(out, "  %-32s %s\n", usage, commands[i].help);
	}
	fprintf(out,
		"\nFILE may be - for standard input. See chivestage(1).\n");
}

void ctl_error(const char *format, ...)
{
	va_list args;

	fprintf(stderr, "chivestage: ");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, "\n");
}

/**
 * Finds the command that the first words name.
 * @param word_count set to the number of these words
 * @return NULL if no command has this name
 */
static const command_t *find_command(const char **words, int count,
				     int *word_count)
{
	size_t i;

	for (i = 0; i < COMMAND_COUNT; i++) {
		const command_t *command = &commands[i];

		*word_count = command->group ? 2 : 1;
		if (count < *word_count)
			continue;
		if (command->group && strcmp(command->group, words[0]) != 0)
			continue;
		if (!strcmp(command->verb, words[*word_count - 1]))
			return command;
	}
	return NULL;
}

static exit_code_t run_command(invocation_t *invocation, const char **words,
			       int count)
{
	const command_t *command;
	int word_count;

	if (!count) {
		print_help(stderr);
		return EXIT_USAGE;
	}
	command = find_command(words, count, &word_count);
	if (!command) {
		ctl_error("unknown command \"%s%s%s\"; see chivestage "
			  "--help",
			  words[0], count > 1 ? " " : "",
			  count > 1 ? words[1] : "");
		return EXIT_USAGE;
	}
	invocation->arguments = words + word_count;
	invocation->argument_count = count - word_count;
	if (invocation->argument_count < command->min_arguments ||
	    (command->max_arguments >= 0 &&
	     invocation->argument_count > command->max_arguments)) {
		ctl_error("usage: chivestage %s%s%s %s",
			  command->group ? command->group : "",
			  command->group ? " " : "", command->verb,
			  command->arguments);
		return EXIT_USAGE;
	}
	return command->run(invocation);
}

/** @return false after printing the error if an option is invalid */
static bool read_options(poptContext context)
{
	int status = poptGetNextOpt(context);

	if (status >= -1)
		return true;
	ctl_error("%s: %s", poptBadOption(context, 0), poptStrerror(status));
	return false;
}

int main(int argc, const char **argv)
{
	char *settings_path = NULL;
	int json = 0, help = 0, count = 0;
	const struct poptOption options[] = {
		{ "settings", 'c', POPT_ARG_STRING, &settings_path, 0, NULL,
		  NULL },
		{ "json", 0, POPT_ARG_NONE, &json, 0, NULL, NULL },
		{ "help", 'h', POPT_ARG_NONE, &help, 0, NULL, NULL },
		POPT_TABLEEND
	};
	invocation_t invocation = { 0 };
	poptContext context =
		poptGetContext("chivestage", argc, argv, options, 0);
	exit_code_t code = EXIT_USAGE;
	const char **words;

	if (sodium_init() < 0) {
		ctl_error("cannot initialise libsodium");
		code = EXIT_FAILED;
	} else if (read_options(context)) {
		words = poptGetArgs(context);
		while (words && words[count])
			count++;
		invocation.settings_path =
			settings_path ? settings_path : default_settings_path;
		invocation.json = json;
		if (help)
			print_help(stdout);
		code = help ? EXIT_OK : run_command(&invocation, words, count);
	}
	poptFreeContext(context);
	free(settings_path);
	return code;
}
