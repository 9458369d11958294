/**
 * @file client_private.h
 * State of the HTTP client. Private to src/connection/client*.c.
 */
#ifndef CONNECTION_CLIENT_PRIVATE_H
#define CONNECTION_CLIENT_PRIVATE_H

#include <curl/curl.h>
#include <uthash.h>

#include "connection/client.h"

/** A connection to a server, see client_sockets.c. */
typedef struct client_connection client_connection_t;

struct client {
	CURLM *multi;
	struct ev_loop *loop;
	ev_timer timer;
	client_call_t *calls;
	client_connection_t *connections; /* hash table of open ones, by fd */
	/*
	 * Above 0 while libcurl runs. libcurl refuses to add or remove handles
	 * from inside its callbacks, so both wait until libcurl returned.
	 */
	int curl_depth;
	bool deferred; /* calls wait to be added or removed */
};

struct client_call {
	client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	client_handler_t handler;
	ev_timer idle;
	ev_tstamp last_activity; /* last receipt: loop time in seconds */
	ev_tstamp idle_timeout; /* seconds */
	size_t upload_bytes; /* body of the request */
	int unsent_bytes; /* of the request, in the kernel at the end */
	size_t header_bytes; /* received header lines */
	size_t body_bytes; /* of the response, taken by the handler */
	int64_t keepalive_ms; /* peer_silence_ms of the request */
	int64_t silence_ms; /* longest of the server or its VM; 0: no limit */
	int64_t unsent_until_us; /* clock_monotonic_us(); 0: no such limit */
	client_connection_t *connections; /* list of those that it uses */
	bool head_done; /* the headers of the response are complete */
	bool is_invalid; /* what was received is no HTTP response */
	bool is_chunked; /* the response */
	bool connect_only;
	bool added; /* the multi handle of the client has easy */
	bool paused;
	bool cancelled;
	client_call_t *prev, *next;
};

/** Notes how much of a request the server has not acknowledged, before libcurl
 * closes its socket. */
void client_note_unsent(CURL *easy, curl_socket_t fd);

/**
 * Maps a result of libcurl. CLIENT_CONNECT_FAILED guarantees that no byte was
 * sent. CLIENT_OK guarantees that the response is whole, unless the connection
 * ends it and the server received all of the request.
 */
client_end_t client_map_result(const client_call_t *call, CURLcode code);

/** Logs and counts a response that is none. */
void client_log_invalid(const client_call_t *call, long status);

#endif
