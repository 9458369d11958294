/**
 * @file prompt.h
 * Builds prompts and request bodies of model calls from a seed.
 */
#ifndef TESTS_LIB_PROMPT_H
#define TESTS_LIB_PROMPT_H

#include "lib/client.h"

/**
 * Builds the JSON body of a model call.
 * @param seed set to the seed of the tokens that an engine stand-in generates
 * @return the body, which the caller frees
 */
char *prompt_body(const call_spec_t *spec, uint64_t *seed);

#endif
