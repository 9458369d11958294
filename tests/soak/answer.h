/**
 * @file answer.h
 * Tells when an answer is whole, while it is received.
 */
#ifndef TESTS_SOAK_ANSWER_H
#define TESTS_SOAK_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { HEAD_MAX_BYTES = 4096 };

/** An answer, as far as it was received; all 0: nothing was. */
typedef struct {
	char head[HEAD_MAX_BYTES];
	size_t head_size;
	bool head_done, is_whole;
	int64_t left; /**< bytes of the body; -1: it comes in chunks */
	char last[8]; /**< bytes received last, to find the end of the chunks */
	size_t body_size;
} answer_t;

/** Takes bytes that were received. */
void answer_read(answer_t *answer, const char *data, size_t size);

#endif
