#include "daemon/gateway_metrics.h"

#include <inttypes.h>

#include "tamarackgw/clock.h"

/* These tables hold the exported label values. The values must not change, so
 * some differ from the names of their enumerators. */

static const char *const kind_names[CALL_KIND_COUNT] = {
	[CALL_MODEL] = "model", [CALL_SERVICE] = "service"};

static const char *const outcome_names[CALL_OUTCOME_COUNT] = {
	[CALL_ANSWERED] = "answered",
	[CALL_REFUSED] = "refused",
	[CALL_BROKEN] = "broken",
	[CALL_ABANDONED] = "caller_gone",
};

static const char *const basis_names[] = {
	[TGW_SETTLE_USAGE] = "usage",
	[TGW_SETTLE_BOUND] = "bound",
	[TGW_SETTLE_NOT_RUN] = "not_run",
	[TGW_SETTLE_PARTIAL] = "part",
};

/* Upper bounds of the buckets of first_token_seconds. */
static const int64_t bucket_ms[FIRST_TOKEN_BUCKETS] = {
	5, 10, 20, 50, 100, 200, 370, 500, 1000, 2000, 5000, 10000};

static uint64_t value_of(const _Atomic uint64_t *counter)
{
	return atomic_load_explicit((_Atomic uint64_t *)counter,
				    memory_order_relaxed);
}

void gateway_metrics_add_first_token(struct gateway_metrics *metrics,
				     int64_t latency_us)
{
	size_t bucket = 0;

	while (bucket < FIRST_TOKEN_BUCKETS &&
	       latency_us > bucket_ms[bucket] * TGW_US_PER_MS)
		bucket++;
	metrics_add(&metrics->first_token[bucket], 1);
	metrics_add(&metrics->first_token_sum_us, (uint64_t)latency_us);
}

static void write_type(struct buffer *text, const char *name, const char *type)
{
	buffer_add_format(text, "# TYPE tamarackgw_%s %s\n", name, type);
}

static void write_counter(struct buffer *text, const char *name,
			  const _Atomic uint64_t *counter)
{
	write_type(text, name, "counter");
	buffer_add_format(text, "tamarackgw_%s %" PRIu64 "\n", name,
			  value_of(counter));
}

static void write_labelled(struct buffer *text, const char *name,
			   const char *label, const char *value,
			   const _Atomic uint64_t *counter)
{
	buffer_add_format(text, "tamarackgw_%s{%s=\"%s\"} %" PRIu64 "\n", name,
			  label, value, value_of(counter));
}

static void write_calls(const struct gateway_metrics *metrics,
			struct buffer *text)
{
	write_type(text, "calls_total", "counter");
	for (size_t k = 0; k < CALL_KIND_COUNT; k++)
		for (size_t o = 0; o < CALL_OUTCOME_COUNT; o++)
			buffer_add_format(text,
					  "tamarackgw_calls_total{kind=\"%s\","
					  "outcome=\"%s\"} %" PRIu64 "\n",
					  kind_names[k], outcome_names[o],
					  value_of(&metrics->calls[k][o]));
	write_type(text, "problems_total", "counter");
	for (int p = 0; p < PROBLEM_KIND_COUNT; p++)
		write_labelled(text, "problems_total", "kind",
			       problem_name((enum problem_kind)p),
			       &metrics->problems[p]);
}

static void write_streams(const struct gateway_metrics *metrics,
			  struct buffer *text)
{
	write_type(text, "stream_events_total", "counter");
	for (int v = 0; v < STREAM_VERDICT_COUNT; v++)
		write_labelled(text, "stream_events_total", "verdict",
			       stream_verdict_name((enum stream_verdict)v),
			       &metrics->verdicts[v]);
	write_type(text, "settled_total", "counter");
	for (int b = TGW_SETTLE_USAGE; b <= TGW_SETTLE_PARTIAL; b++)
		write_labelled(text, "settled_total", "basis", basis_names[b],
			       &metrics->settled[b]);
}

static void write_first_token(const struct gateway_metrics *metrics,
			      struct buffer *text)
{
	uint64_t count = 0;

	write_type(text, "first_token_seconds", "histogram");
	for (size_t b = 0; b < FIRST_TOKEN_BUCKETS; b++) {
		count += value_of(&metrics->first_token[b]);
		buffer_add_format(text,
				  "tamarackgw_first_token_seconds_bucket{le="
				  "\"%g\"} %" PRIu64 "\n",
				  (double)bucket_ms[b] / 1000, count);
	}
	count += value_of(&metrics->first_token[FIRST_TOKEN_BUCKETS]);
	buffer_add_format(text,
			  "tamarackgw_first_token_seconds_bucket{le=\"+Inf\"} "
			  "%" PRIu64 "\n"
			  "tamarackgw_first_token_seconds_sum %g\n"
			  "tamarackgw_first_token_seconds_count %" PRIu64 "\n",
			  count,
			  (double)value_of(&metrics->first_token_sum_us) /
				  (double)TGW_US_PER_S,
			  count);
}

void gateway_metrics_write(const struct gateway_metrics *metrics,
			   struct buffer *text)
{
	write_calls(metrics, text);
	write_streams(metrics, text);
	write_first_token(metrics, text);
	write_counter(text, "settled_tokens_total", &metrics->settled_tokens);
	write_counter(text, "streamed_tokens_total", &metrics->streamed_tokens);
	write_counter(text, "usage_over_bound_total",
		      &metrics->usage_over_bound);
	write_counter(text, "attempts_total", &metrics->attempts);
	write_counter(text, "cancelled_total", &metrics->cancelled);
	write_counter(text, "resumed_total", &metrics->resumed);
	write_counter(text, "restarted_total", &metrics->restarted);
	write_counter(text, "joined_total", &metrics->joined);
	write_counter(text, "replayed_total", &metrics->replayed);
	write_counter(text, "paused_total", &metrics->paused);
	write_counter(text, "memory_refused_total", &metrics->memory_refused);
}
