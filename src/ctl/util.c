#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "ctl/ctl.h"

bool ctl_settings(const invocation_t *invocation, settings_t *settings)
{
	err_t err = { 0 };

	if (settings_load_tool(invocation->settings_path, settings, &err))
		return true;
	ctl_error("%s", err.message);
	return false;
}

void ctl_print_line(void *file, const char *text)
{
	fprintf(file, "%s\n", text);
}

void ctl_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
	putchar('\n');
}

static char *read_all(FILE *file, size_t *size_bytes)
{
	char *text = mem_calloc(DOCUMENT_SIZE_MAX_BYTES + 2, 1);

	/* Reads at most one byte above the size limit of documents, so that
	 * document_parse() refuses a longer file. */
	*size_bytes = fread(text, 1, DOCUMENT_SIZE_MAX_BYTES + 1, file);
	return text;
}

char *ctl_read_file(const char *path, size_t *size_bytes)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text;

	if (!file) {
		ctl_error("%s: %s", path, strerror(errno));
		return NULL;
	}
	text = read_all(file, size_bytes);
	if (ferror(file)) {
		ctl_error("%s: %s", path, strerror(errno));
		free(text);
		text = NULL;
	}
	if (file != stdin)
		fclose(file);
	return text;
}
