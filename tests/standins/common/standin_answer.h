/**
 * @file standin_answer.h
 * The answer of the model engine stand-in. Its tokens are computed from the
 * prompt, so that a client can check that it received the whole answer to its
 * own request.
 */
#ifndef STANDINS_COMMON_STANDIN_ANSWER_H
#define STANDINS_COMMON_STANDIN_ANSWER_H

#include <jansson.h>
#include <stdint.h>

#include "base/buffer.h"

#define STANDIN_TOKEN_SIZE 8
#define STANDIN_BLOCK_BYTES 256

/** Appends each message's role and content, each followed by a newline. */
void standin_prompt_text(const json_t *messages, struct buffer *prompt);

uint64_t standin_prompt_hash(const struct buffer *prompt);

int64_t standin_prompt_tokens(const struct buffer *prompt);

/** Writes the answer's token with this index, and a terminating NUL. */
void standin_token(uint64_t prompt_hash, int64_t index,
		   char token[STANDIN_TOKEN_SIZE]);

/**
 * @return the number of tokens of the complete answer: N if the prompt contains
 * "ANSWER-TOKENS=N", else 75 to 125 % of mean_tokens, depending on the prompt's
 * hash
 */
int64_t standin_answer_tokens(const struct buffer *prompt, int64_t mean_tokens);

/** Hashes the prompt's complete blocks; as the engines' interface requires,
 * each hash also covers all blocks before it. @return the number of hashes */
size_t standin_prefix_hashes(const struct buffer *prompt, uint64_t *hashes,
			     size_t capacity);

#endif
