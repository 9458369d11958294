/**
 * @file prompt.h
 * Prompts and bodies of model calls, as a function of a seed.
 */
#ifndef TESTS_LIB_PROMPT_H
#define TESTS_LIB_PROMPT_H

#include "lib/client.h"

/**
 * Builds the JSON body of a model call.
 * @param seed set to the seed of the tokens that a stand-in answers
 * @return the body, which the caller frees
 */
char *prompt_body(const call_spec_t *spec, uint64_t *seed);

#endif
