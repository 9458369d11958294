/**
 * Configuration documents. Oracle: a refusal names what is wrong; what was
 * accepted is read again from its own text, and gives the same text.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "version/document.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool rule, const char *name)
{
	if (rule)
		return;
	fprintf(stderr, "broken: %s\n", name);
	abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	err_t err = { 0 };
	document_t *document, *again;
	const char *text;

	document = document_parse((const char *)data, size, &err);
	if (!document) {
		check(err.layer == ERR_LAYER_DOCUMENT && err.message[0],
		      "a refusal names what is wrong");
		return 0;
	}
	check(document_version(document) > 0, "a version");
	text = document_text(document);
	again = document_parse(text, strlen(text), &err);
	check(again != NULL, "own text is accepted");
	check(!strcmp(document_text(again), text), "own text is stable");
	check(document_server_count(again) == document_server_count(document),
	      "own text is complete");
	document_unref(again);
	document_unref(document);
	return 0;
}
