/* Tests messages between hosts over UDP on loopback: what arrives, and that
 * nothing does from a stranger. */
#include "transport/datagram_channel.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/text.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define ADDRESS_SIZE 32
#define WAIT_MS 300
#define JUNK_DATAGRAMS 200

struct end {
	struct datagram_channel channel;
	char address[ADDRESS_SIZE];
	char from_host[TGW_NAME_SIZE];
	uint64_t from_incarnation;
	enum tgw_peer_topic topic;
	char payload[DATAGRAM_MAX_BYTES];
	size_t payload_size;
	int count;
};

static uv_loop_t loop;
static struct end ends[2];

static const char *address_of(void *arg, const char *host)
{
	if (!strcmp(host, "host-0"))
		return ends[0].address;
	return strcmp(host, "host-1") ? NULL : ends[1].address;
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct end *end = arg;

	text_copy(end->from_host, sizeof(end->from_host), message->from_host);
	end->from_incarnation = message->from_incarnation;
	end->topic = message->topic;
	ck_assert_uint_le(message->payload_size, sizeof(end->payload));
	memcpy(end->payload, message->payload, message->payload_size);
	end->payload_size = message->payload_size;
	end->count++;
}

static void open_end(size_t index)
{
	struct end *end = &ends[index];
	struct datagram_channel_settings settings = {
		.address = "127.0.0.1:0",
		.host_name = index ? "host-1" : "host-0",
		.incarnation = 100 + index,
		.address_of = address_of,
		.receive = on_message,
		.arg = end,
	};
	struct peer_key key = {{7}};
	struct sockaddr_in bound;
	int size = sizeof(bound);

	ck_assert_int_eq(datagram_channel_open(&end->channel, &loop, &settings,
					       NULL),
			 TGW_OK);
	datagram_channel_set_key(&end->channel, &key);
	uv_udp_getsockname(&end->channel.socket, (struct sockaddr *)&bound,
			   &size);
	snprintf(end->address, sizeof(end->address), "127.0.0.1:%d",
		 ntohs(bound.sin_port));
}

static void setup(void)
{
	memset(ends, 0, sizeof(ends));
	uv_loop_init(&loop);
	open_end(0);
	open_end(1);
}

static void teardown(void)
{
	datagram_channel_close(&ends[0].channel);
	datagram_channel_close(&ends[1].channel);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}

static void on_timeout(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void wait_ms(uint64_t duration_ms)
{
	uv_timer_t timer;

	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_timeout, duration_ms, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

static enum tgw_status send_text(const char *to, const char *text)
{
	return tgw_peer_send(&ends[0].channel.peer, to, TGW_PEER_TRANSFER, text,
			     strlen(text));
}

START_TEST(a_message_arrives_with_its_sender)
{
	ck_assert_int_eq(send_text("host-1", "hello"), TGW_OK);
	wait_ms(WAIT_MS);
	ck_assert_int_eq(ends[1].count, 1);
	ck_assert_str_eq(ends[1].from_host, "host-0");
	ck_assert_uint_eq(ends[1].from_incarnation, 100);
	ck_assert_int_eq(ends[1].topic, TGW_PEER_TRANSFER);
	ck_assert_mem_eq(ends[1].payload, "hello", 5);
	ck_assert_uint_eq(ends[1].channel.counters.messages_received, 1);
}
END_TEST

START_TEST(an_unknown_host_and_a_large_message_are_refused)
{
	static char large[DATAGRAM_MAX_BYTES + 1];

	memset(large, 'x', sizeof(large) - 1);
	ck_assert_int_eq(send_text("host-9", "hello"), TGW_NOT_FOUND);
	ck_assert_int_eq(send_text("host-1", large), TGW_TOO_LARGE);
}
END_TEST

START_TEST(a_host_with_another_key_is_not_heard)
{
	struct peer_key other = {{8}};

	datagram_channel_set_key(&ends[0].channel, &other);
	ck_assert_int_eq(send_text("host-1", "hello"), TGW_OK);
	wait_ms(WAIT_MS);
	ck_assert_int_eq(ends[1].count, 0);
	ck_assert_uint_eq(ends[1].channel.counters.messages_rejected, 1);
}
END_TEST

START_TEST(without_a_key_nothing_is_sent_or_accepted)
{
	ends[0].channel.key_known = false;
	ck_assert_int_eq(send_text("host-1", "hello"), TGW_NOT_FOUND);
	ends[0].channel.key_known = true;
	ends[1].channel.key_known = false;
	ck_assert_int_eq(send_text("host-1", "hello"), TGW_OK);
	wait_ms(WAIT_MS);
	ck_assert_int_eq(ends[1].count, 0);
}
END_TEST

START_TEST(junk_from_a_stranger_is_dropped)
{
	static char junk[DATAGRAM_MAX_BYTES * 2];
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct tgw_random random;
	const char *port = strrchr(ends[1].address, ':') + 1;
	int descriptor = socket(AF_INET, SOCK_DGRAM, 0);

	tgw_random_init(&random, 1);
	to.sin_port = htons((uint16_t)strtol(port, NULL, 10));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < JUNK_DATAGRAMS; i++) {
		size_t size = tgw_random_below(&random, sizeof(junk));

		for (size_t at = 0; at < size; at++)
			junk[at] = (char)tgw_random_below(&random, 256);
		sendto(descriptor, junk, size, 0, (struct sockaddr *)&to,
		       sizeof(to));
		if (i % 20 == 0)
			wait_ms(1);
	}
	close(descriptor);
	ck_assert_int_eq(send_text("host-1", "hello"), TGW_OK);
	wait_ms(WAIT_MS);
	ck_assert_int_eq(ends[1].count, 1);
	ck_assert_uint_gt(ends[1].channel.counters.messages_rejected, 0);
}
END_TEST

START_TEST(an_address_that_is_in_use_names_the_remedy)
{
	struct datagram_channel_settings settings = {.address = ends[1].address,
						     .host_name = "host-2"};
	/* The loop closes them in the end. */
	static struct datagram_channel channels[2];
	struct tgw_error error;

	ck_assert_int_eq(datagram_channel_open(&channels[0], &loop, &settings,
					       &error),
			 TGW_UNAVAILABLE);
	ck_assert_ptr_nonnull(strstr(error.message, "not in use"));
	settings.address = "nowhere";
	ck_assert_int_eq(datagram_channel_open(&channels[1], &loop, &settings,
					       &error),
			 TGW_INVALID);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("datagram_channel");
	TCase *tcase = tcase_create("core");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_message_arrives_with_its_sender);
	tcase_add_test(tcase, an_unknown_host_and_a_large_message_are_refused);
	tcase_add_test(tcase, a_host_with_another_key_is_not_heard);
	tcase_add_test(tcase, without_a_key_nothing_is_sent_or_accepted);
	tcase_add_test(tcase, junk_from_a_stranger_is_dropped);
	tcase_add_test(tcase, an_address_that_is_in_use_names_the_remedy);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
