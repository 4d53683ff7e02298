/*
 * Tests that every follower of the configuration ends with the same objects,
 * whether it advances by deltas or by shards. Random changes are committed to
 * an in-memory store in the form that the operators' tool uses.
 */
#include "state/config_state.h"

#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "coordination/config_fetch.h"
#include "state/config_commit.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define VALUES_MAX 4096
#define TEAMS 60

struct value {
	char key[CONFIG_KEY_SIZE];
	uint8_t *data;
	size_t size;
};

static struct value values[VALUES_MAX];
static size_t value_count;
static struct config_set expected;
static struct config_manifest newest;
static msgpack_sbuffer newest_value;
static struct tgw_random random_numbers;

static struct config_object *make_template(const char *name, int64_t tokens)
{
	struct tgw_template template = {
		.models = {.count = 1, .names = {"m-large"}},
		.work_kind_count = 1,
		.work_kinds = {{"answer", TGW_URGENCY_HIGH, 20000}},
		.max_output_tokens = tokens,
		.max_open_requests = 10,
	};

	text_copy(template.name, sizeof(template.name), name);
	return config_object_from_template(&template);
}

static struct config_object *make_team(int number, int key)
{
	struct tgw_team team = {.template_name = "staff", .key_count = 1};
	char text[32];

	snprintf(team.name, sizeof(team.name), "team-%d", number);
	snprintf(team.budget, sizeof(team.budget), "budget-%d", number);
	snprintf(text, sizeof(text), "key-%d-%d", number, key);
	tgw_key_hash(text, strlen(text), team.key_hashes[0]);
	return config_object_from_team(&team, NULL);
}

static const struct value *find_value(const char *key)
{
	for (size_t i = 0; i < value_count; i++)
		if (!strcmp(values[i].key, key))
			return &values[i];
	return NULL;
}

static void store_commit(const struct config_commit *commit)
{
	for (size_t i = 0; i < commit->write_count; i++) {
		struct value *value = &values[value_count++];

		ck_assert_uint_lt(value_count, VALUES_MAX);
		ck_assert_ptr_null(find_value(commit->writes[i].key));
		text_copy(value->key, sizeof(value->key),
			  commit->writes[i].key);
		value->data = xmemdup(commit->writes[i].value,
				      commit->writes[i].value_size);
		value->size = commit->writes[i].value_size;
	}
	msgpack_sbuffer_clear(&newest_value);
	config_manifest_encode(&commit->manifest, &newest_value);
	config_manifest_clear(&newest);
	ck_assert_int_eq(config_manifest_decode(&newest, newest_value.data,
						newest_value.size, NULL),
			 TGW_OK);
}

static void publish(struct config_change_list *list)
{
	struct audit_entry audit = {.who = "ana", .reason = "test"};
	struct config_commit commit;

	ck_assert_int_eq(config_commit_prepare(&commit, &newest, &expected,
					       list, &audit, NULL),
			 TGW_OK);
	store_commit(&commit);
	config_commit_clear(&commit);
	ck_assert_int_eq(config_change_list_apply(list, &expected, NULL),
			 TGW_OK);
	config_change_list_clear(list);
}

static void add_put(struct config_change_list *list,
		    struct config_object *object)
{
	config_change_list_add(
		list, config_set_find(&expected, object->kind, object->name),
		object);
	config_object_unref(object);
}

static void publish_random(void)
{
	struct config_change_list list = {0};
	uint64_t choice = tgw_random_below(&random_numbers, 30);
	int number = (int)tgw_random_below(&random_numbers, TEAMS);
	struct config_object *team;
	char name[TGW_NAME_SIZE];

	snprintf(name, sizeof(name), "team-%d", number);
	team = config_set_find(&expected, CONFIG_TEAM, name);
	if (choice == 0) { /* changes all teams */
		for (int i = 0; i < TEAMS; i++)
			add_put(&list,
				make_team(i, (int)tgw_random_below(
						     &random_numbers, 100000)));
	} else if (choice < 8 && team) {
		config_change_list_add(&list, team, NULL);
	} else if (choice == 9) {
		add_put(&list, make_template("staff", 1 + number));
	} else {
		add_put(&list,
			make_team(number, (int)tgw_random_below(&random_numbers,
								100000)));
	}
	publish(&list);
}

static void check_equals_expected(const struct config_state *state)
{
	ck_assert_uint_eq(state->manifest.generation, newest.generation);
	ck_assert_uint_eq(state->set.count, expected.count);
	for (size_t i = 0; i < expected.count; i++)
		ck_assert(config_object_equals(state->set.objects[i],
					       expected.objects[i]));
}

static void check_snapshot(struct tgw_config_snapshot *config)
{
	ck_assert_ptr_nonnull(config);
	ck_assert_uint_eq(config->generation, newest.generation);
	for (size_t i = 0; i < config->team_count; i++) {
		const struct tgw_team *team = &config->teams[i];

		ck_assert_ptr_eq(tgw_config_find_team(config, team->name),
				 team);
		ck_assert_str_eq(team->template->name, "staff");
	}
	tgw_config_snapshot_free(config);
}

static size_t fetch_all(struct config_state *state,
			struct config_manifest *manifest)
{
	struct tgw_config_snapshot *snapshot = NULL;
	struct config_fetch fetch = {0};
	struct config_set set = {0};
	struct tgw_error error;
	size_t fetched = 0;

	config_fetch_start(&fetch, manifest, newest_value.data,
			   newest_value.size, &state->set);
	while (fetch.missing_count) {
		int32_t shard = config_fetch_next(&fetch, 1, 1);
		const struct value *value;
		char key[CONFIG_KEY_SIZE];

		ck_assert_int_ge(shard, 0);
		config_shard_key(key, (uint32_t)shard,
				 &fetch.manifest.shards[shard]);
		value = find_value(key);
		ck_assert_ptr_nonnull(value);
		ck_assert_int_eq(config_fetch_add(&fetch, (uint32_t)shard,
						  value->data, value->size,
						  &error),
				 TGW_OK);
		fetched++;
	}
	ck_assert_int_eq(config_fetch_finish(&fetch, &set, &error), TGW_OK);
	ck_assert_int_eq(config_state_replace(state, &fetch.manifest,
					      fetch.value, fetch.value_size,
					      &set, &snapshot, &error),
			 TGW_OK);
	config_fetch_clear(&fetch);
	check_snapshot(snapshot);
	return fetched;
}

/* Advances the state to the newest manifest.
 * @return the number of shards read */
static size_t follow(struct config_state *state)
{
	struct tgw_config_snapshot *snapshot = NULL;
	struct config_manifest manifest;
	struct tgw_error error;
	size_t fetched = 0;

	ck_assert_int_eq(config_manifest_decode(&manifest, newest_value.data,
						newest_value.size, &error),
			 TGW_OK);
	ck_assert_int_eq(config_state_check_next(state, &manifest, &error),
			 TGW_OK);
	ck_assert_int_eq(
		config_state_apply_deltas(state, &manifest, newest_value.data,
					  newest_value.size, &snapshot, &error),
		TGW_OK);
	if (snapshot)
		check_snapshot(snapshot);
	else
		fetched = fetch_all(state, &manifest);
	config_manifest_clear(&manifest);
	check_equals_expected(state);
	return fetched;
}

static void setup(void)
{
	struct config_change_list list = {0};

	msgpack_sbuffer_init(&newest_value);
	tgw_random_init(&random_numbers, 7);
	add_put(&list, make_template("staff", 100));
	publish(&list);
}

static void teardown(void)
{
	for (size_t i = 0; i < value_count; i++)
		free(values[i].data);
	value_count = 0;
	config_set_clear(&expected);
	config_manifest_clear(&newest);
	msgpack_sbuffer_destroy(&newest_value);
}

START_TEST(all_followers_reach_the_same_objects)
{
	struct config_state follows_every_change = {0};
	struct config_state follows_every_tenth = {0};
	size_t fetched_for_every_change = 0;
	size_t fetched_for_every_tenth = 0;

	for (int i = 0; i < 400; i++) {
		struct config_state fresh = {0};

		publish_random();
		ck_assert_uint_le(newest_value.size, 24 * 1024);
		fetched_for_every_change += follow(&follows_every_change);
		if (i % 10 == 0)
			fetched_for_every_tenth += follow(&follows_every_tenth);
		if (i % 25 == 0)
			follow(&fresh);
		config_state_clear(&fresh);
	}
	/* Large changes make even a follower of every change read shards. */
	ck_assert_uint_gt(fetched_for_every_change, 0);
	ck_assert_uint_gt(fetched_for_every_tenth, 0);
	config_state_clear(&follows_every_change);
	config_state_clear(&follows_every_tenth);
}
END_TEST

START_TEST(followers_read_no_shard_for_small_changes)
{
	struct config_state state = {0};

	for (int i = 0; i < 100; i++) {
		struct config_change_list list = {0};

		add_put(&list, make_team(i % 7, i));
		publish(&list);
		ck_assert_uint_eq(follow(&state), 0);
	}
	/* Meanwhile, deltas were folded into shards. */
	ck_assert_uint_gt(newest.folded_generation, 50);
	config_state_clear(&state);
}
END_TEST

START_TEST(the_audit_trail_is_complete_in_segments_and_manifest)
{
	struct config_delta *deltas = NULL;
	size_t count = 0;

	for (int i = 0; i < 120; i++)
		publish_random();
	for (size_t i = 0; i < value_count; i++)
		if (!strncmp(values[i].key, CONFIG_SEGMENT_PREFIX,
			     strlen(CONFIG_SEGMENT_PREFIX)))
			ck_assert_int_eq(config_segment_decode(
						 values[i].data, values[i].size,
						 &deltas, &count, NULL),
					 TGW_OK);
	ck_assert_uint_eq(count + newest.delta_count, newest.generation);
	for (size_t i = 0; i < count; i++) {
		const struct audit_entry *previous = i ? &deltas[i - 1].audit
						       : NULL;

		ck_assert_uint_eq(deltas[i].generation, i + 1);
		ck_assert_int_eq(audit_entry_verify(&deltas[i].audit, previous,
						    NULL),
				 TGW_OK);
	}
	ck_assert_int_eq(audit_entry_verify(&newest.deltas[0].audit,
					    &deltas[count - 1].audit, NULL),
			 TGW_OK);
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
}
END_TEST

/* Damages each byte of a manifest in turn. Decoding has to refuse more than
 * half of the damaged manifests. */
START_TEST(most_damaged_manifests_are_refused)
{
	struct config_state state = {0};
	size_t refused = 0;

	for (int i = 0; i < 20; i++)
		publish_random();
	for (size_t i = 0; i < newest_value.size; i++) {
		struct config_manifest manifest;

		newest_value.data[i] ^= 0x15;
		refused += config_manifest_decode(&manifest, newest_value.data,
						  newest_value.size,
						  NULL) != TGW_OK;
		config_manifest_clear(&manifest);
		newest_value.data[i] ^= 0x15;
	}
	/* Decoding does not detect a wrong folded generation or part count of a
	 * delta if it is in range. Shard digests, of which this manifest has
	 * none, are checked when the shards are read. */
	ck_assert_uint_gt(refused, newest_value.size / 2);
	config_state_clear(&state);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_state");
	TCase *tcase = tcase_create("follow");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, all_followers_reach_the_same_objects);
	tcase_add_test(tcase, followers_read_no_shard_for_small_changes);
	tcase_add_test(tcase,
		       the_audit_trail_is_complete_in_segments_and_manifest);
	tcase_add_test(tcase, most_damaged_manifests_are_refused);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
