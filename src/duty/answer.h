/**
 * @file answer.h
 * Result of a call to the platform that only the holder of the duty lease
 * makes.
 */
#ifndef DUTY_ANSWER_H
#define DUTY_ANSWER_H

typedef enum {
	DUTY_ACCEPTED,
	DUTY_RETRY, /**< no answer, or the platform cannot take the call now:
			 send the same call again */
	DUTY_REFUSED /**< rejected permanently: do not send the call again */
} duty_answer_t;

#endif
