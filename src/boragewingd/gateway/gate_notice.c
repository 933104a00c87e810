#include "gate_notice.h"

#include <string.h>

#include "platform.h"

/** Stands for a limit of 0, which is not the same as none. */
#define LIMIT_LEAST_PER_S 0.001

/** Time between two lines about the unreadable speed of one server. */
#define UNREADABLE_LOG_INTERVAL_MS 60000

static void read_limit_(struct gate_request *request,
			const struct bw_http_message *response,
			struct bw_time now);
static void read_leaving_(struct gate_request *request,
			  const struct bw_http_message *response);
static void read_pause_(struct gate_request *request,
			const struct bw_http_message *response,
			struct bw_time now);

void gate_notice_init(struct gate_entry *entry)
{
	entry->pauses = bw_metrics_get(
		&entry->node->metrics, BW_METRIC_COUNTER,
		"bw_server_pauses_total",
		"Times that a backend server asked for no requests", "");
	entry->notices_invalid = bw_metrics_get(
		&entry->node->metrics, BW_METRIC_COUNTER,
		"bw_server_notices_invalid_total",
		"Header fields of backend servers that can't be read", "");
	entry->speeds_unreadable = bw_metrics_get(
		&entry->node->metrics, BW_METRIC_COUNTER,
		"bw_server_speeds_unreadable_total",
		"Speeds told by backend servers that can't be read", "");
	entry->limits_changed = bw_metrics_get(
		&entry->node->metrics, BW_METRIC_COUNTER,
		"bw_server_limits_changed_total",
		"Limits of backend servers that were named, changed or lifted",
		"");
}

void gate_notice_unreadable_speed(struct gate_request *request,
				  struct bw_time now)
{
	struct gate_entry *entry = request->entry;
	struct bw_target *target = request->job.target;

	bw_metric_add(entry->speeds_unreadable, 1);
	if (target->unreadable_logged_at.ms &&
	    bw_time_diff_ms(now, target->unreadable_logged_at) <
		    UNREADABLE_LOG_INTERVAL_MS)
		return;
	target->unreadable_logged_at = now;
	bw_log_event(entry->node->log, BW_LOG_WARNING, "registry",
		     "server_speed_unreadable", "{s:s,s:s,s:s}", "server",
		     target->id, "service", target->service->name, "request",
		     request->id);
}

void gate_notice_read(struct gate_request *request,
		      const struct bw_http_message *response,
		      struct bw_time now)
{
	/* Another server has the address. */
	if (response->status_code == 421)
		return;
	read_limit_(request, response, now);
	read_leaving_(request, response);
	if (response->status_code == 503)
		read_pause_(request, response, now);
}

static void read_limit_(struct gate_request *request,
			const struct bw_http_message *response,
			struct bw_time now)
{
	struct gate_entry *entry = request->entry;
	struct bw_target *target = request->job.target;
	double limit_per_s = 0.0;
	char text[64];

	if (bw_http_find(response, PLATFORM_FIELD_LIMIT, text, sizeof(text))) {
		if (!platform_limit_read(text, &limit_per_s)) {
			bw_metric_add(entry->notices_invalid, 1);
			return;
		}
		limit_per_s = MAX(limit_per_s, LIMIT_LEAST_PER_S);
	}
	if (!bw_dispatch_note_limit(&entry->dispatch, target, limit_per_s, now))
		return;
	bw_metric_add(entry->limits_changed, 1);
	bw_log_event(entry->node->log, BW_LOG_INFO, "registry",
		     "server_limit_changed", "{s:s,s:s,s:s,s:f,s:f}", "server",
		     target->id, "service", target->service->name, "request",
		     request->id, "limit_per_s", limit_per_s, "share_per_s",
		     bw_server_limit_rate_per_s(&target->limit));
}

static void read_leaving_(struct gate_request *request,
			  const struct bw_http_message *response)
{
	struct gate_entry *entry = request->entry;
	struct bw_target *target = request->job.target;
	char text[8];

	if (!bw_http_find(response, PLATFORM_FIELD_LEAVING, text, sizeof(text)))
		return;
	if (!strcmp(text, "0"))
		return;
	/* An unknown value is taken for a leave, which is the safe meaning. */
	if (strcmp(text, "1") != 0)
		bw_metric_add(entry->notices_invalid, 1);
	if (!bw_dispatch_note_leaving(target))
		return;
	bw_log_event(entry->node->log, BW_LOG_INFO, "registry",
		     "server_leaving", "{s:s,s:s,s:s}", "server", target->id,
		     "service", target->service->name, "request", request->id);
}

static void read_pause_(struct gate_request *request,
			const struct bw_http_message *response,
			struct bw_time now)
{
	struct gate_entry *entry = request->entry;
	struct bw_target *target = request->job.target;
	int64_t pause_ms;
	char text[64];

	if (!bw_http_find(response, PLATFORM_FIELD_RETRY_AFTER, text,
			  sizeof(text)))
		return;
	if (!platform_pause_read(text, &pause_ms)) {
		bw_metric_add(entry->notices_invalid, 1);
		return;
	}
	bw_dispatch_note_pause(&entry->dispatch, target, pause_ms, now);
	bw_metric_add(entry->pauses, 1);
	bw_log_event(entry->node->log, BW_LOG_INFO, "registry", "server_paused",
		     "{s:s,s:s,s:s,s:I}", "server", target->id, "service",
		     target->service->name, "request", request->id, "pause_ms",
		     (json_int_t)pause_ms);
}
