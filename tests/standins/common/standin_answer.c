#include "standins/common/standin_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LENGTH_MARKER "ANSWER-TOKENS="
#define PROMPT_BYTES_PER_TOKEN 4

static void add_content(const json_t *content, struct buffer *prompt)
{
	size_t i;
	json_t *part;

	if (json_is_string(content)) {
		buffer_add(prompt, json_string_value(content),
			   json_string_length(content));
		return;
	}
	json_array_foreach(content, i, part)
		add_content(json_object_get(part, "text"), prompt);
}

void standin_prompt_text(const json_t *messages, struct buffer *prompt)
{
	size_t i;
	json_t *message;

	/* Allocates the data, which standin_answer_tokens() searches. */
	buffer_add_text(prompt, "");
	json_array_foreach(messages, i, message)
	{
		add_content(json_object_get(message, "role"), prompt);
		buffer_add_text(prompt, "\n");
		add_content(json_object_get(message, "content"), prompt);
		buffer_add_text(prompt, "\n");
	}
}

uint64_t standin_prompt_hash(const struct buffer *prompt)
{
	return XXH64(prompt->data, prompt->size, 0);
}

int64_t standin_prompt_tokens(const struct buffer *prompt)
{
	return (int64_t)prompt->size / PROMPT_BYTES_PER_TOKEN + 1;
}

void standin_token(uint64_t prompt_hash, int64_t index,
		   char token[STANDIN_TOKEN_SIZE])
{
	uint64_t hash = XXH64(&index, sizeof(index), prompt_hash);

	snprintf(token, STANDIN_TOKEN_SIZE, "w%05x ",
		 (unsigned int)(hash & 0xfffff));
}

int64_t standin_answer_tokens(const struct buffer *prompt, int64_t mean_tokens)
{
	const char *marker = strstr(prompt->data, LENGTH_MARKER);
	int64_t tokens;

	if (marker)
		tokens = strtoll(marker + strlen(LENGTH_MARKER), NULL, 10);
	else
		tokens = mean_tokens * 3 / 4 +
			 (int64_t)(standin_prompt_hash(prompt) %
				   (uint64_t)(mean_tokens / 2 + 1));
	return tokens > 0 ? tokens : 1;
}

size_t standin_prefix_hashes(const struct buffer *prompt, uint64_t *hashes,
			     size_t capacity)
{
	size_t count = prompt->size / STANDIN_BLOCK_BYTES;
	uint64_t seed = 0;
	size_t i;

	if (count > capacity)
		count = capacity;
	for (i = 0; i < count; i++) {
		seed = XXH64(prompt->data + i * STANDIN_BLOCK_BYTES,
			     STANDIN_BLOCK_BYTES, seed);
		hashes[i] = seed;
	}
	return count;
}
