/**
 * @file soak.h
 * A fault soak: hosts as processes between callers, backend servers and a
 * store of this process, which breaks things and checks what callers and
 * servers see.
 */
#ifndef SOAK_H
#define SOAK_H

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "fakes/kv_standin.h"
#include "soak/soak_host.h"
#include "soak/soak_peers.h"
#include "soak/soak_request.h"
#include "tamarackgw/random.h"

#define SOAK_DOMAINS 3
#define SOAK_SERVERS 4
#define SOAK_CALLERS_PER_HOST 6
/** Within these a change of the configuration, and a server that leaves, take
 * effect at hosts in touch. */
#define SOAK_APPLY_MS 2000
#define SOAK_DRAIN_MS 2000
#define SOAK_TIMEOUT_MS 3000
/** What the platform allows a host; it kills one that exceeds it. */
#define SOAK_HOST_MEMORY_MB 64
/** Versions of the configuration that are kept for the checks. */
#define SOAK_VERSIONS_MAX 4096

#define SOAK_RICH_TEAM "rich"
#define SOAK_POOR_TEAM "poor"
#define SOAK_VERSION_TEAM "version"

struct soak_server;
struct soak_caller;

struct soak {
	uv_loop_t loop;
	uv_timer_t tick;
	sigset_t signal_mask;
	struct tgw_random random;
	struct tgw_random endless_random;
	const char *program; /**< of the hosts */
	/** Library that makes a host's wall clock wrong, or NULL. */
	const char *wall_clock;
	const char *folder; /**< for settings and logs */
	struct kv_standin store;
	struct soak_peers peers;
	struct soak_requests requests;
	size_t host_count;
	size_t domain_count; /**< failure domains of hosts */
	int evacuate_ms;     /**< in the hosts' settings; 0: as apply_ms */
	struct soak_host *hosts;
	struct soak_server *servers[SOAK_SERVERS];
	struct soak_caller *callers;
	unsigned int servers_started;
	unsigned int store_faults; /**< for all hosts, that last */
	int64_t store_disturbed_us;
	int64_t servers_disturbed_us;
	int64_t begun_us;
	/** When this process last went on after it had not run for a while. */
	int64_t stalled_us;
	int64_t ticked_us;
	bool ending; /**< ended hosts are not started again */
	/** Time at which the store accepted each version. */
	int64_t version_us[SOAK_VERSIONS_MAX];
	long version;
	int64_t poor_paid_tokens;
	int64_t poor_spent_tokens;
	unsigned int in_touch; /**< requests that ended at a host in touch */
	unsigned int endless_answers;
	unsigned int served;
	unsigned int refused;
	unsigned int failed;
	unsigned int broken; /**< promises */
};

int64_t soak_now_us(void);

/** Prints what happens, with the time since the start. */
void soak_note(const struct soak *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Records a broken promise. */
void soak_broken(struct soak *soak, const char *rule, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Writes the next version of the configuration. */
void soak_configure(struct soak *soak);

/** Records that this process did not run for a while. To call regularly. */
void soak_record_stall(struct soak *soak);

/** Starts all hosts. */
void soak_hosts_start(struct soak *soak);

/** @return whether the chance of some in a hundred comes true */
bool soak_happens(struct soak *soak, unsigned int percent);

#endif
