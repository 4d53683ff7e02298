/**
 * @file gateway_rig.h
 * A test rig: a gateway on a free port with fake backend servers and fake
 * agents.
 */
#ifndef FAKES_AGENTS_GATEWAY_RIG_H
#define FAKES_AGENTS_GATEWAY_RIG_H

#include <pthread.h>

#include "daemon/gateway.h"
#include "fakes/agents/fake_agents.h"
#include "fakes/agents/fake_backend.h"
#include "transport/event_loop.h"
#include "transport/loop_client.h"

#define RIG_ENGINES 2
#define RIG_MODEL "m"
#define RIG_TEAM "team"
#define RIG_FIXED_TOKENS 10
#define RIG_CALL_TOKENS 7

struct gateway_rig {
	struct settings settings;
	struct runtime runtime;
	struct tgw_clock clock;
	struct tgw_template template;
	struct tgw_team team;
	struct tgw_server servers[RIG_ENGINES + 1];
	struct tgw_service service;
	struct tgw_config_snapshot config;
	struct fake_backend engines[RIG_ENGINES];
	struct fake_backend booking;
	struct event_loop *loop;
	struct loop_client *client;
	struct gateway *gateway;
	pthread_t thread; /**< runs the loop */
	bool is_done;	  /**< ends the loop; set on that thread */
};

/** Sets defaults and starts the fake backend servers. A test may change the
 * settings before gateway_rig_start(). */
void gateway_rig_init(struct gateway_rig *rig);
void gateway_rig_start(struct gateway_rig *rig);
void gateway_rig_stop(struct gateway_rig *rig);

/** Waits until the condition holds; fails the test after at least 10 s. */
#define RIG_WAIT(condition)                                                    \
	do {                                                                   \
		int polls_left = 10000;                                        \
		while (!(condition) && polls_left-- > 0)                       \
			gateway_rig_sleep();                                   \
		ck_assert_msg(condition, "timed out waiting for " #condition); \
	} while (0)

/** Sleeps for one polling interval of RIG_WAIT. */
void gateway_rig_sleep(void);

/* ---- a caller on a plain socket ---- */

int rig_connect(const struct gateway_rig *rig);
void rig_send(int fd, const char *text);

/** Sends a chat completion request; the gateway closes the connection after its
 * response.
 * @param headers further header lines, each with its line end
 * @param fields further members of the JSON body, each after a comma */
void rig_send_chat(int fd, const char *headers, const char *fields);

/** Reads until the text is received, the connection ends or no data arrives for
 * 10 s.
 * @return whether the text was received */
bool rig_read_until(int fd, struct buffer *input, const char *text);

/** Reads until the connection ends or no data arrives for 10 s.
 * @return the HTTP status, or 0 when none was received */
int rig_read_all(int fd, struct buffer *input);

/** Connects, sends a chat completion request and reads the response.
 * @return as rig_read_all() */
int rig_chat(const struct gateway_rig *rig, const char *headers,
	     const char *fields, struct buffer *input);

/** As rig_chat(), for any other request. */
int rig_call(const struct gateway_rig *rig, const char *method,
	     const char *path, const char *headers, const char *body,
	     struct buffer *input);

/** Replaces a chunked response by its decoded body. */
void rig_dechunk(struct buffer *input);

#endif
