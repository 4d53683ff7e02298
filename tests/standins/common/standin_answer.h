/**
 * @file standin_answer.h
 * The answer that the model engine stand-in gives to a prompt, so that a
 * client can tell whether it got the whole answer to its own request.
 */
#ifndef STANDINS_COMMON_STANDIN_ANSWER_H
#define STANDINS_COMMON_STANDIN_ANSWER_H

#include <jansson.h>
#include <stdint.h>

#include "base/buffer.h"

#define STANDIN_TOKEN_SIZE 8
#define STANDIN_BLOCK_BYTES 256

/** Each message's role, newline, content, newline. */
void standin_prompt_text(const json_t *messages, struct buffer *prompt);

uint64_t standin_prompt_hash(const struct buffer *prompt);

int64_t standin_prompt_tokens(const struct buffer *prompt);

/** Writes token number index of the answer, terminator included. */
void standin_token(uint64_t prompt_hash, int64_t index,
		   char token[STANDIN_TOKEN_SIZE]);

/**
 * Tokens of the whole answer: the prompt's own "ANSWER-TOKENS=N", or three
 * to five quarters of the mean.
 */
int64_t standin_answer_tokens(const struct buffer *prompt, int64_t mean);

/** Hashes whole blocks as the interface says. @return their number */
size_t standin_prefix_hashes(const struct buffer *prompt, uint64_t *hashes,
			     size_t capacity);

#endif
