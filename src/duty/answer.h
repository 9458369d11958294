/**
 * @file answer.h
 * How the platform took a call that is the duty of one node.
 */
#ifndef DUTY_ANSWER_H
#define DUTY_ANSWER_H

typedef enum {
	DUTY_ACCEPTED,
	DUTY_RETRY, /**< no answer, or no room: the same call again */
	DUTY_REFUSED /**< never */
} duty_answer_t;

#endif
