#include "version/check.h"

#include <string.h>

#include "version/fields.h"

static const void *section_item(const document_t *document, section_id_t id,
				size_t index)
{
	switch (id) {
	case SECTION_DATA_CENTRES:
		return document_data_centre_at(document, index);
	case SECTION_DISTANCES:
		return document_distance_at(document, index);
	case SECTION_SERVERS:
		return document_server_at(document, index);
	case SECTION_SERVICES:
		return document_service_at(document, index);
	case SECTION_CLASSES:
		return document_class_at(document, index);
	case SECTION_ACCOUNTS:
		return document_account_at(document, index);
	case SECTION_COUNT:
		break;
	}
	return NULL;
}

/* True if @p section has an item called @p name. */
static bool exists(const document_t *document, const char *section,
		   const char *name)
{
	if (!strcmp(section, "data_centres"))
		return document_data_centre(document, name);
	if (!strcmp(section, "servers"))
		return document_server(document, name);
	if (!strcmp(section, "services"))
		return document_service(document, name);
	return document_class(document, name);
}

static bool check_name(const document_t *document, const field_t *field,
		       const char *path, size_t index, const char *name,
		       err_t *err)
{
	if (exists(document, field->refers_to, name))
		return true;
	return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_REFERENCE,
		       "%s[%zu].%s: no \"%s\" in %s", path, index, field->key,
		       name, field->refers_to);
}

static bool check_references(const document_t *document, section_id_t id,
			     size_t index, const void *item, err_t *err)
{
	const section_t *section = &sections[id];
	size_t f, n;

	for (f = 0; f < section->field_count; f++) {
		const field_t *field = &section->fields[f];
		const char *member = (const char *)item + field->offset_bytes;
		const names_t *names = (const void *)member;

		if (!field->refers_to)
			continue;
		if (field->type == FIELD_NAME) {
			if (!check_name(document, field, section->key, index,
					member, err))
				return false;
			continue;
		}
		for (n = 0; n < names->count; n++)
			if (!check_name(document, field, section->key, index,
					names->names[n], err))
				return false;
	}
	return true;
}

static bool rule_error(err_t *err, const char *section, size_t index,
		       const char *problem)
{
	return err_set(err, ERR_LAYER_DOCUMENT, DOCUMENT_ERR_SCHEMA,
		       "%s[%zu].%s", section, index, problem);
}

static bool check_server(const server_conf_t *server, size_t index, err_t *err)
{
	if (server->cold_requests > server->max_requests)
		return rule_error(err, "servers", index,
				  "cold_requests: above max_requests");
	if (server->kind == SERVER_ENGINE && !server->kv_tokens)
		return rule_error(err, "servers", index,
				  "kv_tokens: an engine needs KV memory");
	if (server->kind == SERVER_ENGINE && !*server->model)
		return rule_error(err, "servers", index,
				  "model: an engine needs a model");
	return true;
}

static bool check_service(const document_t *document,
			  const service_conf_t *service, size_t index,
			  err_t *err)
{
	size_t i;

	if (service->kind == SERVICE_MODEL) {
		if (!*service->model)
			return rule_error(
				err, "services", index,
				"model: a model service needs a model");
		if (service->server_count)
			return rule_error(err, "services", index,
					  "servers: only a plain service has "
					  "servers");
		if (!service->repeatable)
			return rule_error(err, "services", index,
					  "repeatable: must be true for a "
					  "model service");
		return true;
	}
	if (!service->server_count)
		return rule_error(err, "services", index,
				  "servers: a plain service needs servers");
	for (i = 0; i < service->server_count; i++)
		if (document_server(document, service->servers[i])->kind !=
		    SERVER_PLAIN)
			return rule_error(err, "services", index,
					  "servers: a plain service names a "
					  "model engine");
	return true;
}

bool check_document(const document_t *document, err_t *err)
{
	const void *item;
	size_t i;
	int id;

	for (id = 0; id < SECTION_COUNT; id++) {
		for (i = 0; (item = section_item(document, id, i)); i++)
			if (!check_references(document, id, i, item, err))
				return false;
	}
	for (i = 0; i < document_server_count(document); i++)
		if (!check_server(document_server_at(document, i), i, err))
			return false;
	for (i = 0; i < document_service_count(document); i++)
		if (!check_service(document, document_service_at(document, i),
				   i, err))
			return false;
	return true;
}
