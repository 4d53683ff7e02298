/* Tests that what tamarackgwd reads beside an odd item of the platform's host
 * list or of its store stays in use. */
#include <string.h>

#include "base/buffer.h"
#include "protocol/etcd_json.h"
#include "protocol/host_list.h"
#include "unit/unit_main.h"

#define HOST(name)                                                         \
	"{\"name\":\"" name "\",\"failure_domain\":\"east\",\"peer_url\":" \
	"\"tcp://10.0.0.1:1\",\"caller_url\":\"http://10.0.0.1:2\"}"

#define NO_HOST ""

static const struct {
	const char *host;
	const char *name; /**< that is listed; NO_HOST: none */
} odd_hosts[] = {
	{"7", NO_HOST},
	{"{}", NO_HOST},
	{"{\"name\":7}", NO_HOST},
	{"{\"name\":\"\"}", NO_HOST},
	{HOST("0123456789012345678901234567890123456789012345678901234567890123"
	      "4"),
	 NO_HOST},
	{"{\"name\":\"odd\"}", "odd"},
	{"{\"name\":\"odd\",\"failure_domain\":\"east\",\"peer_url\":7}",
	 "odd"},
};

START_TEST(hosts_beside_an_odd_one_are_listed)
{
	struct host_list_snapshot list;
	struct buffer text = {0};
	size_t odd = strcmp(odd_hosts[_i].name, NO_HOST) != 0;

	buffer_add_format(&text,
			  "{\"hosts\":[%s,%s,%s],\"servers\":[{\"name\":\"s\"},"
			  "{\"name\":5},7,{\"name\":\"t\"}]}",
			  HOST("a"), odd_hosts[_i].host, HOST("z"));
	ck_assert_int_eq(host_list_decode(&list, text.data, text.size, NULL),
			 TGW_OK);
	ck_assert_uint_eq(list.host_count, 2 + odd);
	ck_assert_str_eq(list.hosts[0].name, "a");
	if (odd) {
		ck_assert_str_eq(list.hosts[1].name, odd_hosts[_i].name);
		ck_assert(list.hosts[1].has_name_only);
	}
	ck_assert_str_eq(list.hosts[1 + odd].name, "z");
	ck_assert(!list.hosts[1 + odd].has_name_only);
	ck_assert_uint_eq(list.server_count, 2);
	ck_assert_str_eq(list.servers[1].name, "t");
	host_list_snapshot_clear(&list);
	buffer_free(&text);
}
END_TEST

START_TEST(a_list_without_hosts_is_refused)
{
	static const char *const texts[] = {"", "{}", "{\"hosts\":7}",
					    "{\"hosts\":[1e400]}"};
	struct host_list_snapshot list;

	ck_assert_int_eq(host_list_decode(&list, texts[_i], strlen(texts[_i]),
					  NULL),
			 TGW_CORRUPT);
}
END_TEST

/* "a\0b" and "a" in base64. */
#define NUL_KEY "YQBi"
#define PLAIN_KEY "YQ=="

START_TEST(a_key_with_a_null_byte_stands_for_no_other_key)
{
	json_t *kvs = json_pack("[{s:s,s:s,s:s},{s:s,s:s,s:s}]", "key",
				PLAIN_KEY, "value", "eA==", "mod_revision", "3",
				"key", NUL_KEY, "value", "eXk=", "mod_revision",
				"4");
	json_t *event = json_pack("{s:s,s:o}", "type", "PUT", "kv",
				  json_copy(json_array_get(kvs, 1)));
	struct etcd_entries entries = {0};

	ck_assert(etcd_json_read_kvs(kvs, &entries));
	ck_assert(etcd_json_read_event(event, &entries));
	ck_assert_uint_eq(entries.count, 1);
	ck_assert_str_eq(entries.entries[0].key, "a");
	ck_assert_uint_eq(entries.entries[0].value_size, 1);
	etcd_entries_free(&entries);
	json_decref(event);
	json_decref(kvs);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("listings_decode");
	TCase *tcase = tcase_create("items");

	tcase_add_loop_test(tcase, hosts_beside_an_odd_one_are_listed, 0,
			    sizeof(odd_hosts) / sizeof(odd_hosts[0]));
	tcase_add_loop_test(tcase, a_list_without_hosts_is_refused, 0, 4);
	tcase_add_test(tcase, a_key_with_a_null_byte_stands_for_no_other_key);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
