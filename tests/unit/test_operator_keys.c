/* Tests the operators' keys and their roles, and that a secret file is refused
 * when others can read it. No error message may contain a secret. */
#include "state/operator_keys.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "tamarackgw/config_snapshot.h"
#include "transport/secret_file.h"
#include "unit/unit_main.h"

static char hash_hex[2 * TGW_KEY_HASH_BYTES + 1];

static struct operator_keys *parse(const char *format, struct tgw_error *error)
{
	uint8_t hash[TGW_KEY_HASH_BYTES];
	char text[1024];

	tgw_key_hash("opensesame", strlen("opensesame"), hash);
	sodium_bin2hex(hash_hex, sizeof(hash_hex), hash, sizeof(hash));
	snprintf(text, sizeof(text), format, hash_hex);
	return operator_keys_parse("ops.keys", text, strlen(text), error);
}

START_TEST(a_key_grants_no_role_above_its_own)
{
	struct tgw_error error;
	struct operator_keys *keys =
		parse("# staff\n\nana:operator:%s\n", &error);

	ck_assert_ptr_nonnull(keys);
	ck_assert_str_eq(operator_keys_check(keys, "opensesame",
					     OPERATOR_VIEWER),
			 "ana");
	ck_assert_str_eq(operator_keys_check(keys, "Bearer opensesame",
					     OPERATOR_OPERATOR),
			 "ana");
	ck_assert_ptr_null(
		operator_keys_check(keys, "opensesame", OPERATOR_ADMIN));
	ck_assert_ptr_null(
		operator_keys_check(keys, "opensesam", OPERATOR_VIEWER));
	ck_assert_ptr_null(
		operator_keys_check(keys, hash_hex, OPERATOR_VIEWER));
	ck_assert_ptr_null(operator_keys_check(keys, NULL, OPERATOR_VIEWER));
	ck_assert_ptr_null(operator_keys_check(keys, "", OPERATOR_VIEWER));
	operator_keys_free(keys);
}
END_TEST

static const struct {
	const char *text;
	const char *message;
} bad_files[] = {
	{"ana:operator\n%s", "ops.keys:1: is not of the form"},
	{"\nana:boss:%s\n", "ops.keys:2: has no known role"},
	{"an a:viewer:%s\n", "ops.keys:1: has no valid name"},
	{"ana:viewer:%sff\n", "ops.keys:1: has no hash"},
	{"ana:viewer:xyz\n%s", "ops.keys:1: has no hash"},
};

START_TEST(a_parse_error_names_the_line_but_no_secret)
{
	struct tgw_error error;

	ck_assert_ptr_null(parse(bad_files[_i].text, &error));
	ck_assert_ptr_nonnull(strstr(error.message, bad_files[_i].message));
	ck_assert_ptr_null(strstr(error.message, hash_hex));
}
END_TEST

START_TEST(a_secret_file_that_others_can_read_is_refused)
{
	char path[] = "/tmp/tgw-secret-XXXXXX";
	int file = mkstemp(path);
	struct buffer content = {0};
	struct tgw_error error;

	ck_assert_int_ge(file, 0);
	ck_assert_int_eq(write(file, "abc", 3), 3);
	close(file);
	ck_assert_int_eq(secret_file_read(path, &content, &error), TGW_OK);
	ck_assert_str_eq(content.data, "abc");
	chmod(path, 0640);
	ck_assert_int_eq(secret_file_read(path, &content, &error), TGW_DENIED);
	ck_assert_ptr_nonnull(strstr(error.message, "chmod 600"));
	ck_assert_ptr_null(strstr(error.message, "abc"));
	ck_assert_int_eq(secret_file_check(path, &error), TGW_DENIED);
	ck_assert_int_eq(secret_file_check("/tmp", &error), TGW_INVALID);
	unlink(path);
	ck_assert_int_eq(secret_file_check(path, &error), TGW_NOT_FOUND);
	buffer_free(&content);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("operator_keys");
	TCase *tcase = tcase_create("keys");

	tcase_add_test(tcase, a_key_grants_no_role_above_its_own);
	tcase_add_loop_test(tcase, a_parse_error_names_the_line_but_no_secret,
			    0, sizeof(bad_files) / sizeof(bad_files[0]));
	tcase_add_test(tcase, a_secret_file_that_others_can_read_is_refused);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
