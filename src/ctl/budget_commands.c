#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/budget_audit.h"
#include "ctl/budget_print.h"
#include "ctl/ctl.h"
#include "state/ledger_codec.h"
#include "tamarackgw/budget.h"
#include "tamarackgw/random.h"

/* Hosts write the same ledger keys, so the compare-and-swap of a top-up can
 * fail and has to be retried. */
#define MAX_ATTEMPTS 16

/* The number of ledger keys. The hosts and the tool must agree on it, so it is
 * the same in all fleets. */
static uint32_t bucket_count(void)
{
	return tgw_budget_settings_default().bucket_count;
}

static enum tgw_status read_bucket(struct ctl *ctl, uint32_t index,
				   struct ledger_bucket *bucket,
				   int64_t *version, struct tgw_error *error)
{
	char key[LEDGER_KEY_SIZE];
	struct buffer value = {0};
	enum tgw_status status;

	memset(bucket, 0, sizeof(*bucket));
	ledger_bucket_key(key, index);
	status = ctl_get(ctl, key, &value, version, error);
	if (status == TGW_OK)
		status = ledger_codec_decode(bucket, value.data, value.size,
					     error);
	buffer_free(&value);
	return status;
}

/* A payment that an operator requests. */
struct top_up {
	const char *budget;
	const char *id;
	int64_t tokens;
};

static enum tgw_status add_audit(struct ctl *ctl, struct ledger_bucket *bucket,
				 uint32_t index, const struct top_up *top_up,
				 int64_t before_tokens, struct tgw_error *error)
{
	struct audit_entry entry;

	ctl_audit_begin(ctl, &entry, "budget.top-up", top_up->budget);
	snprintf(entry.before, sizeof(entry.before),
		 "paid in %" PRId64 " tokens", before_tokens);
	snprintf(entry.after, sizeof(entry.after),
		 "paid in %" PRId64 " tokens; top-up %s of %" PRId64,
		 before_tokens + top_up->tokens, top_up->id, top_up->tokens);
	return budget_audit_append(ctl, bucket, index, &entry, error);
}

static int64_t wall_us(const struct ctl *ctl)
{
	struct audit_entry entry;

	ctl_audit_begin(ctl, &entry, "", "");
	return entry.wall_us;
}

static int64_t paid_in(const struct ledger_bucket *bucket, const char *budget)
{
	int found = ledger_bucket_find_budget(bucket, budget);

	return found < 0 ? 0 : bucket->budgets[found].paid_in_tokens;
}

/* Reads the bucket, adds the tokens and the audit entry, and writes it once.
 * @param applied false when the id was applied before; valid only on success */
static enum tgw_status try_top_up(struct ctl *ctl, const struct top_up *top_up,
				  bool *applied, struct tgw_error *error)
{
	uint32_t index = ledger_bucket_of(top_up->budget, bucket_count());
	char key[LEDGER_KEY_SIZE];
	struct ledger_bucket bucket;
	struct buffer bytes = {0};
	int64_t before_tokens;
	int64_t version = 0;
	enum tgw_status status =
		read_bucket(ctl, index, &bucket, &version, error);

	*applied = false;
	if (status != TGW_OK)
		goto out;
	before_tokens = paid_in(&bucket, top_up->budget);
	status = ledger_bucket_top_up(&bucket, top_up->budget, top_up->id,
				      top_up->tokens, wall_us(ctl), applied,
				      error);
	if (status != TGW_OK || !*applied)
		goto out;
	status = add_audit(ctl, &bucket, index, top_up, before_tokens, error);
	if (status != TGW_OK || ctl->dry_run)
		goto out;
	ledger_codec_encode(&bucket, &bytes);
	ledger_bucket_key(key, index);
	status = ctl_swap(ctl, key, version, bytes.data, bytes.size, error);
out:
	buffer_free(&bytes);
	ledger_bucket_clear(&bucket);
	return status;
}

/* Retries after a conflict, and also after a write whose outcome is unknown:
 * the id makes the top-up idempotent. */
static enum tgw_status retry_top_up(struct ctl *ctl,
				    const struct top_up *top_up, bool *applied,
				    struct tgw_error *error)
{
	enum tgw_status status = TGW_CONFLICT;
	bool was_unknown = false;

	for (int i = 0; i < MAX_ATTEMPTS; i++) {
		status = try_top_up(ctl, top_up, applied, error);
		if (status == TGW_OK && was_unknown)
			*applied = true;
		if (status != TGW_CONFLICT && status != TGW_UNKNOWN)
			break;
		was_unknown |= status == TGW_UNKNOWN;
	}
	if (was_unknown && status != TGW_OK)
		return tgw_error_set(error, TGW_UNKNOWN,
				     "the outcome of the top-up of %s is "
				     "unknown; repeat it with --id %s",
				     top_up->budget, top_up->id);
	return status;
}

static bool parse_tokens(const char *text, int64_t *tokens)
{
	char *end = NULL;
	long long value;

	errno = 0;
	value = strtoll(text, &end, 10);
	if (errno || end == text || *end)
		return false;
	*tokens = value;
	return true;
}

static enum ctl_exit run_top_up(struct ctl *ctl, int argc, char **argv)
{
	struct tgw_error error = {0};
	struct top_up top_up;
	char generated_id[TGW_NAME_SIZE];
	bool applied;

	if ((argc != 2 && (argc != 4 || strcmp(argv[2], "--id") != 0)) ||
	    !parse_tokens(argv[1], &top_up.tokens)) {
		fprintf(stderr, "tamarackgwctl: give BUDGET, a number of "
				"tokens and, to repeat a top-up, its --id "
				"ID\n");
		return CTL_EXIT_USAGE;
	}
	if (!ctl->dry_run && (!ctl->reason || !*ctl->reason || !ctl->who)) {
		fprintf(stderr, "tamarackgwctl: each change needs a reason and "
				"a name; give --reason TEXT and --as NAME\n");
		return CTL_EXIT_USAGE;
	}
	top_up.budget = argv[0];
	snprintf(generated_id, sizeof(generated_id), "%016" PRIx64,
		 tgw_random_incarnation());
	top_up.id = argc == 4 ? argv[3] : generated_id;
	if (retry_top_up(ctl, &top_up, &applied, &error) != TGW_OK)
		return ctl_report(&error);
	if (!applied)
		printf("Top-up %s was applied before; nothing changes.\n",
		       top_up.id);
	else
		printf("%s %" PRId64 " tokens to %s by top-up %s.\n",
		       ctl->dry_run ? "Would add" : "Added", top_up.tokens,
		       top_up.budget, top_up.id);
	return CTL_EXIT_OK;
}

static enum ctl_exit run_show(struct ctl *ctl, int argc, char **argv)
{
	struct tgw_error error = {0};
	struct ledger_bucket bucket;
	int64_t version;
	int found;
	enum ctl_exit result = CTL_EXIT_OK;

	if (argc != 1) {
		fprintf(stderr, "tamarackgwctl: give the name of a budget\n");
		return CTL_EXIT_USAGE;
	}
	if (read_bucket(ctl, ledger_bucket_of(argv[0], bucket_count()), &bucket,
			&version, &error) != TGW_OK)
		return ctl_report(&error);
	found = ledger_bucket_find_budget(&bucket, argv[0]);
	if (found >= 0) {
		budget_print_one(ctl, &bucket, (uint32_t)found);
	} else {
		tgw_error_set(&error, TGW_NOT_FOUND,
			      "there is no budget %s; top it up to create it",
			      argv[0]);
		result = ctl_report(&error);
	}
	ledger_bucket_clear(&bucket);
	return result;
}

/* State while the budgets of all ledger buckets are printed. */
struct listing {
	struct budget_printer printer;
	void (*print)(struct budget_printer *printer,
		      const struct ledger_bucket *bucket, uint32_t index);
	struct tgw_error error; /* of the last bucket that did not decode */
};

static void print_bucket(void *arg, const char *key, const void *value,
			 size_t size, int64_t version)
{
	struct listing *listing = arg;
	struct ledger_bucket bucket;

	if (ledger_codec_decode(&bucket, value, size, &listing->error) !=
	    TGW_OK)
		return;
	for (size_t i = 0; i < bucket.budget_count; i++)
		listing->print(&listing->printer, &bucket, (uint32_t)i);
	ledger_bucket_clear(&bucket);
}

static enum ctl_exit run_listing(struct ctl *ctl, struct listing *listing)
{
	struct tgw_error error = {0};

	budget_printer_start(&listing->printer, ctl->json);
	if (ctl_list(ctl, "tgw/ledger/", print_bucket, listing, &error) !=
	    TGW_OK)
		return ctl_report(&error);
	budget_printer_finish(&listing->printer);
	if (listing->error.status != TGW_OK)
		return ctl_report(&listing->error);
	return CTL_EXIT_OK;
}

static enum ctl_exit run_list(struct ctl *ctl, int argc, char **argv)
{
	struct listing listing = {.print = budget_print_row};

	return run_listing(ctl, &listing);
}

static enum ctl_exit run_write_offs(struct ctl *ctl, int argc, char **argv)
{
	struct listing listing = {.print = budget_print_write_offs};

	return run_listing(ctl, &listing);
}

const struct ctl_command ctl_budget_commands[] = {
	{"budget", "show", "show where the tokens of a budget are", "BUDGET",
	 run_show},
	{"budget", "top-up", "add tokens to a budget, once for each id",
	 "BUDGET TOKENS [--id ID]", run_top_up},
	{"budget", "list", "list all budgets", "", run_list},
	{"budget", "write-offs",
	 "list the allotments of dead hosts that were written off", "",
	 run_write_offs},
	{NULL, NULL, NULL, NULL, NULL},
};
