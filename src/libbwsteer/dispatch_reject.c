/*
 * Whether a job has to be rejected, the reason, and when its client may return.
 */
#include "private/dispatch.h"

/** Maximum retry delay sent with a rejection. */
#define RETRY_AFTER_MAX_MS 2000

/** Minimum retry delay sent with a rejection. */
#define RETRY_AFTER_MIN_MS 100

/**
 * Factor on the response time that has to be left when a host stops. A request
 * that is cut off may not be repeated; one that is rejected may.
 */
#define STOP_MARGIN_FACTOR 1.25

static double longest_response_ms_(const struct bw_dispatch_service *service);

const char *const bw_reject_string[BW_REJECT_COUNT] = {
	[BW_REJECT_NONE] = "none",
	[BW_REJECT_NO_SERVER] = "no_server",
	[BW_REJECT_OVERLOAD] = "overload",
	[BW_REJECT_DEADLINE] = "deadline",
	[BW_REJECT_CRASHES] = "crashes_servers",
	[BW_REJECT_PAUSED] = "servers_paused",
	[BW_REJECT_LEAVING] = "servers_leaving",
	[BW_REJECT_LIMITED] = "servers_at_limit",
	[BW_REJECT_BEHIND] = "configuration_behind",
	[BW_REJECT_NO_ROUTE] = "route_removed",
	[BW_REJECT_NO_KEY] = "key_withdrawn",
	[BW_REJECT_STOPPING] = "host_stopping",
	[BW_REJECT_SHARE] = "customer_share",
};

void dispatch_reject(struct bw_dispatch *dispatch, enum bw_reject reason,
		     double wait_ms, struct bw_rejection *rejection)
{
	/* Random jitter keeps the retries from arriving as a new burst. */
	double jitter = 0.5 + bw_random_unit(&dispatch->random);

	rejection->reason = reason;
	rejection->retry_after_ms = (uint32_t)CLAMP(
		wait_ms * jitter, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

double dispatch_left_ms(const struct bw_dispatch *dispatch,
			const struct bw_job *job, struct bw_time now)
{
	return (double)bw_time_diff_ms(dispatch_stop_is_first(dispatch, job)
					       ? dispatch->stops_at
					       : job->deadline,
				       now);
}

bool dispatch_stop_is_first(const struct bw_dispatch *dispatch,
			    const struct bw_job *job)
{
	return dispatch->stops_at.ms &&
	       bw_time_diff_ms(job->deadline, dispatch->stops_at) > 0;
}

bool dispatch_stop_is_near(const struct bw_dispatch *dispatch,
			   const struct bw_job *job, struct bw_time now)
{
	if (!dispatch_stop_is_first(dispatch, job))
		return false;
	return bw_time_reached(now, dispatch->clients_gone_at) ||
	       dispatch_left_ms(dispatch, job, now) <=
		       STOP_MARGIN_FACTOR * longest_response_ms_(job->service);
}

bool dispatch_has_server(const struct bw_job *job)
{
	const GPtrArray *targets = job->service->targets;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		if (dispatch_is_allowed(job, targets->pdata[i]))
			return true;
	}
	return false;
}

enum bw_reject dispatch_no_server_reason(const struct bw_job *job)
{
	const GPtrArray *targets = job->service->targets;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		const struct bw_target *target = targets->pdata[i];

		if (target->notice.leaving && dispatch_may_run(job, target))
			return BW_REJECT_LEAVING;
	}
	return BW_REJECT_NO_SERVER;
}

enum bw_reject dispatch_overload_reason(const struct bw_job *job,
					struct bw_time now)
{
	const GPtrArray *targets = job->service->targets;
	enum bw_reject reason = BW_REJECT_OVERLOAD;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		struct bw_target *target = targets->pdata[i];

		if (!dispatch_is_allowed(job, target))
			continue;
		if (bw_server_limit_allows(&target->limit, now))
			return BW_REJECT_OVERLOAD;
		reason = BW_REJECT_LIMITED;
	}
	return reason;
}

bool dispatch_is_paused(const struct bw_job *job, struct bw_time now,
			struct bw_rejection *rejection)
{
	const GPtrArray *targets = job->service->targets;
	int64_t first_ms = INT64_MAX;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		const struct bw_target *target = targets->pdata[i];

		if (!dispatch_is_allowed(job, target))
			continue;
		first_ms = MIN(first_ms, target->notice.paused_until.ms);
		if (first_ms < job->deadline.ms)
			return false;
	}
	rejection->reason = BW_REJECT_PAUSED;
	rejection->retry_after_ms = (uint32_t)(first_ms - now.ms);
	return true;
}

/* Returns the longest of the smoothed response times; 0 if none is known. */
static double longest_response_ms_(const struct bw_dispatch_service *service)
{
	double longest_ms = service->service_time_ms;
	int i;

	for (i = 0; i < BW_DISTANCE_COUNT; i++) {
		longest_ms = MAX(longest_ms, service->times[i].warm_ms);
		longest_ms = MAX(longest_ms, service->times[i].cold_ms);
	}
	return longest_ms;
}
