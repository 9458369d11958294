#include "connection/platform_codec.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

enum {
	HTTP_OK = 200,
	HTTP_MULTIPLE_CHOICES = 300,
	HTTP_NOT_FOUND = 404,
	HTTP_REQUEST_TIMEOUT = 408,
	HTTP_CONFLICT = 409,
	HTTP_GONE = 410,
	HTTP_TOO_MANY_REQUESTS = 429,
	HTTP_SERVER_ERROR = 500
};

const char *platform_kind_text(platform_kind_t kind)
{
	switch (kind) {
	case PLATFORM_CONFIGURATIONS:
		return "configurations";
	case PLATFORM_CLAIMS:
		return "claims";
	case PLATFORM_LEASES:
		return "leases";
	}
	return "";
}

bool platform_url(char url[PLATFORM_URL_SIZE_BYTES],
		  const platform_conf_t *conf, const char *kind,
		  const char *name)
{
	char *escaped = name ? curl_easy_escape(NULL, name, 0) : NULL;
	int length;

	if (name && !escaped)
		return false;
	length = snprintf(url, PLATFORM_URL_SIZE_BYTES,
			  "%s/apis/chivestage.dev/v1/namespaces/%s/%s%s%s",
			  conf->url, conf->namespace_name, kind,
			  name ? "/" : "", name ? escaped : "");
	curl_free(escaped);
	return length > 0 && length < PLATFORM_URL_SIZE_BYTES;
}

static platform_status_t http_status_of(platform_call_type_t type, int status)
{
	if (status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES)
		return PLATFORM_OK;
	if (status == HTTP_NOT_FOUND)
		return PLATFORM_NOT_FOUND;
	if (status == HTTP_CONFLICT)
		return type == PLATFORM_CALL_CREATE ? PLATFORM_EXISTS
						    : PLATFORM_CONFLICT;
	if (status == HTTP_GONE)
		return PLATFORM_CONFLICT;
	if (status == HTTP_TOO_MANY_REQUESTS)
		return PLATFORM_BUDGET;
	/* The platform may have stored the object before it gave up. */
	if (status == HTTP_REQUEST_TIMEOUT || status >= HTTP_SERVER_ERROR)
		return PLATFORM_UNKNOWN;
	return PLATFORM_REFUSED;
}

platform_status_t platform_status(platform_call_type_t type, client_end_t end,
				  int http_status)
{
	switch (end) {
	case CLIENT_OK:
		return http_status_of(type, http_status);
	case CLIENT_CONNECT_FAILED:
		return PLATFORM_UNSENT;
	case CLIENT_TIMED_OUT:
	case CLIENT_BROKEN:
	case CLIENT_CANCELLED:
		break;
	}
	return PLATFORM_UNKNOWN;
}

/* resourceVersion is a string in the Kubernetes API. */
static bool parse_version(const json_t *json, int64_t *version)
{
	const char *text = json_string_value(json);
	char *end;

	if (json_is_integer(json)) {
		*version = json_integer_value(json);
		return *version >= 0;
	}
	if (!text || !*text || strspn(text, "0123456789") != strlen(text) ||
	    strlen(text) > 18)
		return false;
	*version = strtoll(text, &end, 10);
	return true;
}

static bool read_object(json_t *root, platform_object_t *object)
{
	json_t *metadata = json_object_get(root, "metadata");
	const char *name = json_string_value(json_object_get(metadata, "name"));

	memset(object, 0, sizeof(*object));
	object->spec = json_object_get(root, "spec");
	return name && !mem_strlcpy(object->name, name, sizeof(object->name)) &&
	       parse_version(json_object_get(metadata, "resourceVersion"),
			     &object->version) &&
	       json_is_object(object->spec);
}

json_t *platform_parse_object(const char *text, size_t size,
			      platform_object_t *object, err_t *err)
{
	json_error_t error;
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &error);

	if (!root) {
		err_set(err, ERR_LAYER_PLATFORM, PLATFORM_ERR_MALFORMED,
			"object: line %d column %d: %s", error.line,
			error.column, error.text);
		return NULL;
	}
	if (!read_object(root, object)) {
		err_set(err, ERR_LAYER_PLATFORM, PLATFORM_ERR_MALFORMED,
			"object: expected metadata.name, "
			"metadata.resourceVersion and spec");
		json_decref(root);
		return NULL;
	}
	return root;
}

platform_status_t platform_parse_event(const char *line, size_t size,
				       json_t **root, platform_object_t *object)
{
	json_t *event = json_loadb(line, size, JSON_REJECT_DUPLICATES, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	platform_status_t status = PLATFORM_UNKNOWN;

	*root = event;
	if (!type)
		return status;
	memset(object, 0, sizeof(*object));
	if (!strcmp(type, "ERROR"))
		status = PLATFORM_CONFLICT;
	else if (!strcmp(type, "DELETED"))
		status = PLATFORM_NOT_FOUND;
	else if (!strcmp(type, "BOOKMARK") ||
		 ((!strcmp(type, "ADDED") || !strcmp(type, "MODIFIED")) &&
		  read_object(json_object_get(event, "object"), object)))
		status = PLATFORM_OK;
	return status;
}

platform_object_t *platform_parse_list(const char *text, size_t size,
				       json_t **root, size_t *count, char *next,
				       err_t *err)
{
	json_t *list = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	json_t *items = json_object_get(list, "items");
	const char *from = json_string_value(
		json_object_get(json_object_get(list, "metadata"), "continue"));
	platform_object_t *objects =
		mem_calloc(json_array_size(items), sizeof(*objects));
	bool valid =
		json_is_array(items) &&
		!mem_strlcpy(next, from ? from : "", PLATFORM_NEXT_SIZE_BYTES);
	size_t i;

	*root = list;
	*count = json_array_size(items);
	for (i = 0; valid && i < *count; i++)
		valid = read_object(json_array_get(items, i), &objects[i]);
	if (valid)
		return objects;
	err_set(err, ERR_LAYER_PLATFORM, PLATFORM_ERR_MALFORMED,
		"list: expected an array \"items\" of objects");
	free(objects);
	return NULL;
}

static bool read_vm(const json_t *item, platform_vm_t *vm)
{
	const json_t *spec = json_object_get(item, "spec");
	const char *name = json_string_value(
		json_object_get(json_object_get(item, "metadata"), "name"));
	const char *data_centre =
		json_string_value(json_object_get(spec, "data_centre"));
	const char *address =
		json_string_value(json_object_get(spec, "address"));

	if (!name || !data_centre || !address)
		return false;
	vm->leaving = json_is_true(json_object_get(spec, "leaving"));
	return !mem_strlcpy(vm->id, name, sizeof(vm->id)) &&
	       !mem_strlcpy(vm->data_centre, data_centre,
			    sizeof(vm->data_centre)) &&
	       !mem_strlcpy(vm->address, address, sizeof(vm->address));
}

platform_vm_t *platform_parse_vms(const char *text, size_t size, size_t *count,
				  err_t *err)
{
	json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	json_t *items = json_object_get(root, "items");
	platform_vm_t *vms = NULL;
	size_t i;

	*count = json_array_size(items);
	if (json_is_array(items))
		vms = mem_calloc(*count, sizeof(*vms));
	else
		err_set(err, ERR_LAYER_PLATFORM, PLATFORM_ERR_MALFORMED,
			"VM list: expected an array \"items\"");
	for (i = 0; vms && i < *count; i++) {
		if (read_vm(json_array_get(items, i), &vms[i]))
			continue;
		err_set(err, ERR_LAYER_PLATFORM, PLATFORM_ERR_MALFORMED,
			"VM list: items[%zu]: expected metadata.name, "
			"spec.data_centre and spec.address",
			i);
		free(vms);
		vms = NULL;
	}
	json_decref(root);
	return vms;
}

char *platform_format_object(const char *name, int64_t version,
			     const json_t *spec)
{
	char number[24];
	json_t *root, *metadata = json_object();
	char *text;

	json_object_set_new(metadata, "name", json_string(name));
	if (version > 0) {
		snprintf(number, sizeof(number), "%" PRId64, version);
		json_object_set_new(metadata, "resourceVersion",
				    json_string(number));
	}
	root = json_object();
	json_object_set_new(root, "metadata", metadata);
	json_object_set(root, "spec", (json_t *)spec);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
