/**
 * @file client_options.h
 * Sets the options of a libcurl handle. Private to the HTTP client.
 */
#ifndef CONNECTION_CLIENT_OPTIONS_H
#define CONNECTION_CLIENT_OPTIONS_H

#include <curl/curl.h>

#include "connection/client.h"

/**
 * Sets the options of @p easy from @p request.
 * @param body    request body, or NULL; must stay valid as long as @p easy
 * @param headers request headers; must stay valid as long as @p easy
 */
void client_set_options(CURL *easy, const client_request_t *request,
			const char *body, struct curl_slist *headers);

#endif
