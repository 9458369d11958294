/**
 * Fuzzes the parser of configuration documents. A refused document must give an
 * error message. The canonical text of an accepted document must be accepted
 * again, and give the same text.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "version/document.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool holds, const char *name)
{
	if (holds)
		return;
	fprintf(stderr, "property violated: %s\n", name);
	abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	err_t err = { 0 };
	document_t *document, *reparsed;
	const char *text;

	document = document_parse((const char *)data, size, &err);
	if (!document) {
		check(err.layer == ERR_LAYER_DOCUMENT && err.message[0],
		      "a refused document gives an error message");
		return 0;
	}
	check(document_version(document) > 0,
	      "an accepted document has a version");
	text = document_text(document);
	reparsed = document_parse(text, strlen(text), &err);
	check(reparsed != NULL, "the canonical text is accepted");
	check(!strcmp(document_text(reparsed), text),
	      "the canonical text is stable");
	check(document_server_count(reparsed) ==
		      document_server_count(document),
	      "the canonical text has all servers");
	document_unref(reparsed);
	document_unref(document);
	return 0;
}
