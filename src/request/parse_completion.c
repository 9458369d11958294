#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "request/parse.h"
#include "request/prefix_hash.h"

/** Size of a prompt's text and the hashes of its blocks. */
typedef struct {
	prefix_hash_t hash;
	int64_t size_bytes;
} prompt_t;

static bool refuse(err_t *err, const char *message)
{
	return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST, "%s",
		       message);
}

static void add_text(prompt_t *prompt, const json_t *text)
{
	size_t size = json_string_length(text);

	prefix_hash_add(&prompt->hash, json_string_value(text), size);
	prompt->size_bytes += (int64_t)size;
}

/* Adds the content of a message: a string, or an array of parts with text. */
static bool add_content(prompt_t *prompt, const json_t *content, err_t *err)
{
	size_t i;

	if (json_is_string(content)) {
		add_text(prompt, content);
		return true;
	}
	if (!content || json_is_null(content))
		return true;
	if (!json_is_array(content))
		return refuse(err, "messages: content must be a string or "
				   "an array of parts");
	for (i = 0; i < json_array_size(content); i++) {
		const json_t *text =
			json_object_get(json_array_get(content, i), "text");

		if (!json_is_string(text))
			return refuse(err, "messages: only parts of type text "
					   "are supported");
		add_text(prompt, text);
	}
	return true;
}

static bool add_messages(prompt_t *prompt, const json_t *messages, err_t *err)
{
	size_t i;

	if (!json_is_array(messages) || !json_array_size(messages))
		return refuse(err, "messages: expected a non-empty array");
	for (i = 0; i < json_array_size(messages); i++) {
		const json_t *message = json_array_get(messages, i);

		if (!json_is_string(json_object_get(message, "role")))
			return refuse(err, "messages: each needs a role");
		if (!add_content(prompt, json_object_get(message, "content"),
				 err))
			return false;
	}
	return true;
}

static bool read_bool(const json_t *json, const char *key, bool *value,
		      err_t *err)
{
	const json_t *item = json_object_get(json, key);

	*value = json_is_true(item);
	if (!item || json_is_null(item) || json_is_boolean(item))
		return true;
	return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST,
		       "%s: expected true or false", key);
}

/* Accepts only 1: a stream has one position, so it carries one answer. */
static bool check_single(const json_t *json, const char *key, err_t *err)
{
	const json_t *item = json_object_get(json, key);

	if (!item || json_is_null(item) ||
	    (json_is_integer(item) && json_integer_value(item) == 1))
		return true;
	return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST,
		       "%s: only 1 is supported", key);
}

static bool read_max_tokens(const json_t *json, int64_t *max_tokens, err_t *err)
{
	const json_t *item = json_object_get(json, "max_completion_tokens");

	if (!item || json_is_null(item))
		item = json_object_get(json, "max_tokens");
	*max_tokens = MAX_TOKENS_DEFAULT;
	if (!item || json_is_null(item))
		return true;
	*max_tokens = json_integer_value(item);
	if (json_is_integer(item) && *max_tokens >= 1 &&
	    *max_tokens <= MAX_TOKENS_LIMIT)
		return true;
	return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST,
		       "max_tokens: expected an integer from 1 to %d",
		       MAX_TOKENS_LIMIT);
}

static bool read_options(const json_t *json, completion_t *completion,
			 err_t *err)
{
	const char *model = json_string_value(json_object_get(json, "model"));

	if (!model || !*model)
		return refuse(err, "model: expected a name");
	if (mem_strlcpy(completion->model, model, sizeof(completion->model)))
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_NOT_FOUND,
			       "no such model");
	return read_bool(json, "stream", &completion->stream, err) &&
	       read_bool(json_object_get(json, "stream_options"),
			 "include_usage", &completion->include_usage, err) &&
	       check_single(json, "n", err) &&
	       check_single(json, "best_of", err) &&
	       read_max_tokens(json, &completion->max_tokens, err);
}

static bool read_prompt(const json_t *json, completion_t *completion, bool chat,
			const char *salt, err_t *err)
{
	prompt_t prompt = { .size_bytes = 0 };
	const json_t *text = json_object_get(json, "prompt");
	bool valid;

	prefix_hash_init(&prompt.hash, salt, BLOCK_HASHES_MAX);
	if (chat) {
		valid = add_messages(&prompt, json_object_get(json, "messages"),
				     err);
	} else {
		valid = json_is_string(text) ||
			refuse(err, "prompt: expected a string");
		if (valid)
			add_text(&prompt, text);
	}
	if (!valid) {
		prefix_hash_clear(&prompt.hash);
		return false;
	}
	completion->blocks = prompt.hash.blocks;
	completion->block_count = prompt.hash.count;
	completion->prompt_tokens =
		(prompt.size_bytes + PROMPT_BYTES_PER_TOKEN - 1) /
		PROMPT_BYTES_PER_TOKEN;
	return true;
}

/*
 * Stores the caller's members as JSON text without braces. Leaves out the
 * members that the engine adapter sets for each attempt: callers may not choose
 * them.
 */
static void store_fields(json_t *json, completion_t *completion)
{
	static const char *const reserved[] = {
		"model",       "stream",	"max_tokens",
		"peers",       "resume_tokens", "max_completion_tokens",
		"stream_id",   "resume_text",	"priority",
		"deadline_ms", "cache_salt",
	};
	size_t i, size;

	for (i = 0; i < sizeof(reserved) / sizeof(reserved[0]); i++)
		json_object_del(json, reserved[i]);
	completion->fields = json_dumps(json, JSON_COMPACT);
	size = strlen(completion->fields) - 2;
	memmove(completion->fields, completion->fields + 1, size);
	completion->fields[size] = '\0';
}

bool parse_completion(const char *body, size_t size, bool chat,
		      const char *salt, completion_t *completion, err_t *err)
{
	json_error_t error;
	json_t *json = json_loadb(body ? body : "", size,
				  JSON_REJECT_DUPLICATES, &error);
	bool valid;

	memset(completion, 0, sizeof(*completion));
	if (!json)
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST,
			       "body: not JSON: line %d column %d: %.160s",
			       error.line, error.column, error.text);
	if (json_is_object(json))
		valid = read_options(json, completion, err) &&
			read_prompt(json, completion, chat, salt, err);
	else
		valid = refuse(err, "body: expected a JSON object");
	if (valid)
		store_fields(json, completion);
	json_decref(json);
	return valid;
}

void completion_clear(completion_t *completion)
{
	free(completion->fields);
	free(completion->blocks);
	completion->fields = NULL;
	completion->blocks = NULL;
}
