#include "request/claim_record.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

static const char *const state_names[] = { "open", "done", "unknown" };

void claim_name(const char *account, const char *key,
		char name[CLAIM_NAME_SIZE_BYTES])
{
	uint8_t hash[crypto_generichash_BYTES];
	char hex[2 * crypto_generichash_BYTES + 1];
	crypto_generichash_state state;

	_Static_assert(sizeof(hex) + 6 == CLAIM_NAME_SIZE_BYTES,
		       "the name holds the whole hash");
	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	/* The NUL separates the account from the key: "ab", "c" and "a", "bc"
	 * must differ. */
	crypto_generichash_update(&state, (const uint8_t *)account,
				  strlen(account) + 1);
	crypto_generichash_update(&state, (const uint8_t *)key, strlen(key));
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(name, CLAIM_NAME_SIZE_BYTES, "claim-%s", hex);
}

static void encode_answer(const claim_record_t *record, json_t *spec)
{
	size_t size = sodium_base64_ENCODED_LEN(record->answer_size_bytes,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = mem_calloc(size, 1);

	sodium_bin2base64(text, size, (const uint8_t *)record->answer,
			  record->answer_size_bytes,
			  sodium_base64_VARIANT_ORIGINAL);
	json_object_set_new(spec, "answer", json_string(text));
	free(text);
}

json_t *claim_record_encode(const claim_record_t *record)
{
	char claimant[STREAM_ID_SIZE_BYTES];
	char hash[2 * REQUEST_HASH_SIZE_BYTES + 1];
	json_t *spec;

	stream_id_format(&record->claimant, claimant);
	sodium_bin2hex(hash, sizeof(hash), record->request_hash,
		       REQUEST_HASH_SIZE_BYTES);
	spec = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "account",
			 record->account, "key", record->key, "claimant",
			 claimant, "requestHash", hash, "state",
			 state_names[record->state], "createdUs",
			 (json_int_t)record->created_us, "deadlineUs",
			 (json_int_t)record->deadline_us);
	if (record->state == CLAIM_OPEN)
		return spec;
	json_object_set_new(spec, "endedUs", json_integer(record->ended_us));
	if (record->state == CLAIM_UNKNOWN)
		return spec;
	json_object_set_new(spec, "status", json_integer(record->status));
	json_object_set_new(spec, "contentType",
			    json_string(record->content_type));
	if (record->omitted)
		json_object_set_new(spec, "omitted", json_true());
	else if (record->answer)
		encode_answer(record, spec);
	return spec;
}

static bool malformed(err_t *err, const char *key)
{
	return err_set(err, ERR_LAYER_REQUEST, CLAIM_ERR_MALFORMED,
		       "claim: %s: missing or malformed", key);
}

static bool get_text(const json_t *spec, const char *key, char *target,
		     size_t size, err_t *err)
{
	const json_t *value = json_object_get(spec, key);
	const char *text = json_string_value(value);

	if (!text || !*text || strlen(text) != json_string_length(value) ||
	    mem_strlcpy(target, text, size))
		return malformed(err, key);
	return true;
}

static bool get_integer(const json_t *spec, const char *key, int64_t min,
			int64_t max, int64_t *target, err_t *err)
{
	const json_t *value = json_object_get(spec, key);

	*target = json_integer_value(value);
	if (!json_is_integer(value) || *target < min || *target > max)
		return malformed(err, key);
	return true;
}

static bool get_hash(const json_t *spec, claim_record_t *record, err_t *err)
{
	const char *text =
		json_string_value(json_object_get(spec, "requestHash"));
	size_t size;

	if (!text || strlen(text) != 2 * REQUEST_HASH_SIZE_BYTES ||
	    sodium_hex2bin(record->request_hash, REQUEST_HASH_SIZE_BYTES, text,
			   strlen(text), NULL, &size, NULL) ||
	    size != REQUEST_HASH_SIZE_BYTES)
		return malformed(err, "requestHash");
	return true;
}

static bool get_state(const json_t *spec, claim_record_t *record, err_t *err)
{
	const char *text = json_string_value(json_object_get(spec, "state"));
	size_t i;

	for (i = 0; text && i < sizeof(state_names) / sizeof(*state_names);
	     i++) {
		if (!strcmp(state_names[i], text)) {
			record->state = (claim_state_t)i;
			return true;
		}
	}
	return malformed(err, "state");
}

static bool get_answer(const json_t *spec, claim_record_t *record, err_t *err)
{
	const json_t *value = json_object_get(spec, "answer");
	const char *text = json_string_value(value);
	size_t length = json_string_length(value);

	if (!value)
		return true;
	if (!text || length > 2 * CLAIM_ANSWER_MAX_BYTES)
		return malformed(err, "answer");
	record->answer = mem_calloc(length + 1, 1);
	if (!sodium_base642bin((uint8_t *)record->answer, length, text, length,
			       NULL, &record->answer_size_bytes, NULL,
			       sodium_base64_VARIANT_ORIGINAL))
		return true;
	claim_record_clear(record);
	return malformed(err, "answer");
}

static bool get_end(const json_t *spec, claim_record_t *record, err_t *err)
{
	const json_t *type;
	int64_t status = 0;

	if (record->state == CLAIM_OPEN)
		return true;
	if (!get_integer(spec, "endedUs", 1, INT64_MAX, &record->ended_us, err))
		return false;
	if (record->state == CLAIM_UNKNOWN)
		return true;
	if (!get_integer(spec, "status", 100, 599, &status, err))
		return false;
	record->status = (int32_t)status;
	record->omitted = json_is_true(json_object_get(spec, "omitted"));
	type = json_object_get(spec, "contentType");
	if (type && !(json_is_string(type) && !json_string_length(type)) &&
	    !get_text(spec, "contentType", record->content_type,
		      sizeof(record->content_type), err))
		return false;
	return get_answer(spec, record, err);
}

bool claim_record_decode(const json_t *spec, claim_record_t *record, err_t *err)
{
	char claimant[STREAM_ID_SIZE_BYTES];

	memset(record, 0, sizeof(*record));
	if (!json_is_object(spec))
		return malformed(err, "spec");
	if (!get_text(spec, "account", record->account, sizeof(record->account),
		      err) ||
	    !get_text(spec, "key", record->key, sizeof(record->key), err) ||
	    !get_text(spec, "claimant", claimant, sizeof(claimant), err))
		return false;
	if (!stream_id_parse(claimant, &record->claimant))
		return malformed(err, "claimant");
	return get_hash(spec, record, err) && get_state(spec, record, err) &&
	       get_integer(spec, "createdUs", 1, INT64_MAX, &record->created_us,
			   err) &&
	       get_integer(spec, "deadlineUs", 1, INT64_MAX,
			   &record->deadline_us, err) &&
	       get_end(spec, record, err);
}

void claim_record_clear(claim_record_t *record)
{
	free(record->answer);
	record->answer = NULL;
	record->answer_size_bytes = 0;
}
