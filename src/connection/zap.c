#include "connection/zap.h"

#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/frames.h"

/* Frames of a ZAP request, ZeroMQ RFC 27. */
enum {
	FRAME_VERSION,
	FRAME_REQUEST_ID,
	FRAME_DOMAIN,
	FRAME_ADDRESS,
	FRAME_IDENTITY,
	FRAME_MECHANISM,
	FRAME_KEY,
	FRAME_COUNT
};

enum { CURVE_KEY_BINARY_BYTES = 32, CURVE_KEY_Z85_CHARS = 40 };

struct zap {
	frames_source_t source;
	uint8_t fleet_key[CURVE_KEY_BINARY_BYTES];
};

static bool frame_is(zmq_msg_t *frame, const void *data, size_t size)
{
	return zmq_msg_size(frame) == size &&
	       !memcmp(zmq_msg_data(frame), data, size);
}

static bool is_accepted(const zap_t *zap, zmq_msg_t *frames, int count)
{
	return count == FRAME_COUNT &&
	       frame_is(&frames[FRAME_VERSION], "1.0", 3) &&
	       frame_is(&frames[FRAME_MECHANISM], "CURVE", 5) &&
	       frame_is(&frames[FRAME_KEY], zap->fleet_key,
			CURVE_KEY_BINARY_BYTES);
}

/* Sends status 200 or 400 with empty text, user id and metadata. */
static void reply(zap_t *zap, zmq_msg_t *request_id, bool accepted)
{
	void *socket = zap->source.socket;

	zmq_send(socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(socket, zmq_msg_data(request_id), zmq_msg_size(request_id),
		 ZMQ_SNDMORE);
	zmq_send(socket, accepted ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, 0);
}

static void log_refusal(zmq_msg_t *frames, int count)
{
	zmq_msg_t *address = &frames[FRAME_ADDRESS];

	metrics_add(METRIC_PEER_KEY_REFUSED, 1);
	if (count > FRAME_ADDRESS)
		log_event(EVENT_PEER_KEY_REFUSED, "address=%.*s",
			  (int)zmq_msg_size(address),
			  (const char *)zmq_msg_data(address));
}

static void handle_requests(void *context)
{
	zap_t *zap = context;
	zmq_msg_t frames[FRAME_COUNT];
	int count;

	while ((count = frames_receive(zap->source.socket, frames,
				       FRAME_COUNT))) {
		bool accepted = is_accepted(zap, frames, count);

		if (!accepted)
			log_refusal(frames, count);
		if (count > FRAME_REQUEST_ID)
			reply(zap, &frames[FRAME_REQUEST_ID], accepted);
		frames_close(frames, count, FRAME_COUNT);
	}
}

zap_t *zap_create(void *zmq, struct ev_loop *loop, const char *public_key)
{
	zap_t *zap = mem_calloc(1, sizeof(*zap));

	int error;

	zap->source.socket = zmq_socket(zmq, ZMQ_REP);
	if (strlen(public_key) != CURVE_KEY_Z85_CHARS ||
	    !zmq_z85_decode(zap->fleet_key, public_key))
		errno = EINVAL;
	else if (zap->source.socket &&
		 !zmq_bind(zap->source.socket, "inproc://zeromq.zap.01") &&
		 frames_watch(&zap->source, loop, handle_requests, zap))
		return zap;
	error = errno;
	zap_destroy(zap);
	errno = error;
	return NULL;
}

void zap_destroy(zap_t *zap)
{
	if (!zap)
		return;
	frames_unwatch(&zap->source);
	free(zap);
}
