#include "ctl/ctl_authority.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "ctl/config_print.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"
#include "tamarackgw/store.h"

#define OPERATORS_FORMAT 1
#define MAX_AUDIT_ENTRIES 2000
#define CHUNK_BYTES 4096

/* The list of operators as read from the store. */
struct ctl_authority {
	enum tgw_status status; /* of reading the list */
	struct tgw_error error;
	int64_t version; /* of the list's key */
	char *text; /* "name:role:hash" lines; NULL when there is no list */
	struct operator_keys *keys;
	size_t audit_count;
	struct audit_entry *audit; /* changes of the list, oldest first */
};

static enum tgw_status unpack_audit(struct ctl_authority *authority,
				    const msgpack_object_array *array,
				    struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	authority->audit = xcalloc(array->size, sizeof(authority->audit[0]));
	for (size_t i = 0; i < array->size && status == TGW_OK; i++)
		status = audit_entry_unpack(
			&authority->audit[authority->audit_count++],
			&array->ptr[i], error);
	return status;
}

static enum tgw_status decode_list(struct ctl_authority *authority,
				   const struct buffer *value,
				   struct tgw_error *error)
{
	struct record_reader reader;
	const msgpack_object_array *audit;
	msgpack_unpacked unpacked;
	enum tgw_status status = TGW_CORRUPT;
	const char *text;
	size_t size;

	msgpack_unpacked_init(&unpacked);
	tgw_error_set(error, TGW_CORRUPT,
		      CTL_OPERATORS_KEY " does not decode; restore it from a "
					"backup of the store");
	if (msgpack_guard_next(&unpacked, value->data, value->size, NULL) !=
	    MSGPACK_UNPACK_SUCCESS)
		goto out;
	record_reader_open(&reader, "the list of operators", &unpacked.data,
			   OPERATORS_FORMAT);
	text = record_reader_blob(&reader, &size);
	audit = record_reader_array(&reader, MAX_AUDIT_ENTRIES);
	status = record_reader_finish(&reader, error);
	if (status != TGW_OK)
		goto out;
	authority->text = xasprintf("%.*s", (int)size, text);
	authority->keys =
		operator_keys_parse(CTL_OPERATORS_KEY, text, size, error);
	status = authority->keys ? unpack_audit(authority, audit, error)
				 : error->status;
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

/* Reads the list at the first call; later calls return the same one. */
static struct ctl_authority *read_list(struct ctl *ctl)
{
	struct buffer value = {0};
	struct ctl_authority *authority;

	if (ctl->authority)
		return ctl->authority;
	authority = xcalloc(1, sizeof(*authority));
	ctl->authority = authority;
	authority->status = ctl_get(ctl, CTL_OPERATORS_KEY, &value,
				    &authority->version, &authority->error);
	if (authority->status == TGW_OK &&
	    authority->version != TGW_STORE_ABSENT)
		authority->status =
			decode_list(authority, &value, &authority->error);
	buffer_free(&value);
	return authority;
}

enum tgw_status ctl_authority_check(struct ctl *ctl, enum operator_role needed,
				    struct tgw_error *error)
{
	const struct ctl_authority *authority = read_list(ctl);

	if (authority->status != TGW_OK)
		return tgw_error_set(error, authority->status, "%s",
				     authority->error.message);
	if (!authority->keys ||
	    operator_keys_check(authority->keys, ctl->operator_key, needed))
		return TGW_OK;
	return tgw_error_set(error, TGW_DENIED,
			     "this needs the key of an operator with role %s; "
			     "give it with --key-file",
			     operator_role_name(needed));
}

const char *ctl_authority_name(struct ctl *ctl)
{
	const struct ctl_authority *authority = read_list(ctl);
	const char *name = NULL;

	if (authority->keys)
		name = operator_keys_check(authority->keys, ctl->operator_key,
					   OPERATOR_VIEWER);
	return name ? name : ctl->who;
}

void ctl_authority_free(struct ctl_authority *authority)
{
	if (!authority)
		return;
	operator_keys_free(authority->keys);
	free(authority->audit);
	free(authority->text);
	free(authority);
}

enum ctl_exit operator_list_run(struct ctl *ctl, int argc, char **argv)
{
	const struct ctl_authority *authority;
	char *rest = NULL;
	json_t *array;

	if (argc)
		return CTL_EXIT_USAGE;
	authority = read_list(ctl);
	if (authority->status != TGW_OK)
		return ctl_report(&authority->error);
	array = json_array();
	for (char *line = authority->text
				  ? strtok_r(authority->text, "\n", &rest)
				  : NULL;
	     line; line = strtok_r(NULL, "\n", &rest)) {
		char *role = strchr(line, ':');
		char *hash = role ? strchr(role + 1, ':') : NULL;

		if (*line == '#' || !hash)
			continue;
		*role++ = '\0';
		*hash++ = '\0';
		if (ctl->json)
			json_array_append_new(array,
					      json_pack("{s:s, s:s}", "name",
							line, "role", role));
		else
			printf("%-24s %s\n", line, role);
	}
	if (ctl->json)
		config_print_json(json_incref(array));
	json_decref(array);
	return CTL_EXIT_OK;
}

static void pack_list(const struct ctl_authority *authority,
		      const struct buffer *text,
		      const struct audit_entry *entry, msgpack_sbuffer *value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, value, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, OPERATORS_FORMAT);
	msgpack_field_pack_bytes(&packer, text->data, text->size);
	msgpack_pack_array(&packer, authority->audit_count + 1);
	for (size_t i = 0; i < authority->audit_count; i++)
		audit_entry_pack(&authority->audit[i], &packer);
	audit_entry_pack(entry, &packer);
}

static enum ctl_exit store_list(struct ctl *ctl, const struct buffer *text)
{
	struct ctl_authority *authority = read_list(ctl);
	struct audit_entry entry;
	struct tgw_error error;
	msgpack_sbuffer value;
	enum ctl_exit result = CTL_EXIT_OK;

	ctl_audit_begin(ctl, &entry, "operator.publish", "operators");
	snprintf(entry.before, sizeof(entry.before), "%zu bytes",
		 authority->text ? strlen(authority->text) : 0);
	snprintf(entry.after, sizeof(entry.after), "%zu bytes", text->size);
	tgw_key_hash(text->data, text->size, entry.change_digest);
	audit_entry_chain(
		&entry, authority->audit_count
				? &authority->audit[authority->audit_count - 1]
				: NULL);
	msgpack_sbuffer_init(&value);
	pack_list(authority, text, &entry, &value);
	if (ctl_swap(ctl, CTL_OPERATORS_KEY, authority->version, value.data,
		     value.size, &error) != TGW_OK)
		result = ctl_report(&error);
	else
		printf("The list of operators is accepted.\n");
	msgpack_sbuffer_destroy(&value);
	return result;
}

static enum tgw_status read_file(const char *path, struct buffer *text,
				 struct tgw_error *error)
{
	struct operator_keys *keys;
	char chunk[CHUNK_BYTES];
	size_t size;
	FILE *file = fopen(path, "re");

	if (!file)
		return tgw_error_set(
			error, TGW_NOT_FOUND,
			"%s cannot be opened; check that the file exists and is "
			"readable",
			path);
	while ((size = fread(chunk, 1, sizeof(chunk), file)) > 0)
		buffer_add(text, chunk, size);
	fclose(file);
	if (!text->size)
		return tgw_error_set(error, TGW_INVALID,
				     "%s is empty; create a line with "
				     "'tamarackgwctl operator new-key'",
				     path);
	keys = operator_keys_parse(path, text->data, text->size, error);
	if (!keys)
		return error->status;
	operator_keys_free(keys);
	return TGW_OK;
}

/* The operator who publishes a list has to be an admin in it as well, so that
 * nobody can lock out all admins. */
static enum tgw_status check_new_list(const struct ctl *ctl, const char *path,
				      const struct buffer *text,
				      struct tgw_error *error)
{
	struct operator_keys *keys =
		operator_keys_parse(path, text->data, text->size, error);
	enum tgw_status status = TGW_OK;

	if (!operator_keys_check(keys, ctl->operator_key, OPERATOR_ADMIN))
		status =
			tgw_error_set(error, TGW_DENIED,
				      "your key does not belong to an admin in "
				      "%s; add its line there, and give the "
				      "key with --key-file",
				      path);
	operator_keys_free(keys);
	return status;
}

enum ctl_exit operator_publish_run(struct ctl *ctl, int argc, char **argv)
{
	struct buffer text = {0};
	struct tgw_error error;
	enum ctl_exit result;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	if (read_file(argv[0], &text, &error) != TGW_OK ||
	    check_new_list(ctl, argv[0], &text, &error) != TGW_OK ||
	    ctl_authority_check(ctl, OPERATOR_ADMIN, &error) != TGW_OK) {
		result = ctl_report(&error);
	} else if (ctl->dry_run) {
		printf("%s is valid; nothing was changed.\n", argv[0]);
		result = CTL_EXIT_OK;
	} else if (!ctl->reason || !ctl->who) {
		fprintf(stderr, "tamarackgwctl: each change needs a reason and "
				"a name; give --reason TEXT and --as NAME\n");
		result = CTL_EXIT_USAGE;
	} else {
		result = store_list(ctl, &text);
	}
	buffer_free(&text);
	return result;
}
