#include "request/hop_headers.h"

#include <string.h>
#include <strings.h>

static bool is_listed(const char *name, const char *list)
{
	size_t length = strlen(name);

	while (*list) {
		size_t size;

		list += strspn(list, " \t,");
		size = strcspn(list, " \t,");
		if (size == length && !strncasecmp(list, name, length))
			return true;
		list += size;
	}
	return false;
}

bool is_hop_header(const char *name, const char *connection)
{
	/* Content-Length is recomputed, because the framing of a body may
	 * change. */
	static const char standard[] =
		"Connection, Keep-Alive, Proxy-Connection, TE, Trailer, "
		"Transfer-Encoding, Upgrade, Content-Length, Expect, "
		"Proxy-Authenticate, Proxy-Authorization";

	return is_listed(name, standard) ||
	       (connection && is_listed(name, connection));
}
