/**
 * @file frames.h
 * Multi-part messages of ZeroMQ sockets on a libev loop.
 */
#ifndef CONNECTION_FRAMES_H
#define CONNECTION_FRAMES_H

#include <ev.h>
#include <stdbool.h>
#include <zmq.h>

/** A socket whose messages a handler reads until there are none. */
typedef struct frames_source frames_source_t;
struct frames_source {
	ev_io readable;
	ev_prepare before_wait;
	struct ev_loop *loop;
	void *socket; /**< set by the user; closed by frames_unwatch() */
	void (*handle)(void *context);
	void *context;
};

/** Starts to call the handler; false if the socket has no descriptor. */
bool frames_watch(frames_source_t *source, struct ev_loop *loop,
		  void (*handle)(void *context), void *context);

/** Stops calling the handler and closes the socket, if there is one. */
void frames_unwatch(frames_source_t *source);

/**
 * Reads one message without waiting; frames beyond @p capacity are dropped.
 * @return its number of frames, 0 without a message
 */
int frames_receive(void *socket, zmq_msg_t *frames, int capacity);

/** Frees the frames of a message. */
void frames_close(zmq_msg_t *frames, int count, int capacity);

#endif
