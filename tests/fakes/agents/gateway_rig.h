/**
 * @file gateway_rig.h
 * A gateway on a free port, before fake backend servers and fake agents.
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
	bool is_done;	  /**< on that thread */
};

/** Fills in everything; settings may then be changed before the start. */
void gateway_rig_init(struct gateway_rig *rig);
void gateway_rig_start(struct gateway_rig *rig);
void gateway_rig_stop(struct gateway_rig *rig);

/** Waits until the condition holds; fails the test after ten seconds. */
#define RIG_WAIT(condition)                                                 \
	do {                                                                \
		int left = 10000;                                           \
		while (!(condition) && left-- > 0)                          \
			gateway_rig_pause();                                \
		ck_assert_msg(condition, "waited in vain for " #condition); \
	} while (0)

void gateway_rig_pause(void);

/* ---- a caller on a bare socket ---- */

int rig_connect(const struct gateway_rig *rig);
void rig_send(int fd, const char *text);

/** Sends a chat completion; the connection is closed by the answer.
 * @param headers further header lines, each with its line end */
void rig_send_chat(int fd, const char *headers, const char *fields);

/** Reads until the text comes, or the end. @return whether it came */
bool rig_read_until(int fd, struct buffer *input, const char *text);

/** Reads to the end. @return the HTTP status, 0 when none came */
int rig_read_all(int fd, struct buffer *input);

/** One chat completion from connect to close. @return the HTTP status */
int rig_chat(const struct gateway_rig *rig, const char *headers,
	     const char *fields, struct buffer *input);

/** Any other request, likewise. */
int rig_call(const struct gateway_rig *rig, const char *method,
	     const char *path, const char *headers, const char *body,
	     struct buffer *input);

/** Takes a chunked answer's chunks together, in place. */
void rig_dechunk(struct buffer *input);

#endif
