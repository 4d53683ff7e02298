#include "protocol/chat_request.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/buffer.h"
#include "base/xalloc.h"

#define MAX_TOKENS_LIMIT 10000000

/* Hashes the prompt's text in blocks. Each hash is the seed of the next one, so
 * it identifies the whole prefix up to the end of its block. */
struct prefix_hasher {
	struct chat_request *request;
	size_t filled;
	char block[CHAT_PREFIX_BLOCK_BYTES];
};

static void prefix_add(struct prefix_hasher *hasher, const char *text,
		       size_t size)
{
	struct chat_request *request = hasher->request;

	while (size && request->prefix_count < TGW_PREFIX_HASHES_MAX) {
		size_t free_bytes = CHAT_PREFIX_BLOCK_BYTES - hasher->filled;
		size_t copied = size < free_bytes ? size : free_bytes;
		uint64_t seed = 0;

		memcpy(hasher->block + hasher->filled, text, copied);
		hasher->filled += copied;
		text += copied;
		size -= copied;
		if (hasher->filled < CHAT_PREFIX_BLOCK_BYTES)
			return;
		if (request->prefix_count)
			seed = request->prefix_hashes[request->prefix_count -
						      1];
		request->prefix_hashes[request->prefix_count++] =
			XXH64(hasher->block, CHAT_PREFIX_BLOCK_BYTES, seed);
		hasher->filled = 0;
	}
}

static void prefix_add_json(struct prefix_hasher *hasher, const json_t *text)
{
	if (json_is_string(text))
		prefix_add(hasher, json_string_value(text),
			   json_string_length(text));
	prefix_add(hasher, "\n", 1);
}

static int64_t dump_size(const json_t *value)
{
	if (!value)
		return 0;
	if (json_is_string(value))
		return (int64_t)json_string_length(value);
	return (int64_t)json_dumpb(value, NULL, 0,
				   JSON_COMPACT | JSON_ENCODE_ANY);
}

static int64_t object_size(const json_t *object)
{
	const char *name;
	const json_t *value;
	int64_t size = 0;

	json_object_foreach((json_t *)object, name, value)
		size += (int64_t)strlen(name) + dump_size(value);
	return size;
}

/* Size of the fields, other than the messages, that engines add to the
 * prompt. */
static int64_t extra_prompt_bytes(const json_t *document)
{
	static const char *const fields[] = {"tools", "functions",
					     "response_format", "tool_choice"};
	int64_t size = 0;

	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		size += dump_size(json_object_get(document, fields[i]));
	return size;
}

static enum tgw_status check_model(struct chat_request *request,
				   const json_t *document,
				   struct tgw_error *error)
{
	const json_t *model = json_object_get(document, "model");

	if (!json_is_string(model) || json_string_length(model) == 0 ||
	    json_string_length(model) >= sizeof(request->model))
		return tgw_error_set(error, TGW_INVALID,
				     "\"model\" must be a name of 1 to %zu "
				     "bytes",
				     sizeof(request->model) - 1);
	snprintf(request->model, sizeof(request->model), "%s",
		 json_string_value(model));
	return TGW_OK;
}

static enum tgw_status check_messages(struct chat_request *request,
				      const json_t *document,
				      struct tgw_error *error)
{
	const json_t *messages = json_object_get(document, "messages");
	struct prefix_hasher hasher = {.request = request};
	const json_t *message;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return tgw_error_set(error, TGW_INVALID,
				     "\"messages\" must be a list of at least "
				     "one message");
	json_array_foreach(messages, i, message)
	{
		const json_t *role = json_object_get(message, "role");

		if (!json_is_string(role))
			return tgw_error_set(error, TGW_INVALID,
					     "message %zu needs a \"role\"", i);
		prefix_add_json(&hasher, role);
		prefix_add_json(&hasher, json_object_get(message, "content"));
		request->prompt_bytes += object_size(message);
	}
	request->prompt_bytes += extra_prompt_bytes(document);
	return TGW_OK;
}

static enum tgw_status check_limit(struct chat_request *request,
				   const json_t *document, const char *field,
				   struct tgw_error *error)
{
	const json_t *limit = json_object_get(document, field);

	if (!limit || json_is_null(limit))
		return TGW_OK;
	if (!json_is_integer(limit) || json_integer_value(limit) < 1 ||
	    json_integer_value(limit) > MAX_TOKENS_LIMIT)
		return tgw_error_set(error, TGW_INVALID,
				     "\"%s\" must be a whole number from 1 to "
				     "%d",
				     field, MAX_TOKENS_LIMIT);
	request->max_tokens = json_integer_value(limit);
	return TGW_OK;
}

static enum tgw_status check_options(struct chat_request *request,
				     const json_t *document,
				     struct tgw_error *error)
{
	const json_t *count = json_object_get(document, "n");
	const json_t *stream = json_object_get(document, "stream");

	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return tgw_error_set(error, TGW_INVALID,
				     "\"stream\" must be true or false");
	if (count && !json_is_null(count) &&
	    !(json_is_integer(count) && json_integer_value(count) == 1))
		return tgw_error_set(error, TGW_INVALID,
				     "\"n\" must be 1; send one request for "
				     "each answer");
	request->stream = json_is_true(stream);
	if (!request->stream && json_object_get(document, "tools"))
		return tgw_error_set(error, TGW_INVALID,
				     "\"tools\" need \"stream\": true");
	return TGW_OK;
}

enum tgw_status chat_request_parse(struct chat_request *request,
				   const char *body, size_t body_size,
				   struct tgw_error *error)
{
	json_error_t json_error;
	json_t *document;
	enum tgw_status status;

	memset(request, 0, sizeof(*request));
	document = json_loadb(body ? body : "", body_size,
			      JSON_REJECT_DUPLICATES, &json_error);
	if (!document)
		return tgw_error_set(error, TGW_INVALID,
				     "the body is not JSON: %s at byte %d",
				     json_error.text, json_error.position);
	request->document = document;
	if (!json_is_object(document)) {
		status = tgw_error_set(error, TGW_INVALID,
				       "the body must be a JSON object");
		goto cleanup;
	}
	status = check_model(request, document, error);
	if (status == TGW_OK)
		status = check_messages(request, document, error);
	if (status == TGW_OK)
		status = check_limit(request, document, "max_tokens", error);
	if (status == TGW_OK)
		status = check_limit(request, document, "max_completion_tokens",
				     error);
	if (status == TGW_OK)
		status = check_options(request, document, error);
cleanup:
	if (status != TGW_OK)
		chat_request_clear(request);
	return status;
}

void chat_request_clear(struct chat_request *request)
{
	json_decref(request->document);
	request->document = NULL;
}

char *chat_request_for_engine(const struct chat_request *request,
			      int64_t max_tokens)
{
	json_t *body = json_copy(request->document);
	char *text;

	json_object_del(body, "max_completion_tokens");
	json_object_set_new(body, "max_tokens", json_integer(max_tokens));
	json_object_del(body, "priority");
	json_object_set_new(body, "stream", json_true());
	json_object_set_new(body, "stream_options",
			    json_pack("{s:b}", "include_usage", 1));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (!text)
		abort();
	return text;
}

char *chat_request_with_priority(const char *body, int32_t priority)
{
	return xasprintf("{\"priority\":%" PRId32 ",%s", priority, body + 1);
}
