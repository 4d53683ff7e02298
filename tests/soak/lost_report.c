#include "soak/lost_report.h"

#include "soak/lost_config.h"
#include "soak/lost_sending.h"
#include "soak/soak_server.h"

/* Before this share of its time, a 502 or 504 is one that the caller of a
 * sound server need not have had. */
#define EARLY_TENTHS 7
#define TENTHS 10

static const char *const work_names[LOST_WORK_KINDS] = {
	[LOST_STOP] = "SIGTERM",
	[LOST_RELOAD] = "SIGHUP",
	[LOST_CHANGE] = "configuration",
};

static long long to_ms(int64_t us)
{
	return (long long)(us / SOAK_US_PER_MS);
}

int64_t lost_request_limit_us(int64_t begun_us)
{
	int64_t timeout_us = lost_config_timeout_us(begun_us);

	return timeout_us < LOST_DEADLINE_MS * SOAK_US_PER_MS
		       ? timeout_us
		       : LOST_DEADLINE_MS * SOAK_US_PER_MS;
}

bool lost_host_runs(const struct lost_host *host, unsigned int start)
{
	return host->host->pid && host->host->starts == start &&
	       !host->host->stop_us;
}

static void print_ending(const struct lost_host *host,
			 const struct lost_ending *ending, const char *what)
{
	const struct soak_request *request = ending->request;
	const struct lost_end *end = &ending->end;
	const struct lost_span *last =
		lost_judge_last(&host->judge, end->ended_us);

	soak_note(
		request->host->soak,
		"%s: r%u kind %d at %s process %u: age %lld ms, whole for "
		"%lld ms of %lld ms; status %d, %zu bytes; arrivals %u, last "
		"at %s %lld ms ago, sent %zu bytes%s, silence %s %u ms; "
		"connection open for %lld ms, %u served, idle before for "
		"%lld ms of %lld ms; last %s %lld ms ago, stops since %lld "
		"ms",
		what, request->number, request->kind, host->host->name,
		ending->host_start, to_ms(end->ended_us - end->begun_us),
		end->whole_us ? to_ms(end->ended_us - end->whole_us) : -1,
		to_ms(end->limit_us), ending->response->status,
		ending->response->body.size, request->arrivals,
		request->server ? request->server->id : "none",
		request->arrived_us ? to_ms(end->ended_us - request->arrived_us)
				    : -1,
		request->answer_sent, request->answered_us ? " (all)" : "",
		request->pause_point ? request->pause_point : "none",
		request->pause_ms, to_ms(end->ended_us - ending->opened_us),
		end->served_before, to_ms(ending->idle_us),
		to_ms(ending->idle_limit_us),
		last ? work_names[last->work] : "nothing",
		last ? to_ms(end->ended_us - last->at_us) : -1,
		host->host->stop_us ? to_ms(end->ended_us - host->host->stop_us)
				    : -1);
}

static void check_gateway_error(struct lost_host *host,
				const struct lost_ending *ending)
{
	const struct lost_end *end = &ending->end;

	if (ending->response->status < 500 || ending->response->status == 503 ||
	    (end->ended_us - end->begun_us) * TENTHS >=
		    end->limit_us * EARLY_TENTHS)
		return;
	if (lost_judge_outlasts_stop(&host->judge, end)) {
		print_ending(host, ending, "gateway error at a stop's end");
		return;
	}
	host->gateway_errors++;
	print_ending(host, ending, "gateway error");
	soak_broken(host->host->soak, "early-gateway-error",
		    "%s answered r%u with %d, though its servers are sound",
		    host->host->name, ending->request->number,
		    ending->response->status);
}

enum lost_verdict lost_report_end(struct lost_host *host,
				  const struct lost_ending *ending)
{
	struct soak *soak = host->host->soak;
	const struct lost_end *end = &ending->end;
	enum lost_verdict verdict;

	if (end->complete) {
		lost_judge_end(&host->judge, end);
		soak_checks_end(soak, ending->request, ending->response);
		check_gateway_error(host, ending);
		return LOST_ANSWERED;
	}
	soak->failed++;
	/* What this process sent or read late says nothing of the host. */
	if (!end->arrivals && soak->stalled_us >= end->begun_us)
		return LOST_UNREAD;
	verdict = lost_judge_end(&host->judge, end);
	if (verdict == LOST_UNREAD &&
	    lost_host_runs(host, ending->host_start)) {
		host->crossed++;
		print_ending(host, ending, "crossed");
	}
	if (!lost_verdict_is_cut(verdict))
		return verdict;
	print_ending(host, ending, "cut");
	soak_broken(soak, lost_verdict_name(verdict),
		    "%s ended r%u without a complete answer", host->host->name,
		    ending->request->number);
	return verdict;
}

void lost_report_early_close(struct lost_host *host, int64_t idle_us,
			     int64_t limit_us, bool announced)
{
	const struct lost_span *last =
		lost_judge_last(&host->judge, soak_now_us());

	host->closed_early++;
	soak_broken(host->host->soak, "closed-early",
		    "%s closed a kept connection after %lld ms of %lld ms%s; "
		    "last %s %lld ms ago",
		    host->host->name, to_ms(idle_us), to_ms(limit_us),
		    announced ? ", which it had announced" : "",
		    last ? work_names[last->work] : "nothing",
		    last ? to_ms(soak_now_us() - last->at_us) : -1);
}

void lost_report_host(struct lost_host *host)
{
	struct lost_judge *judge = &host->judge;
	struct soak *soak = host->host->soak;

	printf("%s: %u requests beside changes, %u elsewhere; %u waits to "
	       "near the idle limit, %u crossed, %u closed early, "
	       "%u early 502 or 504;",
	       host->host->name, judge->requests_beside_change,
	       judge->requests_elsewhere, host->long_waits, host->crossed,
	       host->closed_early, host->gateway_errors);
	for (int i = 0; i < LOST_VERDICTS; i++)
		printf(" %s %u", lost_verdict_name((enum lost_verdict)i),
		       judge->verdicts[i]);
	printf("\n");
	if (lost_judge_cuts_beside_changes(judge))
		soak_broken(soak, "lost-beside-changes",
			    "%s cut %u of %u requests beside changes, %u of %u "
			    "at other times",
			    host->host->name,
			    judge->verdicts[LOST_CUT_BESIDE_CHANGE],
			    judge->requests_beside_change,
			    judge->cuts_elsewhere, judge->requests_elsewhere);
	if (lost_judge_cuts_kept(judge))
		soak_broken(soak, "lost-on-kept-connections",
			    "%s closed %u kept connections whose request it "
			    "had passed on",
			    host->host->name, judge->kept_cuts);
}
