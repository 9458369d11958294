#include "version/document.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"
#include "version/check.h"
#include "version/fields.h"
#include "version/parse.h"

/*
 * Entry of the hash tables over the items of one section. Every item struct
 * starts with its name (distances: `from`), so that a pointer to an item is
 * also a pointer to its name.
 */
typedef struct {
	UT_hash_handle by_name;
	UT_hash_handle by_key; /* hash table by key_hash; accounts only */
	void *item;
} index_t;

typedef struct {
	size_t count;
	char *items; /* array of structs of section_t.item_size_bytes */
	index_t *index; /* one entry for each item */
	index_t *by_name; /* head of the hash table; NULL for distances */
} table_t;

struct document {
	atomic_int references;
	int64_t version;
	char change_id[NAME_SIZE_BYTES];
	char *text; /* JSON, compact and with sorted keys */
	limits_conf_t limits;
	table_t tables[SECTION_COUNT];
	index_t *accounts_by_key; /* head of the hash table by key_hash */
};

static void *item_at(const document_t *document, section_id_t id, size_t index)
{
	const table_t *table = &document->tables[id];

	if (index >= table->count)
		return NULL;
	return table->items + index * sections[id].item_size_bytes;
}

static void *item_named(const document_t *document, section_id_t id,
			const char *name)
{
	index_t *found = NULL;

	HASH_FIND(by_name, document->tables[id].by_name, name, strlen(name),
		  found);
	return found ? found->item : NULL;
}

static bool index_item(document_t *document, section_id_t id, size_t index,
		       err_t *err)
{
	table_t *table = &document->tables[id];
	index_t *entry = &table->index[index];
	index_t *found = NULL;
	char *name = item_at(document, id, index);

	entry->item = name;
	if (id != SECTION_DISTANCES) {
		HASH_FIND(by_name, table->by_name, name, strlen(name), found);
		if (found)
			return err_set(err, ERR_LAYER_DOCUMENT,
				       DOCUMENT_ERR_DUPLICATE,
				       "%s[%zu].name: \"%s\" exists twice",
				       sections[id].key, index, name);
		HASH_ADD_KEYPTR(by_name, table->by_name, name, strlen(name),
				entry);
	}
	if (id == SECTION_ACCOUNTS) {
		account_conf_t *account = entry->item;

		HASH_FIND(by_key, document->accounts_by_key, account->key_hash,
			  KEY_HASH_SIZE_BYTES, found);
		if (found)
			return err_set(err, ERR_LAYER_DOCUMENT,
				       DOCUMENT_ERR_DUPLICATE,
				       "accounts[%zu].key_hash: exists twice",
				       index);
		HASH_ADD_KEYPTR(by_key, document->accounts_by_key,
				account->key_hash, KEY_HASH_SIZE_BYTES, entry);
	}
	return true;
}

static bool parse_section(document_t *document, section_id_t id,
			  const json_t *array, err_t *err)
{
	const section_t *section = &sections[id];
	table_t *table = &document->tables[id];
	char path[64];
	size_t i;

	if (!array)
		return true;
	if (!json_is_array(array))
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "%s: expected an array", section->key);
	table->count = json_array_size(array);
	table->items = mem_calloc(table->count, section->item_size_bytes);
	table->index = mem_calloc(table->count, sizeof(*table->index));
	for (i = 0; i < table->count; i++) {
		snprintf(path, sizeof(path), "%s[%zu]", section->key, i);
		if (!parse_object(json_array_get(array, i), section, path,
				  item_at(document, id, i), err) ||
		    !index_item(document, id, i, err))
			return false;
	}
	return true;
}

static bool parse_header(document_t *document, const json_t *root, err_t *err)
{
	const json_t *version = json_object_get(root, "version");
	const json_t *change_id = json_object_get(root, "change_id");

	if (!json_is_integer(version) || json_integer_value(version) < 1)
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "version: expected an integer of at least 1");
	document->version = json_integer_value(version);
	if (!change_id)
		return true;
	if (!json_is_string(change_id) ||
	    mem_strlcpy(document->change_id, json_string_value(change_id),
			sizeof(document->change_id)))
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "change_id: expected a string of up to 63 "
			       "characters");
	return true;
}

/* Checks the ids of recent changes, which edit_finish() appends. */
static bool check_recent_changes(const json_t *root, err_t *err)
{
	const json_t *recent = json_object_get(root, "recent_changes");
	size_t i;

	if (recent && !json_is_array(recent))
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "recent_changes: expected an array");
	for (i = 0; i < json_array_size(recent); i++)
		if (!json_is_string(json_array_get(recent, i)))
			return err_set(err, ERR_LAYER_DOCUMENT,
				       DOCUMENT_ERR_SCHEMA,
				       "recent_changes[%zu]: expected a string",
				       i);
	return true;
}

static bool check_root_keys(const json_t *root, err_t *err)
{
	const char *key;
	json_t *value;

	if (!json_is_object(root))
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "document: expected an object");
	json_object_foreach((json_t *)root, key, value)
	{
		if (!strcmp(key, "version") || !strcmp(key, "change_id") ||
		    !strcmp(key, "recent_changes") ||
		    !strcmp(key, limits_section.key) || section_find(key))
			continue;
		return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
			       "%s: unknown key", key);
	}
	return true;
}

static bool parse_root(document_t *document, const json_t *root, err_t *err)
{
	const json_t *limits;
	json_t *empty = NULL;
	bool parsed;
	int id;

	if (!check_root_keys(root, err) || !check_recent_changes(root, err) ||
	    !parse_header(document, root, err))
		return false;
	limits = json_object_get(root, limits_section.key);
	if (!limits)
		limits = empty = json_object();
	parsed = parse_object(limits, &limits_section, limits_section.key,
			      &document->limits, err);
	json_decref(empty);
	if (!parsed)
		return false;
	for (id = 0; id < SECTION_COUNT; id++)
		if (!parse_section(document, id,
				   json_object_get(root, sections[id].key),
				   err))
			return false;
	return check_document(document, err);
}

document_t *document_parse(const char *text, size_t size_bytes, err_t *err)
{
	document_t *document;
	json_error_t error;
	json_t *root;

	if (size_bytes > DOCUMENT_SIZE_MAX_BYTES) {
		err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SIZE,
			"document: %zu bytes, the limit is %d bytes",
			size_bytes, DOCUMENT_SIZE_MAX_BYTES);
		return NULL;
	}
	root = json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &error);
	if (!root) {
		err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SYNTAX,
			"line %d column %d: %s", error.line, error.column,
			error.text);
		return NULL;
	}
	document = mem_calloc(1, sizeof(*document));
	atomic_init(&document->references, 1);
	if (!parse_root(document, root, err)) {
		document_unref(document);
		document = NULL;
	} else {
		document->text =
			json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	}
	json_decref(root);
	return document;
}

document_t *document_ref(document_t *document)
{
	if (document)
		atomic_fetch_add(&document->references, 1);
	return document;
}

void document_unref(document_t *document)
{
	size_t i;
	int id;

	if (!document || atomic_fetch_sub(&document->references, 1) > 1)
		return;
	HASH_CLEAR(by_key, document->accounts_by_key);
	for (id = 0; id < SECTION_COUNT; id++) {
		table_t *table = &document->tables[id];

		HASH_CLEAR(by_name, table->by_name);
		for (i = 0; i < table->count; i++)
			parse_clear(&sections[id], item_at(document, id, i));
		free(table->items);
		free(table->index);
	}
	free(document->text);
	free(document);
}

int64_t document_version(const document_t *document)
{
	return document->version;
}

const char *document_change_id(const document_t *document)
{
	return document->change_id;
}

const limits_conf_t *document_limits(const document_t *document)
{
	return &document->limits;
}

const char *document_text(const document_t *document)
{
	return document->text;
}

#define ACCESSORS(kind, type, id)                                    \
	size_t document_##kind##_count(const document_t *document)   \
	{                                                            \
		return document->tables[id].count;                   \
	}                                                            \
	const type *document_##kind##_at(const document_t *document, \
					 size_t index)               \
	{                                                            \
		return item_at(document, id, index);                 \
	}                                                            \
	const type *document_##kind(const document_t *document,      \
				    const char *name)                \
	{                                                            \
		return item_named(document, id, name);               \
	}

ACCESSORS(data_centre, data_centre_conf_t, SECTION_DATA_CENTRES)
ACCESSORS(server, server_conf_t, SECTION_SERVERS)
ACCESSORS(service, service_conf_t, SECTION_SERVICES)
ACCESSORS(class, class_conf_t, SECTION_CLASSES)
ACCESSORS(account, account_conf_t, SECTION_ACCOUNTS)

size_t document_distance_count(const document_t *document)
{
	return document->tables[SECTION_DISTANCES].count;
}

const distance_conf_t *document_distance_at(const document_t *document,
					    size_t index)
{
	return item_at(document, SECTION_DISTANCES, index);
}

int64_t document_rtt_us(const document_t *document, const char *from,
			const char *to)
{
	const table_t *table = &document->tables[SECTION_DISTANCES];
	size_t i;

	for (i = 0; i < table->count; i++) {
		const distance_conf_t *distance =
			item_at(document, SECTION_DISTANCES, i);

		if ((!strcmp(distance->from, from) &&
		     !strcmp(distance->to, to)) ||
		    (!strcmp(distance->from, to) &&
		     !strcmp(distance->to, from)))
			return distance->rtt_us;
	}
	return 0;
}

bool document_server_in_service(const document_t *document,
				const server_conf_t *server)
{
	const data_centre_conf_t *data_centre =
		document_data_centre(document, server->data_centre);

	return !server->retired && data_centre && !data_centre->retired;
}

const account_conf_t *
document_account_by_key(const document_t *document,
			const uint8_t hash[KEY_HASH_SIZE_BYTES])
{
	index_t *found = NULL;

	HASH_FIND(by_key, document->accounts_by_key, hash, KEY_HASH_SIZE_BYTES,
		  found);
	return found ? found->item : NULL;
}

void document_hash_key(const char *key, uint8_t hash[KEY_HASH_SIZE_BYTES])
{
	crypto_generichash(hash, KEY_HASH_SIZE_BYTES,
			   (const unsigned char *)key, strlen(key), NULL, 0);
}

static bool contains(char (*names)[NAME_SIZE_BYTES], size_t count,
		     const char *name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return true;
	return false;
}

bool document_account_may_use_class(const account_conf_t *account,
				    const char *class_name)
{
	return contains(account->classes, account->class_count, class_name);
}

bool document_account_may_use_service(const account_conf_t *account,
				      const char *service)
{
	return !account->services ||
	       contains(account->services, account->service_count, service);
}
