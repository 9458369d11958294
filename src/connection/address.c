#include "connection/address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_DIGITS_MAX = 5 };

bool address_parse(const char *text, struct sockaddr_in *address)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;
	size_t digits;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	/* strtoul() takes blanks and a sign, too. */
	digits = strspn(colon + 1, "0123456789");
	port = strtoul(colon + 1, &end, 10);
	if (!digits || digits > PORT_DIGITS_MAX || *end || port > UINT16_MAX ||
	    inet_pton(AF_INET, host, &address->sin_addr) != 1)
		return false;
	address->sin_port = htons((uint16_t)port);
	return true;
}
