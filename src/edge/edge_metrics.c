#include "edge/edge_metrics.h"

#include "edge/server_signals.h"
#include "edge/server_warmup.h"

static void add_counter(struct buffer *text, const char *name, uint64_t value)
{
	buffer_add_format(text,
			  "# TYPE tamarackgw_%s counter\ntamarackgw_%s %llu\n",
			  name, name, (unsigned long long)value);
}

static void add_failed_attempts(struct buffer *text, const uint64_t *counts)
{
	buffer_add_text(text,
			"# TYPE tamarackgw_failed_attempts_total counter\n");
	for (enum backend_outcome i = BACKEND_SERVED + 1; i < BACKEND_OUTCOMES;
	     i++)
		buffer_add_format(text,
				  "tamarackgw_failed_attempts_total"
				  "{outcome=\"%s\"} %llu\n",
				  backend_outcome_name(i),
				  (unsigned long long)counts[i]);
}

static void add_invalid_answers(struct buffer *text, const uint64_t *counts)
{
	buffer_add_text(text,
			"# TYPE tamarackgw_invalid_answers_total counter\n");
	for (enum http_defect i = HTTP_DEFECT_NONE + 1; i < HTTP_DEFECTS; i++)
		buffer_add_format(text,
				  "tamarackgw_invalid_answers_total"
				  "{defect=\"%s\"} %llu\n",
				  http_defect_name(i),
				  (unsigned long long)counts[i]);
}

static void add_caller_closes(struct buffer *text, const uint64_t *counts)
{
	buffer_add_text(text,
			"# TYPE tamarackgw_caller_closes_total counter\n");
	for (enum server_close_reason i = 0; i < SERVER_CLOSE_REASONS; i++)
		buffer_add_format(text,
				  "tamarackgw_caller_closes_total"
				  "{reason=\"%s\"} %llu\n",
				  server_close_reason_name(i),
				  (unsigned long long)counts[i]);
}

static void add_gauge(struct buffer *text, const char *name, double value)
{
	buffer_add_format(text,
			  "# TYPE tamarackgw_%s gauge\ntamarackgw_%s %g\n",
			  name, name, value);
}

static void add_histogram(struct buffer *text, const char *name,
			  const struct latency_buckets *buckets)
{
	uint64_t total = 0;

	buffer_add_format(text, "# TYPE tamarackgw_%s_seconds histogram\n",
			  name);
	for (int i = 0; i < LATENCY_BOUNDS; i++) {
		total += buckets->counts[i];
		buffer_add_format(
			text, "tamarackgw_%s_seconds_bucket{le=\"%g\"} %llu\n",
			name, (double)latency_bounds_ms[i] / 1000,
			(unsigned long long)total);
	}
	buffer_add_format(text,
			  "tamarackgw_%s_seconds_bucket{le=\"+Inf\"} %llu\n"
			  "tamarackgw_%s_seconds_sum %g\n"
			  "tamarackgw_%s_seconds_count %llu\n",
			  name, (unsigned long long)buckets->count, name,
			  (double)buckets->sum_us / (double)TGW_US_PER_S, name,
			  (unsigned long long)buckets->count);
}

static void add_peers(const struct edge *edge, struct buffer *text)
{
	const struct datagram_channel_counters *counters =
		&edge->peers.channel.counters;

	add_counter(text, "peer_messages_sent_total", counters->messages_sent);
	add_counter(text, "peer_bytes_sent_total", counters->bytes_sent);
	add_counter(text, "peer_messages_received_total",
		    counters->messages_received);
	add_counter(text, "peer_bytes_received_total",
		    counters->bytes_received);
	add_counter(text, "peer_messages_dropped_total",
		    counters->messages_dropped);
	add_counter(text, "peer_messages_rejected_total",
		    counters->messages_rejected);
	add_counter(text, "load_messages_sent_total",
		    edge->loads.messages_sent);
	add_counter(text, "load_reports_received_total",
		    edge->loads.reports_received);
	add_gauge(text, "peer_hosts", (double)edge_peers_count(edge));
}

/* A host that does not follow the store shows here, whatever has stopped it. */
static void add_mirror_ages(const struct edge *edge, struct buffer *text)
{
	buffer_add_text(text, "# TYPE tamarackgw_mirror_age_seconds gauge\n");
	for (size_t i = 0; i < store_mirror_prefix_count(edge->mirror); i++) {
		int64_t age_us = store_mirror_age_us(edge->mirror, i);

		if (age_us != STORE_MIRROR_NEVER_CONFIRMED)
			buffer_add_format(text,
					  "tamarackgw_mirror_age_seconds"
					  "{prefix=\"%s\"} %g\n",
					  store_mirror_prefix(edge->mirror, i),
					  (double)age_us /
						  (double)TGW_US_PER_S);
	}
}

static void add_mirror(const struct edge *edge, struct buffer *text)
{
	const struct store_mirror_counters *counters =
		store_mirror_get_counters(edge->mirror);

	add_counter(text, "mirror_followed_relays_total",
		    counters->followed_relays);
	add_counter(text, "mirror_watched_store_total",
		    counters->watched_store);
	add_counter(text, "mirror_stalled_watches_total",
		    counters->stalled_watches);
	add_counter(text, "mirror_changes_received_total",
		    counters->changes_received);
	add_counter(text, "mirror_changes_sent_total", counters->changes_sent);
	add_counter(text, "mirror_pulls_total", counters->pulls);
	add_gauge(text, "mirror_followers",
		  (double)store_mirror_follower_count(edge->mirror));
	add_gauge(text, "mirror_follows_relay",
		  store_mirror_follows_relay(edge->mirror));
	add_mirror_ages(edge, text);
}

static void add_server_signals(const struct edge *edge, struct buffer *text)
{
	const struct edge_counters *counters = &edge->counters;
	uint32_t leaving;
	uint32_t resting;

	server_signals_count(edge, &leaving, &resting);
	add_counter(text, "servers_left_total", counters->servers_left);
	add_counter(text, "servers_left_by_hosts_total",
		    counters->servers_left_by_hosts);
	add_counter(text, "server_rests_total", counters->server_rests);
	add_counter(text, "unreadable_fields_total",
		    counters->unreadable_fields);
	add_counter(text, "evacuations_ignored_total",
		    counters->evacuations_ignored);
	add_gauge(text, "evacuated_domains",
		  (double)evacuations_count(
			  route_follower_evacuations(edge->route_follower)));
	add_counter(text, "server_warmups_total", counters->warmups);
	add_gauge(text, "servers_warming_up", server_warmup_count(edge));
	add_gauge(text, "servers_leaving", leaving);
	add_gauge(text, "servers_resting", resting);
}

void edge_metrics_write(const struct edge *edge, bool ready,
			struct buffer *text)
{
	const struct edge_counters *counters = &edge->counters;
	const struct route_set *set = route_follower_set(edge->route_follower);
	const struct team_budget_counters *ledger =
		team_budget_get_counters(edge->budgets);
	const struct request_quarantine_counters *quarantine =
		request_quarantine_get_counters(edge->quarantine);

	add_counter(text, "requests_total", counters->requests);
	add_counter(text, "answered_total", counters->answered);
	add_counter(text, "refused_total", counters->refused);
	add_counter(text, "aborted_total", counters->aborted);
	add_counter(text, "caller_left_total", counters->caller_left);
	add_counter(text, "silences_total", counters->silences);
	add_counter(text, "silences_ended_total", counters->silences_ended);
	add_counter(text, "own_delay_silences_total",
		    counters->own_delay_silences);
	add_counter(text, "own_delay_connects_total",
		    counters->own_delay_connects);
	add_counter(text, "events_without_end_total",
		    counters->events_without_end);
	add_counter(text, "memory_refused_total", counters->memory_refused);
	add_counter(text, "retries_total", counters->retries);
	add_counter(text, "resumed_total", counters->resumed);
	add_failed_attempts(text, counters->failed_attempts);
	add_invalid_answers(text, counters->invalid_answers);
	add_caller_closes(text, counters->caller_closes);
	add_counter(text, "unread_closes_total", counters->unread_closes);
	add_counter(text, "budget_refused_total", counters->budget_refused);
	add_counter(text, "quarantine_refused_total",
		    counters->quarantine_refused);
	add_counter(text, "quarantine_crashes_total", quarantine->crashes);
	add_counter(text, "quarantine_dropped_total", quarantine->dropped);
	add_counter(text, "quarantine_cleared_total", quarantine->cleared);
	add_counter(text, "quarantine_trials_total", quarantine->trials);
	add_counter(text, "quarantine_writes_total", quarantine->writes);
	add_gauge(text, "crash_suspects", (double)edge->crash_suspects.count);
	add_counter(text, "crash_suspects_dropped_total",
		    edge->crash_suspects.dropped);
	add_counter(text, "ledger_reads_total", ledger->reads);
	add_counter(text, "ledger_writes_total", ledger->writes);
	add_counter(text, "ledger_conflicts_total", ledger->conflicts);
	add_counter(text, "ledger_cap_writes_total", ledger->cap_writes);
	add_counter(text, "ledger_recovered_tokens_total",
		    ledger->recovered_tokens);
	add_counter(text, "budget_relay_changes_total", ledger->relay_changes);
	add_counter(text, "budget_received_tokens_total",
		    ledger->received_tokens);
	add_counter(text, "budget_given_tokens_total", ledger->given_tokens);
	add_server_signals(edge, text);
	add_peers(edge, text);
	add_mirror(edge, text);
	add_counter(text, "log_lines_dropped_total", edge->log.dropped_total);
	add_gauge(text, "open_requests", edge->call_count);
	add_gauge(text, "caller_connections", edge->conn_count);
	add_gauge(text, "answer_held_bytes",
		  (double)edge->held_answers.total_bytes);
	add_gauge(text, "answer_held_peak_bytes",
		  (double)edge->held_answers.peak_bytes);
	add_gauge(text, "request_held_bytes",
		  (double)edge->held_requests.total_bytes);
	add_gauge(text, "request_held_peak_bytes",
		  (double)edge->held_requests.peak_bytes);
	add_gauge(text, "loop_lag_seconds",
		  (double)edge->load.loop_lag_us / (double)TGW_US_PER_S);
	add_gauge(text, "reads_waiting", edge->turns.waiting);
	add_gauge(text, "link_percent", link_load_percent(&edge->link_load));
	add_gauge(text, "overloaded", edge->load.overloaded);
	add_gauge(text, "own_delay", edge->own_delay.active);
	add_gauge(text, "servers", (double)edge->backends.count);
	add_gauge(text, "config_version", set ? (double)set->version : 0);
	add_gauge(text, "config_members_not_as_written",
		  set ? (double)set->remarks.count : 0);
	add_gauge(text, "config_refused", edge->config_refusal != NULL);
	add_counter(text, "configs_refused_total", counters->configs_refused);
	add_gauge(text, "ready", ready);
	/* store_away is 1 while the store is unreachable, and whole_answer is
	 * the total latency: metrics keep their names. */
	add_gauge(
		text, "store_away",
		backend_follower_store_is_unreachable(edge->backend_follower));
	add_histogram(text, "first_byte", &edge->first_byte_latency);
	add_histogram(text, "whole_answer", &edge->total_latency);
}
