#include "connection/status_line.h"

#include <ctype.h>
#include <string.h>

static const char protocol[] = "HTTP/";

enum { STATUS_DIGITS = 3 };

bool is_status_line(const char *line, size_t size)
{
	return size >= strlen(protocol) &&
	       !memcmp(line, protocol, strlen(protocol));
}

bool status_line_valid(const char *line, size_t size)
{
	const char *status = memchr(line, ' ', size), *end = line + size;

	while (status && status < end && *status == ' ')
		status++;
	if (!status || end - status < STATUS_DIGITS || *status < '1' ||
	    *status > '5' || !isdigit((unsigned char)status[1]) ||
	    !isdigit((unsigned char)status[2]))
		return false;
	status += STATUS_DIGITS;
	return status == end || strchr(" \r\n", *status);
}
