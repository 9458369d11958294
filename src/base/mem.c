#include "base/mem.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

void *mem_calloc(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size ? size : 1);

	if (!memory)
		abort();
	return memory;
}

void *mem_realloc(void *old, size_t count, size_t size)
{
	void *memory;

	if (size && count > SIZE_MAX / size)
		abort();
	memory = realloc(old, count && size ? count * size : 1);
	if (!memory)
		abort();
	return memory;
}

char *mem_strdup(const char *text)
{
	return mem_copy(text, strlen(text));
}

char *mem_copy(const void *data, size_t size)
{
	char *copy = mem_calloc(size + 1, 1);

	if (size)
		memcpy(copy, data, size);
	return copy;
}

int mem_strlcpy(char *target, const char *source, size_t size)
{
	size_t length = strlen(source);

	if (length < size) {
		memcpy(target, source, length + 1);
		return 0;
	}
	if (size) {
		memcpy(target, source, size - 1);
		target[size - 1] = '\0';
	}
	return -1;
}
