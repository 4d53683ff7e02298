/**
 * @file settings.h
 * The daemon's settings, read from an INI file and checked as a whole.
 */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define SETTINGS_PATH_SIZE 256

struct settings {
	/* [host] */
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char caller_address[TGW_NAME_SIZE]; /**< IP number and port */
	char peer_address[TGW_NAME_SIZE];   /**< IP number and port */
	int64_t memory_mb;		    /**< 0: what the system has */
	int64_t request_memory_percent;
	int64_t stall_room_ms;
	int64_t max_descriptors; /**< 0: the system's limit */
	/* [platform] */
	char store_url[TGW_URL_SIZE];
	char list_url[TGW_URL_SIZE];
	int64_t store_timeout_ms;
	int64_t list_interval_ms;
	/* [limits] */
	int64_t max_connections;
	int64_t max_open_requests;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
	int64_t framing_bytes;
	int64_t discard_bytes; /**< of callers that were refused */
	/** Maximum size of an answer that is kept in memory as a whole. */
	int64_t max_answer_bytes;
	/** Unread bytes of an answer at which its backend server is paused. */
	int64_t stream_buffer_bytes;
	int64_t caller_idle_ms;
	int64_t default_deadline_ms;
	int64_t max_deadline_ms;
	int64_t replay_memory_bytes;
	int64_t replay_keep_s;
	/** How long a stopping host still accepts requests. */
	int64_t stop_notice_ms;
	/** Maximum time that a planned stop then waits for open requests. */
	int64_t stop_grace_s;
	/* [budget] */
	int64_t ledger_flush_ms;
	int64_t ride_out_s;
	/* [claims] */
	int64_t claim_batch_ms;
	int64_t claim_keep_s;
	/* [membership] */
	int64_t heartbeat_ms;
	int64_t silent_after_ms;
	int64_t gone_after_ms;
	/* [backend] */
	int64_t load_poll_ms;
	int64_t connect_timeout_ms;
	int64_t stream_idle_ms;
	/* [security] */
	char peer_secret_file[SETTINGS_PATH_SIZE]; /**< CURVE key pair */
	char operator_keys_file[SETTINGS_PATH_SIZE];
	/* [log] */
	char log_level[TGW_NAME_SIZE];
};

void settings_set_defaults(struct settings *settings);

/** Reads and checks a file. The error message names the file and, where they
 * are known, the line and the setting at fault. */
enum tgw_status settings_read(struct settings *settings, const char *path,
			      struct tgw_error *error);

/** Prints all settings with their explanations, as a sample file. */
void settings_print(const struct settings *settings);

#endif
