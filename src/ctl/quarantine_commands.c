#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "ctl/config_print.h"
#include "ctl/ctl.h"
#include "state/msgpack_field.h"
#include "state/quarantine_value.h"

#define FINGERPRINT_HEX_SIZE (2 * TGW_FINGERPRINT_BYTES + 1)
#define MIN_PREFIX_DIGITS 6
#define CRASHES_UNTIL_REFUSED 2
/* An append to a value with at least this many audit entries first copies them
 * to a segment key and keeps only the last in the value. */
#define MAX_AUDIT_ENTRIES 32
#define SEGMENT_KEY_SIZE 64

/** The quarantine as it was read from the store. */
struct stored_quarantine {
	struct quarantine_table table;
	struct buffer audit; /**< packed array of audit entries */
	int64_t version;     /**< of the store key; 0: it does not exist */
};

static void stored_quarantine_clear(struct stored_quarantine *stored)
{
	quarantine_table_free(&stored->table);
	buffer_free(&stored->audit);
}

static enum tgw_status stored_quarantine_read(struct stored_quarantine *stored,
					      struct ctl *ctl,
					      struct tgw_error *error)
{
	struct buffer value = {0};
	enum tgw_status status;
	bool changed;

	memset(stored, 0, sizeof(*stored));
	status = ctl_get(ctl, QUARANTINE_STORE_KEY, &value, &stored->version,
			 error);
	if (!status && stored->version)
		status = quarantine_value_merge(&stored->table, &stored->audit,
						value.data, value.size, 0,
						&changed, error);
	buffer_free(&value);
	return status;
}

static void hex_of(const struct quarantine_item *item,
		   char hex[FINGERPRINT_HEX_SIZE])
{
	sodium_bin2hex(hex, FINGERPRINT_HEX_SIZE, item->fingerprint.bytes,
		       sizeof(item->fingerprint.bytes));
}

static const char *state_of(const struct quarantine_item *item)
{
	return quarantine_item_is_refused(item, CRASHES_UNTIL_REFUSED)
		       ? "refused"
		       : "suspected";
}

static json_t *item_to_json(const struct quarantine_item *item)
{
	char hex[FINGERPRINT_HEX_SIZE];

	hex_of(item, hex);
	return json_pack("{s:s,s:s,s:s,s:I}", "fingerprint", hex, "team",
			 item->team, "state", state_of(item), "crashes",
			 (json_int_t)item->crash_count);
}

static void print_items(const struct ctl *ctl,
			const struct quarantine_table *table)
{
	json_t *array = json_array();
	char hex[FINGERPRINT_HEX_SIZE];

	for (size_t i = 0; i < table->count; i++) {
		const struct quarantine_item *item = &table->items[i];

		if (!item->crash_count)
			continue;
		json_array_append_new(array, item_to_json(item));
		hex_of(item, hex);
		if (!ctl->json)
			printf("%s  %-9s  %zu crashes  %s\n", hex,
			       state_of(item), item->crash_count, item->team);
	}
	if (ctl->json) {
		config_print_json(array);
		return;
	}
	if (!json_array_size(array))
		printf("No request is suspected or refused.\n");
	json_decref(array);
}

static enum ctl_exit run_list(struct ctl *ctl, int argc, char **argv)
{
	struct tgw_error error = {0};
	struct stored_quarantine stored;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc)
		return CTL_EXIT_USAGE;
	if (stored_quarantine_read(&stored, ctl, &error))
		result = ctl_report(&error);
	else
		print_items(ctl, &stored.table);
	stored_quarantine_clear(&stored);
	return result;
}

/* Finds the one item with a crash whose fingerprint starts with the prefix,
 * which must have at least MIN_PREFIX_DIGITS hexadecimal digits. */
static struct quarantine_item *find_by_prefix(
	const struct quarantine_table *table, const char *prefix,
	struct tgw_error *error)
{
	struct quarantine_item *found = NULL;
	size_t length = strlen(prefix);
	char hex[FINGERPRINT_HEX_SIZE];

	for (size_t i = 0; i < table->count; i++) {
		hex_of(&table->items[i], hex);
		if (length < MIN_PREFIX_DIGITS ||
		    strncmp(hex, prefix, length) ||
		    !table->items[i].crash_count)
			continue;
		if (found) {
			tgw_error_set(error, TGW_INVALID,
				      "several fingerprints start with %s; "
				      "give more digits",
				      prefix);
			return NULL;
		}
		found = &table->items[i];
	}
	if (!found)
		tgw_error_set(error, TGW_NOT_FOUND,
			      "no quarantined request starts with %s; see "
			      "'quarantine list' and give %d digits or more",
			      prefix, MIN_PREFIX_DIGITS);
	return found;
}

/* Writes the entries to a segment key, named after the sequence number of the
 * last one. A retry writes the same key with the same value, so a conflict
 * counts as success. */
static enum tgw_status write_segment(struct ctl *ctl,
				     const msgpack_object *entries,
				     uint64_t last_sequence,
				     struct tgw_error *error)
{
	char key[SEGMENT_KEY_SIZE];
	struct buffer value = {0};
	msgpack_packer packer;
	enum tgw_status status;

	snprintf(key, sizeof(key), "tgw/audit/quarantine/%08" PRIu64,
		 last_sequence);
	msgpack_packer_init(&packer, &value, msgpack_field_write);
	msgpack_pack_object(&packer, *entries);
	status = ctl_swap(ctl, key, TGW_STORE_ABSENT, value.data, value.size,
			  error);
	buffer_free(&value);
	return status == TGW_CONFLICT ? TGW_OK : status;
}

/* Chains an entry to the last one and appends it to the packed array. */
static enum tgw_status append_audit(struct stored_quarantine *stored,
				    struct ctl *ctl, struct audit_entry *entry,
				    struct tgw_error *error)
{
	struct audit_entry last;
	struct buffer packed = {0};
	enum tgw_status status = TGW_OK;
	msgpack_unpacked unpacked;
	msgpack_packer packer;
	const msgpack_object *entries = NULL;
	size_t count = 0;
	size_t first_kept = 0;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	if (stored->audit.size &&
	    msgpack_guard_next(&unpacked, stored->audit.data,
			       stored->audit.size,
			       &offset) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		entries = unpacked.data.via.array.ptr;
		count = unpacked.data.via.array.size;
	}
	if (count)
		status = audit_entry_unpack(&last, &entries[count - 1], error);
	if (!status && count >= MAX_AUDIT_ENTRIES) {
		status = write_segment(ctl, &unpacked.data, last.sequence,
				       error);
		first_kept = count - 1;
	}
	if (status)
		goto out;
	audit_entry_chain(entry, count ? &last : NULL);
	msgpack_packer_init(&packer, &packed, msgpack_field_write);
	msgpack_pack_array(&packer, count - first_kept + 1);
	for (size_t i = first_kept; i < count; i++)
		msgpack_pack_object(&packer, entries[i]);
	audit_entry_pack(entry, &packer);
	buffer_clear(&stored->audit);
	buffer_add(&stored->audit, packed.data, packed.size);
out:
	buffer_free(&packed);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

static enum tgw_status lift(struct stored_quarantine *stored, struct ctl *ctl,
			    struct quarantine_item *item,
			    struct tgw_error *error)
{
	struct audit_entry entry;
	struct buffer value = {0};
	char hex[FINGERPRINT_HEX_SIZE];
	enum tgw_status status;

	hex_of(item, hex);
	ctl_audit_begin(ctl, &entry, "quarantine.lift", hex);
	snprintf(entry.before, sizeof(entry.before), "%s, %zu crashes, team %s",
		 state_of(item), item->crash_count, item->team);
	snprintf(entry.after, sizeof(entry.after), "lifted");
	status = append_audit(stored, ctl, &entry, error);
	if (status)
		return status;
	quarantine_item_lift(item);
	quarantine_value_pack(&stored->table, &stored->audit, &value);
	status = ctl_swap(ctl, QUARANTINE_STORE_KEY, stored->version,
			  value.data, value.size, error);
	buffer_free(&value);
	return status;
}

static enum ctl_exit run_lift(struct ctl *ctl, int argc, char **argv)
{
	struct tgw_error error = {0};
	struct quarantine_item *item;
	struct stored_quarantine stored;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc != 1)
		return CTL_EXIT_USAGE;
	if (!ctl->dry_run && (!ctl->reason || !ctl->who)) {
		fprintf(stderr, "tamarackgwctl: each change needs a reason and "
				"a name; give --reason TEXT and --as NAME\n");
		return CTL_EXIT_USAGE;
	}
	if (stored_quarantine_read(&stored, ctl, &error)) {
		result = ctl_report(&error);
		goto out;
	}
	item = find_by_prefix(&stored.table, argv[0], &error);
	if (!item) {
		result = ctl_report(&error);
		goto out;
	}
	if (ctl->dry_run)
		printf("Would lift %s.\n", argv[0]);
	else if (lift(&stored, ctl, item, &error))
		result = ctl_report(&error);
	else
		printf("Lifted %s; hosts follow within seconds.\n", argv[0]);
out:
	stored_quarantine_clear(&stored);
	return result;
}

const struct ctl_command ctl_quarantine_commands[] = {
	{"quarantine", "list", "list the requests that crashed servers", "",
	 run_list},
	{"quarantine", "lift", "let a quarantined request run again",
	 "FINGERPRINT", run_lift},
	{NULL, NULL, NULL, NULL, NULL},
};
