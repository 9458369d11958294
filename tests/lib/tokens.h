/**
 * @file tokens.h
 * Tokens that an engine stand-in generates. Each token is a function of the
 * prompt and the index of the token, so that a test can check an answer, also
 * one that several attempts generated.
 */
#ifndef TESTS_LIB_TOKENS_H
#define TESTS_LIB_TOKENS_H

#include <stdint.h>
#include <stdio.h>
#include <xxhash.h>

enum {
	TOKEN_SIZE_BYTES = 8, /**< size of a generated token */
	PROMPT_BYTES_PER_TOKEN = 4 /**< bytes of a prompt that make one token */
};

/** @return the seed of the tokens that answer a prompt. */
static inline uint64_t tokens_seed(const char *prompt, size_t size)
{
	return XXH3_64bits(prompt, size);
}

/** Writes the token at @p index: seven hexadecimal digits and a space. */
static inline void token_text(uint64_t seed, int64_t index,
			      char text[TOKEN_SIZE_BYTES + 1])
{
	uint64_t hash = XXH64(&index, sizeof(index), seed);

	snprintf(text, TOKEN_SIZE_BYTES + 1, "%07x ",
		 (unsigned int)(hash & 0xfffffff));
}

/** @return the number of tokens of a prompt of @p size bytes, rounded up. */
static inline int64_t prompt_token_count(size_t size)
{
	return (int64_t)((size + PROMPT_BYTES_PER_TOKEN - 1) /
			 PROMPT_BYTES_PER_TOKEN);
}

#endif
