#include "request/parse.h"

#include <string.h>
#include <strings.h>

#include "base/mem.h"
#include "request/content_id.h"

static bool refuse(err_t *err, refusal_t refusal, const char *message)
{
	return err_set(err, ERR_LAYER_REQUEST, (int32_t)refusal, "%s", message);
}

static bool parse_service_path(const char *path, endpoint_t *endpoint,
			       err_t *err)
{
	size_t size = strcspn(path, "/");

	if (!size || size >= sizeof(endpoint->service))
		return refuse(err, REFUSAL_NOT_FOUND, "no such service");
	endpoint->type = ENDPOINT_SERVICE;
	memcpy(endpoint->service, path, size);
	endpoint->service[size] = '\0';
	endpoint->rest = path + size;
	return true;
}

bool parse_endpoint(const char *method, const char *path, endpoint_t *endpoint,
		    err_t *err)
{
	static const struct {
		const char *path;
		const char *method;
		endpoint_type_t type;
	} endpoints[] = {
		{ "/v1/completions", "POST", ENDPOINT_COMPLETION },
		{ "/v1/chat/completions", "POST", ENDPOINT_CHAT },
		{ "/v1/models", "GET", ENDPOINT_MODELS },
	};
	static const char services[] = "/services/";
	size_t i;

	memset(endpoint, 0, sizeof(*endpoint));
	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (strcmp(path, endpoints[i].path) != 0)
			continue;
		endpoint->type = endpoints[i].type;
		if (!strcmp(method, endpoints[i].method))
			return true;
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_BAD_REQUEST,
			       "%s needs the method %s", path,
			       endpoints[i].method);
	}
	if (!strncmp(path, services, sizeof(services) - 1))
		return parse_service_path(path + sizeof(services) - 1, endpoint,
					  err);
	return refuse(err, REFUSAL_NOT_FOUND, "no such path");
}

const char *parse_bearer(const char *authorization)
{
	static const char scheme[] = "Bearer ";

	if (!authorization ||
	    strncasecmp(authorization, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	authorization += sizeof(scheme) - 1;
	authorization += strspn(authorization, " ");
	return *authorization ? authorization : NULL;
}

bool parse_idempotency_key(const char *header, bool required,
			   char key[IDEMPOTENCY_KEY_SIZE_BYTES], err_t *err)
{
	const char *at;

	key[0] = '\0';
	if (!header)
		return !required ||
		       refuse(err, REFUSAL_KEY_REQUIRED,
			      refusal_message(REFUSAL_KEY_REQUIRED));
	for (at = header; *at > ' ' && *at <= '~'; at++)
		;
	if (*at || at == header ||
	    mem_strlcpy(key, header, IDEMPOTENCY_KEY_SIZE_BYTES)) {
		key[0] = '\0';
		return refuse(err, REFUSAL_BAD_REQUEST,
			      "Idempotency-Key: expected 1 to 128 visible "
			      "ASCII characters");
	}
	return true;
}

const class_conf_t *parse_class(const document_t *document,
				const account_conf_t *account,
				const service_conf_t *service,
				const char *header, err_t *err)
{
	const class_conf_t *class_conf;

	if (!header)
		return document_class(document, service->class_name);
	class_conf = document_class(document, header);
	if (class_conf && (document_account_may_use_class(account, header) ||
			   !strcmp(header, service->class_name)))
		return class_conf;
	refuse(err, REFUSAL_FORBIDDEN, "the account may not use this class");
	return NULL;
}

bool parse_body_size(int64_t size_bytes, int64_t max_bytes, err_t *err)
{
	if (size_bytes < 0)
		return refuse(err, REFUSAL_BAD_REQUEST,
			      "a body needs a Content-Length header");
	if (size_bytes <= max_bytes)
		return true;
	return err_set(err, ERR_LAYER_REQUEST, REFUSAL_TOO_LARGE,
		       "the request body exceeds %lld bytes",
		       (long long)max_bytes);
}

void parse_request_hash(const char *method, const char *path, const char *query,
			const void *body, size_t size,
			uint8_t hash[REQUEST_HASH_SIZE_BYTES])
{
	const char *const texts[] = { method, path, query };

	content_hash(texts, sizeof(texts) / sizeof(texts[0]), body, size, hash);
}
