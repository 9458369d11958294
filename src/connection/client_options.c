#include "connection/client_options.h"

#include <string.h>

enum {
	/* A connection that was idle for longer may be silent for good without
	 * a sign; whole seconds, as libcurl wants them. */
	IDLE_MAX_S = 1,
	/* Limits the data that libcurl buffers for a paused call. */
	RECEIVE_BUFFER_SIZE_BYTES = 8 * 1024
};

static void set_method(CURL *easy, const client_request_t *request,
		       const char *body)
{
	if (!strcmp(request->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_size_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

void client_set_options(CURL *easy, const client_request_t *request,
			const char *body, struct curl_slist *headers)
{
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	if (request->target)
		curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->target);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (request->ca_file)
		curl_easy_setopt(easy, CURLOPT_CAINFO, request->ca_file);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	/* Ignores proxy settings of the environment: no server needs one. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE,
			 (long)RECEIVE_BUFFER_SIZE_BYTES);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)request->connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)request->total_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY,
			 (long)request->connect_only);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 (long)request->at_most_once);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)IDLE_MAX_S);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 (long)request->at_most_once);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	set_method(easy, request, body);
	if (request->ca_path)
		curl_easy_setopt(easy, CURLOPT_CAINFO, request->ca_path);
}
