#include "version/inforce.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

struct inforce {
	document_t *document;
};

inforce_t *inforce_create(void)
{
	return mem_calloc(1, sizeof(inforce_t));
}

void inforce_destroy(inforce_t *inforce)
{
	if (!inforce)
		return;
	document_unref(inforce->document);
	free(inforce);
}

int64_t inforce_version(const inforce_t *inforce)
{
	return inforce->document ? document_version(inforce->document) : 0;
}

document_t *inforce_document(const inforce_t *inforce)
{
	return inforce->document;
}

inforce_result_t inforce_offer(inforce_t *inforce, document_t *document)
{
	int64_t version = document_version(document);

	if (version < inforce_version(inforce))
		return INFORCE_STALE;
	if (version == inforce_version(inforce))
		return strcmp(document_text(document),
			      document_text(inforce->document))
			       ? INFORCE_CONFLICT
			       : INFORCE_SAME;
	document_unref(inforce->document);
	inforce->document = document_ref(document);
	return INFORCE_APPLIED;
}
