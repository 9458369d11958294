#include "soak/answer.h"

#include <stdlib.h>
#include <string.h>

static void read_head(answer_t *answer)
{
	const char *end = strstr(answer->head, "\r\n\r\n");
	const char *length = strstr(answer->head, "Content-Length: ");

	if (!end)
		return;
	answer->head_done = true;
	answer->left = -1;
	if (length && length < end)
		answer->left =
			strtoll(length + strlen("Content-Length: "), NULL, 10);
	answer->head_size = (size_t)(end + 4 - answer->head);
}

static void read_body(answer_t *answer, const char *data, size_t size)
{
	static const char last[] = "\r\n0\r\n\r\n";
	size_t room = strlen(last), i;

	answer->body_size += size;
	if (answer->left >= 0) {
		answer->is_whole = (int64_t)answer->body_size >= answer->left;
		return;
	}
	for (i = size > room ? size - room : 0; i < size; i++) {
		memmove(answer->last, answer->last + 1, room - 1);
		answer->last[room - 1] = data[i];
	}
	answer->is_whole = !memcmp(answer->last, last, room);
}

void answer_read(answer_t *answer, const char *data, size_t size)
{
	size_t before = answer->head_size, room = HEAD_MAX_BYTES - 1 - before;
	size_t copied = size < room ? size : room;

	if (answer->head_done) {
		read_body(answer, data, size);
		return;
	}
	memcpy(answer->head + before, data, copied);
	answer->head[before + copied] = '\0';
	answer->head_size = before + copied;
	read_head(answer);
	if (answer->head_done)
		read_body(answer, data + answer->head_size - before,
			  before + size - answer->head_size);
}
