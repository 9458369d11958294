#include "connection/engine_chunk.h"

#include <string.h>

#include "base/units.h"

enum {
	/* Any integer of up to 18 digits fits into int64_t. */
	DIGITS_MAX = 18
};

/* Position of the parser in the event. */
typedef struct {
	const char *at, *end;
} cursor_t;

/* Text of a JSON string inside the event. */
typedef struct {
	const char *data;
	size_t size;
} span_t;

/*
 * Members of an event and of its choice. Each may occur once, and no name that
 * is missing from event_names or choice_names may occur.
 */
typedef enum {
	MEMBER_SKIPPED_STRING,
	MEMBER_SKIPPED_NUMBER,
	MEMBER_STREAM_ID,
	MEMBER_OFFSET,
	MEMBER_TOKENS,
	MEMBER_CHOICES,
	MEMBER_TEXT,
	MEMBER_DELTA,
	MEMBER_FINISH_REASON
} member_t;

typedef struct {
	const char *name;
	member_t member;
} name_t;

static const name_t event_names[] = {
	{ "stream_id", MEMBER_STREAM_ID },
	{ "offset", MEMBER_OFFSET },
	{ "tokens", MEMBER_TOKENS },
	{ "choices", MEMBER_CHOICES },
	{ "id", MEMBER_SKIPPED_STRING },
	{ "object", MEMBER_SKIPPED_STRING },
	{ "model", MEMBER_SKIPPED_STRING },
	{ "created", MEMBER_SKIPPED_NUMBER },
};

static const name_t choice_names[] = {
	{ "index", MEMBER_SKIPPED_NUMBER },
	{ "text", MEMBER_TEXT },
	{ "delta", MEMBER_DELTA },
	{ "finish_reason", MEMBER_FINISH_REASON },
};

/* Parsed members of an event. */
typedef struct {
	span_t stream_id, text, finish_reason;
	int64_t offset, tokens;
	bool has_stream_id, has_offset, has_tokens;
	bool has_text, has_delta;
} fields_t;

static bool take(cursor_t *cursor, char wanted)
{
	if (cursor->at == cursor->end || *cursor->at != wanted)
		return false;
	cursor->at++;
	return true;
}

static bool take_literal(cursor_t *cursor, const char *literal, size_t size)
{
	if ((size_t)(cursor->end - cursor->at) < size ||
	    memcmp(cursor->at, literal, size) != 0)
		return false;
	cursor->at += size;
	return true;
}

/* Takes a string of printable ASCII without escapes. */
static bool take_string(cursor_t *cursor, span_t *span)
{
	const char *at;

	if (!take(cursor, '"'))
		return false;
	for (at = cursor->at; at < cursor->end; at++) {
		if (*at == '"')
			break;
		if (*at < ' ' || *at > '~' || *at == '\\')
			return false;
	}
	span->data = cursor->at;
	span->size = (size_t)(at - cursor->at);
	cursor->at = at;
	return take(cursor, '"');
}

/*
 * Takes an integer without sign. A fraction, exponent or further digit after
 * the digits is refused by the next token, which must be ',', ']' or '}'.
 */
static bool take_integer(cursor_t *cursor, int64_t *value)
{
	const char *start = cursor->at;

	*value = 0;
	while (cursor->at < cursor->end && *cursor->at >= '0' &&
	       *cursor->at <= '9' && cursor->at - start < DIGITS_MAX)
		*value = *value * 10 + (*cursor->at++ - '0');
	return cursor->at > start && (*start != '0' || cursor->at - start == 1);
}

/*
 * Takes a member name and its colon.
 * @param seen bit mask of the names that occurred in this object; a name that
 * occurs twice is refused
 */
static bool take_name(cursor_t *cursor, const name_t *names, size_t count,
		      uint32_t *seen, member_t *member)
{
	span_t name;
	size_t i;

	if (!take_string(cursor, &name) || !take(cursor, ':'))
		return false;
	for (i = 0; i < count; i++)
		if (strlen(names[i].name) == name.size &&
		    !memcmp(names[i].name, name.data, name.size))
			break;
	if (i == count || *seen & 1U << i)
		return false;
	*seen |= 1U << i;
	*member = names[i].member;
	return true;
}

static bool take_finish_reason(cursor_t *cursor, fields_t *fields)
{
	return take_literal(cursor, "null", 4) ||
	       take_string(cursor, &fields->finish_reason);
}

static bool take_delta(cursor_t *cursor, fields_t *fields)
{
	static const char content[] = "{\"content\":";

	fields->has_delta = true;
	return take_literal(cursor, content, sizeof(content) - 1) &&
	       take_string(cursor, &fields->text) && take(cursor, '}');
}

static bool take_choice_member(cursor_t *cursor, member_t member,
			       fields_t *fields)
{
	int64_t skipped;

	switch (member) {
	case MEMBER_SKIPPED_NUMBER:
		return take_integer(cursor, &skipped);
	case MEMBER_TEXT:
		fields->has_text = true;
		return take_string(cursor, &fields->text);
	case MEMBER_DELTA:
		return take_delta(cursor, fields);
	case MEMBER_FINISH_REASON:
		return take_finish_reason(cursor, fields);
	default:
		return false;
	}
}

static bool take_choices(cursor_t *cursor, fields_t *fields)
{
	uint32_t seen = 0;
	member_t member;

	if (!take_literal(cursor, "[{", 2))
		return false;
	do {
		if (!take_name(cursor, choice_names,
			       sizeof(choice_names) / sizeof(*choice_names),
			       &seen, &member) ||
		    !take_choice_member(cursor, member, fields))
			return false;
	} while (take(cursor, ','));
	return take_literal(cursor, "}]", 2);
}

static bool take_event_member(cursor_t *cursor, member_t member,
			      fields_t *fields)
{
	span_t skipped_string;
	int64_t skipped;

	switch (member) {
	case MEMBER_SKIPPED_STRING:
		return take_string(cursor, &skipped_string);
	case MEMBER_SKIPPED_NUMBER:
		return take_integer(cursor, &skipped);
	case MEMBER_STREAM_ID:
		fields->has_stream_id = true;
		return take_string(cursor, &fields->stream_id);
	case MEMBER_OFFSET:
		fields->has_offset = true;
		return take_integer(cursor, &fields->offset);
	case MEMBER_TOKENS:
		fields->has_tokens = true;
		return take_integer(cursor, &fields->tokens);
	case MEMBER_CHOICES:
		return take_choices(cursor, fields);
	default:
		return false;
	}
}

static bool take_event(cursor_t *cursor, fields_t *fields)
{
	uint32_t seen = 0;
	member_t member;

	if (!take(cursor, '{'))
		return false;
	do {
		if (!take_name(cursor, event_names,
			       sizeof(event_names) / sizeof(*event_names),
			       &seen, &member) ||
		    !take_event_member(cursor, member, fields))
			return false;
	} while (take(cursor, ','));
	return take(cursor, '}') && cursor->at == cursor->end;
}

bool engine_read_plain_chunk(const char *data, size_t size, char *buffer,
			     size_t buffer_size, engine_chunk_t *chunk)
{
	cursor_t cursor = { data, data + size };
	fields_t fields = { .has_text = false };
	char id[STREAM_ID_SIZE_BYTES];

	if (!take_event(&cursor, &fields) || !fields.has_stream_id ||
	    !fields.has_offset || (fields.has_text && fields.has_delta) ||
	    fields.stream_id.size >= sizeof(id) ||
	    fields.text.size > buffer_size || fields.tokens > INT32_MAX ||
	    fields.finish_reason.size >= sizeof(chunk->finish_reason))
		return false;
	memcpy(id, fields.stream_id.data, fields.stream_id.size);
	id[fields.stream_id.size] = '\0';
	if (!stream_id_parse(id, &chunk->stream_id))
		return false;
	chunk->type = ENGINE_EVENT_CHUNK;
	chunk->offset_tokens = fields.offset;
	chunk->tokens = fields.has_tokens ? fields.tokens
					  : (fields.text.size > 0);
	if (fields.text.size)
		memcpy(buffer, fields.text.data, fields.text.size);
	chunk->text = buffer;
	chunk->text_size_bytes = fields.text.size;
	if (fields.finish_reason.size)
		memcpy(chunk->finish_reason, fields.finish_reason.data,
		       fields.finish_reason.size);
	return true;
}
