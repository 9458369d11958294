#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "base/log.h"
#include "base/metrics.h"
#include "connection/client_private.h"

/* Responses without a body. */
enum { HTTP_NO_CONTENT = 204, HTTP_NOT_MODIFIED = 304 };

void client_note_unsent(CURL *easy, curl_socket_t fd)
{
	client_call_t *call = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	if (call && ioctl(fd, SIOCOUTQ, &call->unsent_bytes))
		call->unsent_bytes = 0;
}

/*
 * The end of the connection ends a response without length and chunks. A server
 * that closes the connection without reading all of the request resets it, but
 * the reset may come after what looks like such an end.
 * @return true if the server had not received the request by then
 */
static bool is_cut(const client_call_t *call)
{
	curl_off_t sent_bytes = 0, length = -1;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
			  &length);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return (sent_bytes < (curl_off_t)call->upload_bytes ||
		call->unsent_bytes) &&
	       length < 0 && !call->is_chunked && status != HTTP_NO_CONTENT &&
	       status != HTTP_NOT_MODIFIED;
}

/* @return true if a response with a length was received to its end */
static bool is_whole(const client_call_t *call)
{
	curl_off_t length = -1;

	curl_easy_getinfo(call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
			  &length);
	return call->head_done && length >= 0 &&
	       (curl_off_t)call->body_bytes == length;
}

static client_end_t map_end(const client_call_t *call)
{
	if (call->connect_only)
		return CLIENT_OK;
	return call->head_done && !is_cut(call) ? CLIENT_OK : CLIENT_BROKEN;
}

/*
 * Maps a result of libcurl. CLIENT_CONNECT_FAILED guarantees that no byte was
 * sent, so the number of sent bytes is checked besides the code: libcurl also
 * reports a failed connect when it repeats a request whose first connection
 * broke. It reports success if the connection ends within the headers.
 */
client_end_t client_map_result(const client_call_t *call, CURLcode code)
{
	long sent_bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	/* libcurl refuses some status lines itself. */
	if (call->is_invalid ||
	    (code == CURLE_UNSUPPORTED_PROTOCOL && sent_bytes))
		return CLIENT_INVALID;
	switch (code) {
	case CURLE_OK:
		return map_end(call);
	/* A server may answer, and close the connection, before it has read the
	 * request. */
	case CURLE_SEND_ERROR:
		return is_whole(call) ? CLIENT_OK : CLIENT_BROKEN;
	case CURLE_OPERATION_TIMEDOUT:
		return sent_bytes ? CLIENT_TIMED_OUT : CLIENT_CONNECT_FAILED;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
		return sent_bytes ? CLIENT_BROKEN : CLIENT_CONNECT_FAILED;
	default:
		return CLIENT_BROKEN;
	}
}

void client_log_invalid(const client_call_t *call, long status)
{
	const char *url = NULL;

	metrics_add(METRIC_ANSWERS_INVALID, 1);
	curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
	log_event(EVENT_ANSWER_INVALID, "url=%s status=%ld", url ? url : "-",
		  status);
}
