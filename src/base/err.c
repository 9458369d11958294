#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool err_set(err_t *err, err_layer_t layer, int32_t code, const char *format,
	     ...)
{
	va_list args;

	if (!err)
		return false;
	err->layer = layer;
	err->code = code;
	va_start(args, format);
	vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return false;
}

void err_clear(err_t *err)
{
	if (err)
		memset(err, 0, sizeof(*err));
}
