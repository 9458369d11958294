#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/engine.h"

/* Bound of the requests that a server reports. */
enum { REQUESTS_MAX = 1000000 };

static bool malformed(err_t *err, const char *what)
{
	return err_set(err, ERR_LAYER_ENGINE, ENGINE_ERR_MALFORMED,
		       "engine reply: malformed %s", what);
}

static json_t *load_object(const char *body, size_t size, err_t *err)
{
	json_t *json = json_loadb(body, size, 0, NULL);

	if (json_is_object(json))
		return json;
	json_decref(json);
	malformed(err, "body: not a JSON object");
	return NULL;
}

/* Reads the integer member @p key; accepts 0 to @p max. */
static bool read_number(const json_t *json, const char *key, int64_t max,
			int64_t *value, err_t *err)
{
	const json_t *item = json_object_get(json, key);

	*value = json_integer_value(item);
	return (json_is_integer(item) && *value >= 0 && *value <= max) ||
	       malformed(err, key);
}

static bool read_bool(const json_t *json, const char *key, bool *value,
		      err_t *err)
{
	const json_t *item = json_object_get(json, key);

	*value = json_is_true(item);
	return json_is_boolean(item) || malformed(err, key);
}

static bool read_incarnation(const json_t *json, uint64_t *value, err_t *err)
{
	int64_t number;

	if (!read_number(json, "incarnation", INT64_MAX, &number, err))
		return false;
	*value = (uint64_t)number;
	return true;
}

static bool read_role(const json_t *json, server_role_t *role, err_t *err)
{
	const char *text = json_string_value(json_object_get(json, "role"));

	if (!text)
		return malformed(err, "role");
	if (!strcmp(text, "both"))
		*role = ROLE_BOTH;
	else if (!strcmp(text, "prefill"))
		*role = ROLE_PREFILL;
	else if (!strcmp(text, "decode"))
		*role = ROLE_DECODE;
	else
		return malformed(err, "role");
	return true;
}

static bool read_models(const json_t *json, load_report_t *report, err_t *err)
{
	const json_t *models = json_object_get(json, "models");
	size_t i, count = json_array_size(models);

	if (!json_is_array(models) || count > LOAD_MODELS_MAX)
		return malformed(err, "models");
	for (i = 0; i < count; i++) {
		const char *name = json_string_value(json_array_get(models, i));

		if (!name ||
		    mem_strlcpy(report->models[i], name, NAME_SIZE_BYTES))
			return malformed(err, "models");
	}
	report->model_count = (int32_t)count;
	return true;
}

static int64_t at_most(int64_t number, int64_t max)
{
	return number < max ? number : max;
}

void engine_bound_load(load_report_t *report)
{
	report->kv_total_tokens = at_most(report->kv_total_tokens, TOKENS_MAX);
	report->kv_used_tokens = at_most(report->kv_used_tokens, TOKENS_MAX);
	report->prefill_queued_tokens =
		at_most(report->prefill_queued_tokens, TOKENS_MAX);
	report->prefill_tokens_per_s =
		at_most(report->prefill_tokens_per_s, TOKENS_MAX);
	report->running = (int32_t)at_most(report->running, REQUESTS_MAX);
	report->queued = (int32_t)at_most(report->queued, REQUESTS_MAX);
}

static bool read_counts(const json_t *json, load_report_t *report, err_t *err)
{
	int64_t running, queued;

	if (!read_number(json, "kv_total", INT64_MAX, &report->kv_total_tokens,
			 err) ||
	    !read_number(json, "kv_used", INT64_MAX, &report->kv_used_tokens,
			 err) ||
	    !read_number(json, "running", INT32_MAX, &running, err) ||
	    !read_number(json, "queued", INT32_MAX, &queued, err) ||
	    !read_number(json, "prefill_tokens_queued", INT64_MAX,
			 &report->prefill_queued_tokens, err) ||
	    !read_number(json, "prefill_tokens_per_s", INT64_MAX,
			 &report->prefill_tokens_per_s, err) ||
	    !read_number(json, "time_us", INT64_MAX, &report->taken_us, err))
		return false;
	report->running = (int32_t)running;
	report->queued = (int32_t)queued;
	engine_bound_load(report);
	return true;
}

bool engine_parse_load(const char *body, size_t size, load_report_t *report,
		       err_t *err)
{
	json_t *json = load_object(body, size, err);
	bool valid;

	if (!json)
		return false;
	memset(report, 0, sizeof(*report));
	valid = read_incarnation(json, &report->incarnation, err) &&
		read_bool(json, "cold", &report->cold, err) &&
		read_bool(json, "shares_kv", &report->shares_kv, err) &&
		read_role(json, &report->role, err) &&
		read_models(json, report, err) &&
		read_counts(json, report, err);
	json_decref(json);
	return valid;
}

bool engine_parse_streams(const char *body, size_t size,
			  void (*each)(void *context, const char *id),
			  void *context, err_t *err)
{
	json_t *json = load_object(body, size, err);
	const json_t *streams = json_object_get(json, "streams");
	size_t i;
	bool valid = json_is_array(streams);

	if (!json)
		return false;
	/* The whole list is checked before the first call of @p each. */
	for (i = 0; valid && i < json_array_size(streams); i++)
		valid = json_is_string(json_array_get(streams, i));
	for (i = 0; valid && i < json_array_size(streams); i++)
		each(context, json_string_value(json_array_get(streams, i)));
	json_decref(json);
	return valid || malformed(err, "streams");
}

/* Hexadecimal digits of the 64-bit hash that names a block. */
enum { BLOCK_MAX_DIGITS = 16 };

static bool read_cache_event(const json_t *json, cache_event_t *event,
			     err_t *err)
{
	int64_t sequence;
	const char *block = json_string_value(json_object_get(json, "block"));
	const char *type = json_string_value(json_object_get(json, "type"));

	if (!read_number(json, "sequence", INT64_MAX, &sequence, err))
		return false;
	if (!type ||
	    (strcmp(type, "stored") != 0 && strcmp(type, "evicted") != 0))
		return malformed(err, "type");
	event->stored = !strcmp(type, "stored");
	if (!block || !*block || strlen(block) > BLOCK_MAX_DIGITS ||
	    strspn(block, "0123456789abcdef") != strlen(block))
		return malformed(err, "block");
	event->sequence = (uint64_t)sequence;
	event->block = strtoull(block, NULL, 16);
	return true;
}

bool engine_parse_cache_events(const char *body, size_t size,
			       uint64_t *incarnation,
			       void (*each)(void *context,
					    const cache_event_t *event),
			       void *context, err_t *err)
{
	json_t *json = load_object(body, size, err);
	const json_t *events = json_object_get(json, "events");
	cache_event_t event;
	bool valid;
	size_t i;

	if (!json)
		return false;
	valid = read_incarnation(json, incarnation, err) &&
		(json_is_array(events) || malformed(err, "events"));
	for (i = 0; valid && i < json_array_size(events); i++) {
		valid = read_cache_event(json_array_get(events, i), &event,
					 err);
		if (valid)
			each(context, &event);
	}
	json_decref(json);
	return valid;
}
