#include "lib/prompt.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "lib/tokens.h"

/* @return the next number of a random sequence */
static uint64_t next_random(uint64_t *state)
{
	return XXH64(state, sizeof(*state), ++*state);
}

/*
 * Makes a prompt of hexadecimal words. The first quarter is one of eight texts
 * that prompts share, so that engines find cached prefixes; the rest depends on
 * the seed, and the last word names the call.
 */
static char *make_prompt(const call_spec_t *spec)
{
	size_t size = (size_t)spec->prompt_tokens * PROMPT_BYTES_PER_TOKEN;
	uint64_t own_state = spec->seed, shared_state = spec->seed % 8;
	char suffix[64], word[20], *prompt;
	size_t i, suffix_size;

	suffix_size =
		(size_t)snprintf(suffix, sizeof(suffix), " call=%s", spec->id);
	if (size < suffix_size)
		size = suffix_size;
	prompt = mem_calloc(size + 1, 1);
	for (i = 0; i < size - suffix_size; i += 16) {
		size_t left = size - suffix_size - i;

		snprintf(word, sizeof(word), "%015" PRIx64 " ",
			 next_random(i < size / 4 ? &shared_state
						  : &own_state) >>
				 4);
		memcpy(prompt + i, word, left < 16 ? left : 16);
	}
	memcpy(prompt + size - suffix_size, suffix, suffix_size);
	return prompt;
}

char *prompt_body(const call_spec_t *spec, uint64_t *seed)
{
	static const char *const formats[] = {
		"\"prompt\":\"%s\"",
		"\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]"
	};
	char *prompt = make_prompt(spec), *body;
	size_t size = strlen(prompt), used;

	*seed = tokens_seed(prompt, size);
	body = mem_calloc(size + 512, 1);
	used = (size_t)snprintf(body, 512,
				"{\"model\":\"%s\",\"stream\":true,"
				"\"max_tokens\":%" PRId64 ",",
				spec->service, spec->max_tokens);
	if (!spec->key)
		used += (size_t)snprintf(body + used, 128,
					 "\"stream_id\":\"%s.1.1.1\",",
					 spec->id);
	used += (size_t)snprintf(body + used, size + 128, formats[spec->chat],
				 prompt);
	memcpy(body + used, "}", 2);
	free(prompt);
	return body;
}
