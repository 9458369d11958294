/**
 * @file frames.h
 * Reads ZeroMQ messages of several frames on a libev loop.
 */
#ifndef CONNECTION_FRAMES_H
#define CONNECTION_FRAMES_H

#include <ev.h>
#include <stdbool.h>
#include <zmq.h>

/** ZeroMQ socket and the handler that reads all messages waiting in it. */
typedef struct frames_source frames_source_t;
struct frames_source {
	ev_io readable;
	ev_prepare before_wait; /**< runs the handler before each wait */
	struct ev_loop *loop;
	/** Set before frames_watch(); closed by frames_unwatch(). */
	void *socket;
	void (*handle)(void *context);
	void *context;
};

/**
 * Calls @p handle whenever messages may be waiting in source->socket.
 * @return false if the socket has no file descriptor
 */
bool frames_watch(frames_source_t *source, struct ev_loop *loop,
		  void (*handle)(void *context), void *context);

/** Stops the calls of the handler and closes the socket, if not NULL. */
void frames_unwatch(frames_source_t *source);

/**
 * Reads one message without waiting; frames beyond @p capacity are dropped.
 * @return the number of frames of the message, with dropped frames; 0: no
 * message is waiting
 */
int frames_receive(void *socket, zmq_msg_t *frames, int capacity);

/**
 * Frees the frames of a message.
 * @param count result of frames_receive() with the same @p capacity
 */
void frames_close(zmq_msg_t *frames, int count, int capacity);

#endif
