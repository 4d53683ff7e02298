/**
 * @file soak_host.h
 * One host's program as a process, with its own address of the store and
 * proxies before its callers and the store.
 */
#ifndef SOAK_HOST_H
#define SOAK_HOST_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fakes/kv_standin.h"
#include "soak/soak_link.h"

#define SOAK_US_PER_MS 1000
#define SOAK_US_PER_S 1000000
/** Until a stopping host is killed. */
#define SOAK_KILL_AFTER_S 6

struct soak;

struct soak_host {
	struct soak *soak;
	size_t index;
	char name[32];
	char settings_path[512];
	char log_path[512];
	char caller_address[32];
	char peer_address[32];
	struct soak_link caller_link;
	struct soak_link store_link;
	struct kv_standin_view view;
	pid_t pid; /**< 0: not running */
	unsigned int starts;
	int64_t started_us;
	int64_t killed_us;	   /**< SIGKILL was last sent */
	unsigned int killed_start; /**< number of the process it was sent to */
	int64_t stop_us;	   /**< SIGTERM of this process, or 0 */
	bool paused;
	int64_t paused_us;    /**< when it was last paused or resumed */
	int64_t start_at_us;  /**< is started then; 0: not by itself */
	int64_t disturbed_us; /**< last change of a fault at this host */
	unsigned int faults;  /**< that last */
	long peak_kb;	      /**< most memory of any of its processes */
	long version_seen;    /**< highest version whose effect was seen */
	int64_t version_seen_us;
	char ready_address[32];
	bool caller_link_faulty;
	int64_t caller_link_us; /**< last change of a fault of caller_link */
};

/** Chooses the addresses and starts the proxies. */
void soak_host_init(struct soak_host *host, struct soak *soak, size_t index);

/** Gives the settings file a new time of change, as if it was replaced. */
void soak_host_touch_settings(const struct soak_host *host);

/** Starts the process, unless it runs. */
void soak_host_start(struct soak_host *host);

void soak_host_signal(struct soak_host *host, int number);

/** Looks whether the process has ended, kills it if it stops too slowly, and
 * starts it when it is time. */
void soak_host_poll(struct soak_host *host);

/** Records that a fault between this host and the store begins, ends, or
 * happens. The end of the last one undoes all. */
void soak_host_begin_fault(struct soak_host *host);
void soak_host_end_fault(struct soak_host *host);
void soak_host_disturb(struct soak_host *host);

/** @return whether rules with a time limit hold at this host now */
bool soak_host_in_touch(const struct soak_host *host);

#endif
