/* Tests how many connections callers may keep open, by a play of callers that
 * open connections, send a request now and then, and keep the connections. */
#include "state/connection_room.h"

#include "unit/unit_main.h"

#define DESCRIPTORS 4096

START_TEST(each_request_has_a_descriptor_for_its_server)
{
	struct connection_room room;
	uint32_t own = DESCRIPTORS / 8;

	connection_room_init(&room, DESCRIPTORS);
	ck_assert_uint_le(2 * room.max_callers + own, DESCRIPTORS);
	ck_assert_uint_ge(2 * (room.max_callers + 1) + own, DESCRIPTORS);
	ck_assert(connection_room_accepts(&room, room.max_callers - 1));
	ck_assert(!connection_room_accepts(&room, room.max_callers));
}
END_TEST

/* New callers are accepted all the while, because the idle connections of
 * earlier ones are closed. */
START_TEST(idle_connections_leave_room_for_new_ones)
{
	struct connection_room room;
	uint32_t callers = 0;

	connection_room_init(&room, DESCRIPTORS);
	for (int interval = 0; interval < 100; interval++) {
		for (int i = 0; i < 500; i++) {
			ck_assert(connection_room_accepts(&room, callers));
			callers++;
		}
		callers -= connection_room_surplus(&room, callers);
		ck_assert_uint_le(connection_room_percent(&room, callers), 50);
	}
}
END_TEST

START_TEST(a_host_with_few_connections_closes_none)
{
	struct connection_room room;

	connection_room_init(&room, DESCRIPTORS);
	ck_assert_uint_eq(connection_room_surplus(&room, 0), 0);
	ck_assert_uint_eq(connection_room_surplus(&room, room.max_callers / 2),
			  0);
	ck_assert_uint_eq(
		connection_room_surplus(&room, room.max_callers / 2 + 7), 7);
}
END_TEST

START_TEST(connections_are_kept_the_shorter_the_more_there_are)
{
	struct connection_room room;
	int64_t before_ms = 15000;

	connection_room_init(&room, DESCRIPTORS);
	ck_assert_int_eq(
		connection_room_idle_ms(&room, room.keep_idle_below / 2, 15000),
		15000);
	for (uint32_t i = 0; i <= room.max_callers; i++) {
		int64_t idle_ms = connection_room_idle_ms(&room, i, 15000);

		ck_assert_int_le(idle_ms, before_ms);
		before_ms = idle_ms;
	}
	ck_assert_int_eq(before_ms, 1000);
	ck_assert_int_eq(connection_room_idle_ms(&room, room.max_callers, 300),
			 300);
}
END_TEST

START_TEST(a_process_without_descriptors_accepts_nothing)
{
	struct connection_room room;

	connection_room_init(&room, 1);
	ck_assert(!connection_room_accepts(&room, 0));
	ck_assert_uint_eq(connection_room_percent(&room, 0), 100);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("connection_room");
	TCase *tcase = tcase_create("core");

	tcase_add_test(tcase, each_request_has_a_descriptor_for_its_server);
	tcase_add_test(tcase, idle_connections_leave_room_for_new_ones);
	tcase_add_test(tcase, a_host_with_few_connections_closes_none);
	tcase_add_test(tcase, a_process_without_descriptors_accepts_nothing);
	tcase_add_test(tcase,
		       connections_are_kept_the_shorter_the_more_there_are);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
