#include "connection/framing.h"

#include <string.h>
#include <strings.h>

enum {
	/* Blanks between a header's colon and its value. */
	BLANKS_MAX = 64,
	LENGTH_DIGITS_MAX = 18
};

/* The characters of a token beside letters and digits. */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

typedef struct {
	int lengths, encodings; /* headers that state a length */
	bool is_clear;
} framing_t;

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_token(const char *text)
{
	const char *at;

	for (at = text; *at; at++)
		if (!is_digit(*at) && !(*at >= 'a' && *at <= 'z') &&
		    !(*at >= 'A' && *at <= 'Z') && !strchr(TOKEN_MARKS, *at))
			return false;
	return at > text;
}

/*
 * The library appends a folded line to the name of its header, in other memory
 * than the value. It reads all other headers in place: the value follows the
 * name.
 */
static bool is_folded(const char *name, const char *value)
{
	const char *end = name + strlen(name) + 1, *at;

	if (value < end || value - end > BLANKS_MAX)
		return true;
	for (at = end; at < value; at++)
		if (*at != ' ' && *at != '\t' && *at)
			return true;
	return false;
}

static bool is_length(const char *value)
{
	size_t digits = strspn(value, "0123456789");

	return digits && digits <= LENGTH_DIGITS_MAX && !value[digits];
}

static enum MHD_Result on_header(void *context, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	framing_t *framing = context;

	if (!value || !is_token(name) || is_folded(name, value)) {
		framing->is_clear = false;
	} else if (!strcasecmp(name, "Content-Length")) {
		framing->lengths++;
		framing->is_clear &= is_length(value);
	} else if (!strcasecmp(name, "Transfer-Encoding")) {
		framing->encodings++;
		framing->is_clear &= !strcasecmp(value, "chunked");
	}
	return framing->is_clear ? MHD_YES : MHD_NO;
}

bool framing_is_clear(struct MHD_Connection *connection)
{
	framing_t framing = { .is_clear = true };

	MHD_get_connection_values(connection, MHD_HEADER_KIND, on_header,
				  &framing);
	return framing.is_clear && framing.lengths + framing.encodings <= 1;
}
