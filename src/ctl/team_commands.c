#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "ctl/object_commands.h"
#include "ctl/object_edit.h"
#include "transport/secret_file.h"

#define KEY_RANDOM_BYTES 24
#define KEY_SIZE 512
#define MIN_KEY_LENGTH 16
#define HASH_HEX_SIZE (2 * TGW_KEY_HASH_BYTES + 1)

struct team_key {
	char text[KEY_SIZE];
	bool is_new; /* generated here; printed once, after the change */
};

struct team_request {
	const char *name;
	const char *template_name;
	const char *budget;
	struct team_key key;
	const char *hash_prefix;
};

static void generate_key(struct team_key *key)
{
	uint8_t bytes[KEY_RANDOM_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2base64(key->text, sizeof(key->text), bytes, sizeof(bytes),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(bytes, sizeof(bytes));
	key->is_new = true;
}

static enum tgw_status parse_key(struct team_key *key, char *text,
				 struct tgw_error *error)
{
	size_t length;

	text[strcspn(text, "\r\n")] = '\0';
	length = strlen(text);
	if (length < MIN_KEY_LENGTH || length >= sizeof(key->text) ||
	    strchr(text, ' '))
		return tgw_error_set(error, TGW_INVALID,
				     "the key must have %d to %d characters "
				     "and no spaces; leave it out to have one "
				     "generated",
				     MIN_KEY_LENGTH, KEY_SIZE - 1);
	text_copy(key->text, sizeof(key->text), text);
	return TGW_OK;
}

/* @param source a file, "-" for the standard input, NULL to generate a key */
static enum tgw_status read_key(struct team_key *key, const char *source,
				struct tgw_error *error)
{
	struct buffer content = {0};
	char line[KEY_SIZE + 2] = "";
	enum tgw_status status;

	if (!source) {
		generate_key(key);
		return TGW_OK;
	}
	if (!strcmp(source, "-")) {
		if (!fgets(line, sizeof(line), stdin))
			line[0] = '\0';
		status = parse_key(key, line, error);
		sodium_memzero(line, sizeof(line));
		return status;
	}
	status = secret_file_read(source, &content, error);
	if (status == TGW_OK && !content.size)
		buffer_add_text(&content, "\n");
	if (status == TGW_OK)
		status = parse_key(key, content.data, error);
	if (content.data)
		sodium_memzero(content.data, content.capacity);
	buffer_free(&content);
	return status;
}

static void show_new_key(const struct ctl *ctl,
			 const struct team_request *request,
			 enum ctl_exit result)
{
	if (result != CTL_EXIT_OK || !request->key.is_new || ctl->dry_run)
		return;
	fprintf(ctl->json ? stderr : stdout,
		"Key of team %s, shown this once: %s\n", request->name,
		request->key.text);
}

static struct config_object *edit_create(const struct config_object *before,
					 void *arg, struct tgw_error *error)
{
	const struct team_request *request = arg;
	struct tgw_team team;

	memset(&team, 0, sizeof(team));
	if (!config_name_is_valid(request->name) ||
	    !config_name_is_valid(request->template_name) ||
	    !config_name_is_valid(request->budget)) {
		tgw_error_set(error, TGW_INVALID,
			      "team '%.32s', template '%.32s' or budget "
			      "'%.32s' has an invalid name; use letters, "
			      "digits, '.', '_' and '-'",
			      request->name, request->template_name,
			      request->budget);
		return NULL;
	}
	short_name_copy(team.name, request->name);
	short_name_copy(team.template_name, request->template_name);
	short_name_copy(team.budget, request->budget);
	team.key_count = 1;
	tgw_key_hash(request->key.text, strlen(request->key.text),
		     team.key_hashes[0]);
	return config_object_from_team(&team, NULL);
}

enum ctl_exit team_create_run(struct ctl *ctl, int argc, char **argv)
{
	struct team_request request = {0};
	struct tgw_error error;
	enum ctl_exit result;

	if (argc < 3 || argc > 4)
		return CTL_EXIT_USAGE;
	request.name = argv[0];
	request.template_name = argv[1];
	request.budget = argv[2];
	if (read_key(&request.key, argc > 3 ? argv[3] : NULL, &error) != TGW_OK)
		return ctl_report(&error);
	result = object_create(ctl, CONFIG_TEAM, request.name, "team.create",
			       (struct object_editor){edit_create, &request});
	show_new_key(ctl, &request, result);
	sodium_memzero(&request.key, sizeof(request.key));
	return result;
}

static struct config_object *edit_add_key(const struct config_object *before,
					  void *arg, struct tgw_error *error)
{
	const struct team_request *request = arg;
	struct tgw_team team = *before->team;

	if (team.key_count == TGW_TEAM_KEYS_MAX) {
		tgw_error_set(error, TGW_INVALID,
			      "team %s has %d keys already; drop the old one "
			      "with 'team drop-key'",
			      team.name, TGW_TEAM_KEYS_MAX);
		return NULL;
	}
	tgw_key_hash(request->key.text, strlen(request->key.text),
		     team.key_hashes[team.key_count++]);
	return config_object_from_team(&team, before->parameters);
}

enum ctl_exit team_add_key_run(struct ctl *ctl, int argc, char **argv)
{
	struct team_request request = {0};
	struct tgw_error error;
	enum ctl_exit result;

	if (argc < 1 || argc > 2)
		return CTL_EXIT_USAGE;
	request.name = argv[0];
	if (read_key(&request.key, argc > 1 ? argv[1] : NULL, &error) != TGW_OK)
		return ctl_report(&error);
	result = object_edit(ctl, CONFIG_TEAM, request.name, "team.add-key",
			     (struct object_editor){edit_add_key, &request});
	show_new_key(ctl, &request, result);
	sodium_memzero(&request.key, sizeof(request.key));
	return result;
}

static struct config_object *edit_drop_key(const struct config_object *before,
					   void *arg, struct tgw_error *error)
{
	const struct team_request *request = arg;
	struct tgw_team team = *before->team;
	size_t kept = 0;

	for (size_t i = 0; i < team.key_count; i++) {
		char hex[HASH_HEX_SIZE];

		sodium_bin2hex(hex, sizeof(hex), team.key_hashes[i],
			       TGW_KEY_HASH_BYTES);
		if (!strncmp(hex, request->hash_prefix,
			     strlen(request->hash_prefix)))
			continue;
		memmove(team.key_hashes[kept++], team.key_hashes[i],
			TGW_KEY_HASH_BYTES);
	}
	if (kept + 1 != team.key_count) {
		tgw_error_set(error, TGW_INVALID,
			      "'%.64s' is the start of %zu key hashes of team "
			      "%s; see 'team show', and give more digits",
			      request->hash_prefix, team.key_count - kept,
			      team.name);
		return NULL;
	}
	team.key_count = kept;
	memset(team.key_hashes[kept], 0, TGW_KEY_HASH_BYTES);
	return config_object_from_team(&team, before->parameters);
}

enum ctl_exit team_drop_key_run(struct ctl *ctl, int argc, char **argv)
{
	struct team_request request = {0};

	if (argc != 2)
		return CTL_EXIT_USAGE;
	request.name = argv[0];
	request.hash_prefix = argv[1];
	return object_edit(ctl, CONFIG_TEAM, request.name, "team.drop-key",
			   (struct object_editor){edit_drop_key, &request});
}
