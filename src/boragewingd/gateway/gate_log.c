#include "gate_log.h"

#include <string.h>

#include "bwproxy/target.h"
#include "gate_refusal.h"
#include "platform.h"

static const char *no_route_cause_(const struct bw_routing *routing,
				   const struct bw_http_target *asked,
				   const struct bw_confirmation *confirmation);

void gate_log_queued(const struct gate_request *request)
{
	const struct bw_job *job = &request->job;

	bw_log_event(request->entry->node->log, BW_LOG_INFO, "request",
		     "queued", "{s:s,s:s,s:i,s:i}", "request", request->id,
		     "service", job->service->name, "waiting",
		     (int)job->service->waiting.length, "rank", (int)job->rank);
}

int64_t gate_report_age_ms(const struct bw_target *target, struct bw_time now)
{
	if (!target->reported_at.ms)
		return -1;
	return bw_time_diff_ms(now, target->reported_at);
}

void gate_log_sent(const struct gate_request *request, struct bw_time now)
{
	const struct bw_job *job = &request->job;

	bw_log_event(request->entry->node->log, BW_LOG_INFO, "request", "sent",
		     "{s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:b,s:i,s:f,s:I,s:I}",
		     "request", request->id, "service", job->service->name,
		     "server", job->target->id, "distance",
		     bw_distance_string[job->target->distance], "attempt",
		     (int)request->attempts, "expected_ms", job->expected_ms,
		     "expected_wait_ms", job->expected_wait_ms, "time_factor",
		     bw_speed_factor(&job->target->speed, now), "warm",
		     job->warm, "in_flight", (int)job->target->in_flight,
		     "others", job->target->other_requests, "report_age_ms",
		     (json_int_t)gate_report_age_ms(job->target, now),
		     "version", (json_int_t)request->routing->version);
}

void gate_log_retried(const struct gate_request *request, const char *cause)
{
	const struct gate_entry *entry = request->entry;

	bw_log_event(entry->node->log, BW_LOG_INFO, "request", "retried",
		     "{s:s,s:s,s:i,s:f}", "request", request->id, "cause",
		     cause, "attempts", (int)request->attempts, "budget",
		     entry->retry_tokens);
}

void gate_log_end(const struct gate_request *request, enum gate_outcome outcome,
		  uint16_t status_code, const char *cause, uint64_t took_us)
{
	const struct gate_attempt *last = &request->last_attempt;
	bool succeeded = outcome == GATE_OUTCOME_ANSWERED && status_code < 500;

	bw_log_event(request->entry->node->log,
		     succeeded ? BW_LOG_INFO : BW_LOG_WARNING, "request",
		     gate_outcome_string[outcome],
		     "{s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:i,s:I,s:s,s:s,s:b,s:b,s:i,"
		     "s:f,s:f,s:I,s:i,s:i,s:i,s:I,s:s,s:i,s:f}",
		     "request", request->id, "route", request->route->name,
		     "service", request->job.service->name, "status",
		     (int)status_code, "cause", cause, "attempts",
		     (int)request->attempts, "took_ms",
		     (json_int_t)(took_us / 1000), "queue_ms",
		     (int)request->queue_ms, "version",
		     (json_int_t)request->routing->version, "server",
		     last->server, "distance",
		     bw_distance_string[last->distance], "home", last->home,
		     "warm", last->warm, "upstream_ms", (int)last->took_ms,
		     "expected_ms", last->expected_ms, "others",
		     last->other_host_requests, "report_age_ms",
		     (json_int_t)last->report_age_ms, "running",
		     (int)last->load.running, "server_waiting",
		     (int)last->load.waiting, "time_percent",
		     (int)last->load.time_percent, "object",
		     (json_int_t)(request->job.object >> 40), "customer",
		     request->customer ? request->customer->name : "", "rank",
		     (int)request->job.rank, "share_level",
		     request->job.share.level);
}

void gate_log_ejection(const struct gate_request *request, uint64_t id_hash,
		       struct bw_time now)
{
	struct gate_entry *entry = request->entry;
	const struct bw_target *target =
		g_hash_table_lookup(entry->dispatch.targets, &id_hash);

	if (!target || target->failed_at.ms != now.ms ||
	    bw_time_reached(now, target->ejected_until))
		return;
	bw_log_event(entry->node->log, BW_LOG_WARNING, "registry",
		     "server_avoided", "{s:s,s:s,s:f,s:i,s:I}", "server",
		     target->id, "request", request->id, "failures",
		     target->failure_rate, "failures_in_row",
		     (int)target->consecutive_failures, "for_ms",
		     (json_int_t)bw_time_diff_ms(target->ejected_until, now));
}

void gate_log_no_route(const struct gate_entry *entry,
		       const struct bw_http_message *message,
		       uint16_t status_code,
		       const struct bw_confirmation *confirmation)
{
	struct gate_node *node = entry->node;
	const struct bw_routing *routing = entry->routing;
	struct bw_time now = gate_node_now(node);
	char id[GATE_REFUSAL_TEXT_BYTES];
	char host[GATE_REFUSAL_TEXT_BYTES] = "";
	char target[GATE_REFUSAL_TEXT_BYTES];
	struct bw_http_target asked;

	gate_refusal_copy_field(id, message, PLATFORM_FIELD_REQUEST_ID);
	bw_http_target_read(message, &asked);
	if (asked.host)
		gate_refusal_copy(host, asked.host, asked.host_bytes);
	gate_refusal_copy(target, bw_http_text(message, message->target),
			  message->target.size_bytes);
	bw_log_event(
		node->log, BW_LOG_WARNING, "request", "no_route",
		"{s:s,s:i,s:s,s:s,s:s,s:I,s:i,s:I,s:I,s:I,s:s,s:I,s:i,s:i}",
		"request", id, "status", (int)status_code, "cause",
		no_route_cause_(routing, &asked, confirmation), "asked_host",
		host, "target", target, "version",
		(json_int_t)(routing ? routing->version : 0), "routes",
		routing ? (int)routing->route_count : 0, "version_age_ms",
		routing ? (json_int_t)bw_time_diff_ms(now, entry->routing_since)
			: (json_int_t)0,
		"newest_version", (json_int_t)entry->newest_version,
		"behind_ms", (json_int_t)gate_entry_behind_ms(entry, now),
		"feed", entry->feed.source, "feed_silent_ms",
		entry->feed_received_at.ms
			? (json_int_t)bw_time_diff_ms(now,
						      entry->feed_received_at)
			: (json_int_t)-1,
		"confirmed_by", (int)confirmation->confirmed_by, "controls",
		(int)confirmation->controls);
}

static const char *no_route_cause_(const struct bw_routing *routing,
				   const struct bw_http_target *asked,
				   const struct bw_confirmation *confirmation)
{
	if (!routing)
		return "no_configuration";
	if (!confirmation->confirmed)
		return "unconfirmed";
	if (!asked->host)
		return "host_missing";
	return bw_routing_has_host(routing, asked->host, asked->host_bytes)
		       ? "path_unknown"
		       : "host_unknown";
}
