/**
 * @file client_options.h
 * Options of one libcurl handle. Private to the HTTP client.
 */
#ifndef CONNECTION_CLIENT_OPTIONS_H
#define CONNECTION_CLIENT_OPTIONS_H

#include <curl/curl.h>

#include "connection/client.h"

/** Sets what the request states; @p body and @p headers must stay valid. */
void client_set_options(CURL *easy, const client_request_t *request,
			const char *body, struct curl_slist *headers);

#endif
