/**
 * @file mailbox.h
 * Typed messages between tasks of one process over ZeroMQ inproc sockets.
 *
 * A mailbox has one receiving task and any number of senders. Messages are
 * pointers; sending transfers ownership to the receiver.
 */
#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include <ev.h>

#include "base/err.h"

typedef struct mailbox mailbox_t;
typedef struct mailbox_sender mailbox_sender_t;

typedef void (*mailbox_receive_t)(void *context, void *message);

/**
 * Creates the receiving end on the loop of the receiving task.
 * @param zmq  ZeroMQ context of the process
 * @param name unique in the process
 */
mailbox_t *mailbox_create(void *zmq, const char *name, struct ev_loop *loop,
			  mailbox_receive_t receive, void *context, err_t *err);

/** Stops receiving and frees the mailbox; undelivered messages leak unless
 * they were drained by mailbox_drain(). */
void mailbox_destroy(mailbox_t *mailbox);

/** Delivers every message that is queued now. */
void mailbox_drain(mailbox_t *mailbox);

/** Creates a sending end; use it from one thread only. */
mailbox_sender_t *mailbox_sender_create(void *zmq, const char *name,
					err_t *err);
void mailbox_sender_destroy(mailbox_sender_t *sender);

/** Sends @p message; false only when the process is shutting down. */
bool mailbox_send(mailbox_sender_t *sender, void *message);

#endif
