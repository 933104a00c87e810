#include "lifecycle.h"

#include <stdio.h>

#include "calls.h"
#include "directory.h"

#define CHART_PATH_BYTES 512

/** Least time that a leaving host serves callers with cached look-ups. */
#define LEAVE_SERVE_MIN_MS 1000

static const char *const event_string_[HOST_EVENT_COUNT] = {
	[HOST_EVENT_LEAVE] = "leave",
	[HOST_EVENT_HANDED_OVER] = "handed_over",
	[HOST_EVENT_IDLE] = "idle",
	[HOST_EVENT_FORCE] = "force",
};

/** Actions of the host's chart. */
enum host_action {
	HOST_ACTION_ANNOUNCE,
	HOST_ACTION_CLOSE,
	HOST_ACTION_STOP,
	HOST_ACTION_COUNT
};

static const char *const action_string_[HOST_ACTION_COUNT] = {
	[HOST_ACTION_ANNOUNCE] = "announce",
	[HOST_ACTION_CLOSE] = "close",
	[HOST_ACTION_STOP] = "stop",
};

const char *const host_state_string[HOST_STATE_COUNT] = {
	[HOST_RUNNING] = "running",
	[HOST_LEAVING] = "leaving",
	[HOST_STOPPING] = "stopping",
	[HOST_STOPPED] = "stopped",
};

static const struct bw_chart_names chart_names_ = {
	host_state_string, HOST_STATE_COUNT, event_string_,
	HOST_EVENT_COUNT,  action_string_,   HOST_ACTION_COUNT
};

static void announce_leave_(struct host *host);
static void set_successor_(struct host *host);
static void stop_host_(struct host *host);

enum bw_status lifecycle_init(struct host *host, struct bw_yaml_error *error)
{
	char path[CHART_PATH_BYTES];

	host->state = HOST_RUNNING;
	host->state_since = host->start;
	snprintf(path, sizeof(path), "%s/host.yaml",
		 host->settings->charts_folder);
	return bw_chart_load(&host->chart, path, &chart_names_, error);
}

void lifecycle_fire(struct host *host, enum host_event event)
{
	struct bw_chart_step step;

	if (bw_chart_next(&host->chart, host->state, (uint8_t)event, &step) !=
	    BW_OK)
		return;
	bw_log_event(host->log, BW_LOG_INFO, "host", "state_changed",
		     "{s:s, s:s}", "from", host_state_string[host->state], "to",
		     host_state_string[step.state]);
	host->state = step.state;
	host->state_since = host_now(host);
	switch (step.action) {
	case HOST_ACTION_ANNOUNCE:
		announce_leave_(host);
		break;
	case HOST_ACTION_CLOSE:
		bw_frontend_stop(host->frontend);
		break;
	case HOST_ACTION_STOP:
		stop_host_(host);
		break;
	default:
		break;
	}
}

static void announce_leave_(struct host *host)
{
	bw_member_leave(&host->member, host->state_since);
	set_successor_(host);
}

/*
 * Sets the successor that takes over the request keys. It is chosen again on
 * each call during the handover because it may leave or fail as well: when all
 * hosts of a region leave at once, the last one has no successor.
 */
static void set_successor_(struct host *host)
{
	const struct directory_host *successor =
		directory_choose_backup(&host->directory);

	if (bw_keys_is_handed_over(&host->steering.keys))
		return;
	if (successor)
		bw_keys_seal(&host->steering.keys, successor->name,
			     successor->incarnation);
	else
		bw_keys_seal(&host->steering.keys, "", 0);
}

static void stop_host_(struct host *host)
{
	bw_member_leave_end(&host->member, host_now(host), &host->out);
	transport_flush(&host->transport, &host->out);
	ev_break(host->loop, EVBREAK_ALL);
}

/*
 * A leaving host serves until the look-up responses that list it have expired,
 * and until its request records are handed over or no host can accept them.
 */
void lifecycle_tick(struct host *host, struct bw_time now)
{
	const struct bw_sheet *sheet = host->steering.sheet;
	int64_t elapsed_ms = bw_time_diff_ms(now, host->state_since);
	int64_t min_serve_ms = LEAVE_SERVE_MIN_MS;

	if (host->state == HOST_RUNNING || host->state == HOST_STOPPED)
		return;
	if (elapsed_ms > (int64_t)host->settings->limits.drain_s * 1000) {
		bw_log_event(host->log, BW_LOG_WARNING, "host", "drain_timeout",
			     "{s:i}", "active_requests",
			     (int)calls_active(host->calls));
		lifecycle_fire(host, HOST_EVENT_FORCE);
		return;
	}
	if (host->state == HOST_LEAVING)
		set_successor_(host);
	if (sheet)
		min_serve_ms += (int64_t)sheet->shift.answer_ttl_s * 1000;
	if (host->state == HOST_LEAVING && elapsed_ms >= min_serve_ms &&
	    (bw_keys_is_handed_over(&host->steering.keys) ||
	     !directory_choose_backup(&host->directory)))
		lifecycle_fire(host, HOST_EVENT_HANDED_OVER);
}
