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

/** Receives one message on the thread of the receiving task. */
typedef void (*mailbox_receive_t)(void *context, void *message);

/**
 * Creates the receiving end on the loop of the receiving task.
 * @param zmq     ZeroMQ context of the process
 * @param name    unique in the process
 * @param receive called with @p context for each message
 * @return NULL on failure, with @p err filled in
 */
mailbox_t *mailbox_create(void *zmq, const char *name, struct ev_loop *loop,
			  mailbox_receive_t receive, void *context, err_t *err);

/**
 * Stops receiving and frees the mailbox; NULL is allowed. Queued messages leak
 * unless mailbox_drain() delivered them before.
 */
void mailbox_destroy(mailbox_t *mailbox);

/** Calls the receive function for every queued message. */
void mailbox_drain(mailbox_t *mailbox);

/**
 * Creates a sending end, which only one thread may use.
 * @return NULL on failure, with @p err filled in
 */
mailbox_sender_t *mailbox_sender_create(void *zmq, const char *name,
					err_t *err);
void mailbox_sender_destroy(mailbox_sender_t *sender);

/**
 * Sends @p message.
 * @return false if the message was not sent, which happens only while the
 *         process shuts down
 */
bool mailbox_send(mailbox_sender_t *sender, void *message);

#endif
