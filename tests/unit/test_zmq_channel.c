/* Tests the channel between hosts on real sockets, with and without encryption,
 * and the check of a message's head. */
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "protocol/peer_frame.h"
#include "transport/zmq_channel.h"
#include "unit/unit_main.h"

#define ROUNDS 200
#define ROUND_MS 10

struct endpoint {
	struct zmq_channel *channel;
	struct tgw_host host;
	int received;
	char last[64];
	char last_from[TGW_NAME_SIZE];
};

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct endpoint *endpoint = arg;

	endpoint->received++;
	snprintf(endpoint->last, sizeof(endpoint->last), "%.*s",
		 (int)message->payload_size, (const char *)message->payload);
	snprintf(endpoint->last_from, sizeof(endpoint->last_from), "%s",
		 message->from_host);
}

static void make_keys(struct zmq_channel_keys *keys)
{
	ck_assert_int_eq(zmq_curve_keypair(keys->public_key, keys->secret_key),
			 0);
}

/* Listens on a port that the system chooses. */
static void open_endpoint(struct endpoint *endpoint, const char *name,
			  const struct zmq_channel_keys *keys)
{
	struct zmq_channel_settings settings = {
		.bind_url = "tcp://127.0.0.1:*",
		.host_name = name,
		.incarnation = 42,
		.receive = on_message,
		.arg = endpoint,
	};
	struct tgw_error error;

	memset(endpoint, 0, sizeof(*endpoint));
	snprintf(endpoint->host.name, sizeof(endpoint->host.name), "%s", name);
	if (keys)
		settings.keys = *keys;
	endpoint->channel = zmq_channel_new(&settings, &error);
	ck_assert_msg(endpoint->channel != NULL, "%s", error.message);
	zmq_channel_bound_url(endpoint->channel, endpoint->host.peer_url,
			      sizeof(endpoint->host.peer_url));
}

static void set_hosts(struct endpoint *from, struct endpoint *to)
{
	struct tgw_host hosts[2] = {from->host, to->host};
	struct tgw_host_view view = {.host_count = 2, .hosts = hosts};

	zmq_channel_set_hosts(from->channel, &view);
}

static void send_text(struct endpoint *from, struct endpoint *to,
		      const char *text)
{
	ck_assert_int_eq(tgw_peer_send(zmq_channel_peer(from->channel),
				       to->host.name, TGW_PEER_BUDGET, text,
				       strlen(text)),
			 TGW_OK);
}

static void exchange_messages(struct endpoint *a, struct endpoint *b,
			      int until_received)
{
	for (int i = 0; i < ROUNDS && b->received < until_received; i++) {
		zmq_channel_receive(a->channel);
		zmq_channel_receive(b->channel);
		poll(NULL, 0, ROUND_MS);
	}
}

static void close_endpoints(struct endpoint *a, struct endpoint *b)
{
	zmq_channel_free(a->channel);
	zmq_channel_free(b->channel);
}

/* The second run encrypts the channel. */
START_TEST(a_message_of_a_listed_host_is_received)
{
	struct zmq_channel_keys keys;
	struct endpoint a;
	struct endpoint b;

	make_keys(&keys);
	open_endpoint(&a, "a", _i ? &keys : NULL);
	open_endpoint(&b, "b", _i ? &keys : NULL);
	set_hosts(&a, &b);
	send_text(&a, &b, "hello");
	exchange_messages(&a, &b, 1);
	ck_assert_int_eq(b.received, 1);
	ck_assert_str_eq(b.last, "hello");
	ck_assert_str_eq(b.last_from, "a");
	close_endpoints(&a, &b);
}
END_TEST

START_TEST(a_peer_without_the_key_is_refused)
{
	struct zmq_channel_keys keys;
	struct zmq_channel_keys other;
	struct endpoint a;
	struct endpoint b;
	struct endpoint c;

	make_keys(&keys);
	make_keys(&other);
	/* In the second run, the refused peer has the fleet's public key but
	 * not its secret key. */
	memcpy(other.public_key, _i ? keys.public_key : other.public_key,
	       sizeof(other.public_key));
	open_endpoint(&a, "stranger", &other);
	open_endpoint(&b, "b", &keys);
	open_endpoint(&c, "c", &keys);
	set_hosts(&a, &b);
	set_hosts(&c, &b);
	send_text(&a, &b, "let me in");
	send_text(&c, &b, "hello");
	for (int i = 0; i < ROUNDS && b.received < 1; i++) {
		zmq_channel_receive(a.channel);
		zmq_channel_receive(b.channel);
		poll(NULL, 0, ROUND_MS);
	}
	ck_assert_int_eq(b.received, 1);
	ck_assert_str_eq(b.last_from, "c");
	zmq_channel_free(c.channel);
	close_endpoints(&a, &b);
}
END_TEST

START_TEST(a_message_to_an_unknown_host_is_not_sent)
{
	struct endpoint a;
	struct endpoint b;

	open_endpoint(&a, "a", NULL);
	open_endpoint(&b, "b", NULL);
	ck_assert_int_eq(tgw_peer_send(zmq_channel_peer(a.channel), "nobody",
				       TGW_PEER_BUDGET, "x", 1),
			 TGW_NOT_FOUND);
	close_endpoints(&a, &b);
}
END_TEST

static const struct frame_case {
	const char *name;
	size_t size;
	const char *bytes;
	enum tgw_status status;
} frames[] = {
	{"empty", 0, "", TGW_CORRUPT},
	{"no array", 1, "\x01", TGW_CORRUPT},
	{"a newer format", 2, "\x91\x02", TGW_NEWER_FORMAT},
	{"too few fields", 3, "\x92\x01\xa1", TGW_CORRUPT},
	{"an empty name", 5, "\x94\x01\xa0\x05\x01", TGW_CORRUPT},
	{"topic zero", 6, "\x94\x01\xa1h\x05\x00", TGW_CORRUPT},
	{"an unknown topic", 6, "\x94\x01\xa1h\x05\x63", TGW_CORRUPT},
	{"trailing bytes", 7, "\x94\x01\xa1h\x05\x01\x01", TGW_CORRUPT},
	{"a valid head", 6, "\x94\x01\xa1h\x05\x01", TGW_OK},
};

START_TEST(invalid_message_heads_are_rejected)
{
	struct peer_frame frame;
	struct tgw_error error = {0};

	ck_assert_msg(peer_frame_decode(&frame, frames[_i].bytes,
					frames[_i].size,
					&error) == frames[_i].status,
		      "%s: %s", frames[_i].name, error.message);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("zmq_channel");
	TCase *tcase = tcase_create("channel");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, a_message_of_a_listed_host_is_received, 0,
			    2);
	tcase_add_loop_test(tcase, a_peer_without_the_key_is_refused, 0, 2);
	tcase_add_test(tcase, a_message_to_an_unknown_host_is_not_sent);
	tcase_add_loop_test(tcase, invalid_message_heads_are_rejected, 0,
			    sizeof(frames) / sizeof(frames[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
