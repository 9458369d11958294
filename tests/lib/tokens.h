/**
 * @file tokens.h
 * The tokens that an engine stand-in answers: a function of the prompt and
 * the index, so that an answer can be checked, also over several attempts.
 */
#ifndef TESTS_LIB_TOKENS_H
#define TESTS_LIB_TOKENS_H

#include <stdint.h>
#include <stdio.h>
#include <xxhash.h>

/* Bytes of an answer token, and of a prompt for each of its tokens. */
enum { TOKEN_SIZE_BYTES = 8, PROMPT_BYTES_PER_TOKEN = 4 };

static inline uint64_t tokens_seed(const char *prompt, size_t size)
{
	return XXH3_64bits(prompt, size);
}

/** Writes token @p index, seven digits and a space. */
static inline void token_text(uint64_t seed, int64_t index,
			      char text[TOKEN_SIZE_BYTES + 1])
{
	uint64_t hash = XXH64(&index, sizeof(index), seed);

	snprintf(text, TOKEN_SIZE_BYTES + 1, "%07x ",
		 (unsigned int)(hash & 0xfffffff));
}

static inline int64_t prompt_token_count(size_t size)
{
	return (int64_t)((size + PROMPT_BYTES_PER_TOKEN - 1) /
			 PROMPT_BYTES_PER_TOKEN);
}

#endif
