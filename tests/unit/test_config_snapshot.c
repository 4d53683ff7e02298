/* Tests the snapshot that request threads read: lookups, the parameters of
 * teams, and the rejection of sets in which an object breaks a rule. */
#include "state/config_builder.h"

#include <stdio.h>
#include <string.h>

#include "state/config_ini.h"
#include "unit/unit_main.h"

#define MANY_TEAMS 3000

static const char base[] = "[service booking]\n"
			   "repeatable = GET, HEAD\n"
			   "[template staff]\n"
			   "models = m-large, m-small\n"
			   "services = booking\n"
			   "work.answer = high, 20000\n"
			   "work.summary = batch, 600000\n"
			   "max_output_tokens = 1000\n"
			   "max_open_requests = 10\n";

static struct tgw_config_snapshot *build(const char *more,
					 struct tgw_error *error)
{
	struct tgw_config_snapshot *config = NULL;
	struct config_set set = {0};
	struct config_ini ini;
	struct buffer text = {0};

	buffer_add_text(&text, base);
	buffer_add_text(&text, more);
	ck_assert_msg(config_ini_parse(&ini, "test", text.data, text.size),
		      "%s", ini.error_count ? ini.errors[0] : "");
	for (size_t i = 0; i < ini.section_count; i++)
		config_set_put(&set, config_object_ref(ini.sections[i].object));
	config = config_build_snapshot(&set, 7, error);
	config_set_clear(&set);
	config_ini_clear(&ini);
	buffer_free(&text);
	return config;
}

START_TEST(a_teams_parameters_override_those_of_its_template)
{
	struct tgw_error error;
	struct tgw_config_snapshot *config =
		build("[team plain]\ntemplate = staff\nbudget = b\n"
		      "[team derived]\ntemplate = staff\nbudget = b\n"
		      "models = m-small\nwork.answer = immediate, 5000\n"
		      "max_output_tokens = 100\n"
		      "[team equal]\ntemplate = staff\nbudget = c\n"
		      "models = m-small\nwork.answer = immediate, 5000\n"
		      "max_output_tokens = 100\n",
		      &error);
	const struct tgw_template *plain =
		tgw_config_find_team(config, "plain")->template;
	const struct tgw_template *derived =
		tgw_config_find_team(config, "derived")->template;

	ck_assert_uint_eq(config->generation, 7);
	ck_assert_ptr_eq(plain, tgw_config_find_template(config, "staff"));
	ck_assert(tgw_name_list_has(&plain->models, "m-large"));
	ck_assert(!tgw_name_list_has(&derived->models, "m-large"));
	ck_assert(tgw_name_list_has(&derived->services, "booking"));
	ck_assert_int_eq(derived->max_output_tokens, 100);
	ck_assert_int_eq(derived->max_open_requests, 10);
	ck_assert_int_eq(
		tgw_template_find_work_kind(derived, "answer")->urgency,
		TGW_URGENCY_IMMEDIATE);
	ck_assert_ptr_null(tgw_template_find_work_kind(derived, "summary"));
	/* Teams with equal parameters share one derived template. */
	ck_assert_ptr_eq(derived,
			 tgw_config_find_team(config, "equal")->template);
	tgw_config_snapshot_free(config);
}
END_TEST

START_TEST(only_methods_that_a_service_lists_are_repeatable)
{
	struct tgw_error error;
	struct tgw_config_snapshot *config = build("", &error);
	const struct tgw_service *service =
		tgw_config_find_service(config, "booking");

	ck_assert(tgw_service_may_repeat(service, "GET"));
	ck_assert(!tgw_service_may_repeat(service, "POST"));
	ck_assert(!tgw_service_may_repeat(service, "get"));
	ck_assert_ptr_null(tgw_config_find_service(config, "bookings"));
	tgw_config_snapshot_free(config);
}
END_TEST

static struct config_object *make_team(int number)
{
	struct tgw_team team = {.template_name = "staff", .budget = "b"};
	char key[TGW_NAME_SIZE];

	snprintf(team.name, sizeof(team.name), "team-%04d", number);
	for (team.key_count = 0; team.key_count < TGW_TEAM_KEYS_MAX;
	     team.key_count++) {
		snprintf(key, sizeof(key), "key-%d-%zu", number,
			 team.key_count);
		tgw_key_hash(key, strlen(key), team.key_hashes[team.key_count]);
	}
	return config_object_from_team(&team, NULL);
}

START_TEST(a_key_finds_only_the_team_that_has_it)
{
	struct config_set set = {0};
	struct config_ini ini;
	struct tgw_error error;
	struct tgw_config_snapshot *config;

	config_ini_parse(&ini, "test", base, strlen(base));
	for (size_t i = 0; i < ini.section_count; i++)
		config_set_put(&set, config_object_ref(ini.sections[i].object));
	for (int i = 0; i < MANY_TEAMS; i++)
		config_set_put(&set, make_team(i));
	config = config_build_snapshot(&set, 1, &error);
	ck_assert_ptr_nonnull(config);
	for (int i = 0; i < MANY_TEAMS * 2; i++) {
		const struct tgw_team *team;
		char name[TGW_NAME_SIZE];
		char key[TGW_NAME_SIZE];

		snprintf(key, sizeof(key), "key-%d-%d", i, i % 2);
		snprintf(name, sizeof(name), "team-%04d", i);
		team = tgw_config_find_team_by_key(config, key, strlen(key));
		if (i < MANY_TEAMS)
			ck_assert_str_eq(team->name, name);
		else
			ck_assert_ptr_null(team);
	}
	tgw_config_snapshot_free(config);
	config_set_clear(&set);
	config_ini_clear(&ini);
}
END_TEST

static const struct {
	const char *objects;
	const char *message;
} invalid_sets[] = {
	{"[team a]\ntemplate = none\nbudget = b\n",
	 "team a: there is no template none"},
	{"[team a]\ntemplate = staff\nbudget = b\nservices = other\n",
	 "services has 'other'"},
	{"[team a]\ntemplate = staff\nbudget = b\nmax_output_tokens = 2000\n",
	 "lower it or raise the template's"},
	{"[team a]\ntemplate = staff\nbudget = b\nwork.other = high, 10\n",
	 "work.other is not a kind of work"},
	{"[server s]\nfailure_domain = d\nurl = http://1.2.3.4:5\n"
	 "kind = service\nservice = none\nslots = 1\n",
	 "server s: there is no service none"},
	{"[team a]\ntemplate = staff\nbudget = b\nkey_hash = "
	 "643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85\n"
	 "[team b]\ntemplate = staff\nbudget = b\nkey_hash = "
	 "643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85643b3b85\n",
	 "team b has a key that another team also has"},
};

START_TEST(a_set_that_breaks_a_rule_is_rejected)
{
	struct tgw_error error;

	ck_assert_ptr_null(build(invalid_sets[_i].objects, &error));
	ck_assert_int_eq(error.status, TGW_INVALID);
	ck_assert_msg(strstr(error.message, invalid_sets[_i].message), "%s",
		      error.message);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config_snapshot");
	TCase *tcase = tcase_create("snapshot");

	tcase_add_test(tcase,
		       a_teams_parameters_override_those_of_its_template);
	tcase_add_test(tcase, only_methods_that_a_service_lists_are_repeatable);
	tcase_add_test(tcase, a_key_finds_only_the_team_that_has_it);
	tcase_add_loop_test(tcase, a_set_that_breaks_a_rule_is_rejected, 0,
			    sizeof(invalid_sets) / sizeof(invalid_sets[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
