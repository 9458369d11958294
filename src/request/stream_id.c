#include "request/stream_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void stream_id_format(const stream_id_t *id, char text[STREAM_ID_SIZE_BYTES])
{
	snprintf(text, STREAM_ID_SIZE_BYTES,
		 "%s.%" PRIx64 ".%" PRIx64 ".%" PRIx32, id->vm_id,
		 id->incarnation, id->request, id->attempt);
}

/*
 * Parses one hexadecimal field that ends with @p end.
 * @return the text after @p end; NULL if the field is malformed or above @p max
 */
static const char *parse_field(const char *text, char end, uint64_t max,
			       uint64_t *value)
{
	size_t digits = strspn(text, "0123456789abcdef");

	if (!digits || digits > 16 || text[digits] != end)
		return NULL;
	*value = strtoull(text, NULL, 16);
	return *value > max ? NULL : text + digits + 1;
}

bool stream_id_parse(const char *text, stream_id_t *id)
{
	size_t vm_length = strcspn(text, "./");
	uint64_t attempt;

	if (!vm_length || vm_length >= NAME_SIZE_BYTES ||
	    text[vm_length] != '.')
		return false;
	memcpy(id->vm_id, text, vm_length);
	id->vm_id[vm_length] = '\0';
	text += vm_length + 1;
	text = parse_field(text, '.', UINT64_MAX, &id->incarnation);
	if (!text)
		return false;
	text = parse_field(text, '.', UINT64_MAX, &id->request);
	if (!text || !parse_field(text, '\0', UINT32_MAX, &attempt))
		return false;
	id->attempt = (uint32_t)attempt;
	return true;
}

bool stream_id_equal(const stream_id_t *a, const stream_id_t *b)
{
	return a->request == b->request && a->attempt == b->attempt &&
	       a->incarnation == b->incarnation && !strcmp(a->vm_id, b->vm_id);
}
