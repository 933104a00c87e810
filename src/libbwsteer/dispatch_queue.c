/*
 * Jobs that wait: their order, who of them has no chance any more, and which is
 * next.
 */
#include "private/dispatch.h"

/**
 * Factor on the expected response time that allows for its variation when a job
 * is checked against its objective.
 */
#define ON_TIME_FACTOR 1.2

/** Interval between checks whether waiting jobs can meet their deadlines. */
#define WAIT_CHECK_INTERVAL_MS 50

/**
 * Load of the servers of a service below which they have room to spare; jobs of
 * customers beyond their share then need not give way to those of other hosts.
 */
#define SPARE_LOAD 0.75

/** Age at which the load of a server is no longer counted for this. */
#define SPARE_REPORT_AGE_MS 2000

static bool goes_before_(const struct bw_job *a, const struct bw_job *b);
static bool is_beyond_share_(struct bw_dispatch *dispatch,
			     const struct bw_job *job, struct bw_time now);
static uint32_t count_ahead_at_home_(const struct bw_job *job);
static double wait_behind_ms_(const struct bw_job *job, uint32_t ahead);
static double service_wait_ms_(const struct bw_dispatch_service *service,
			       uint32_t ahead);
static void check_waits_(const struct bw_dispatch *dispatch,
			 struct bw_dispatch_service *service,
			 struct bw_time now);
static void check_waits_of_(const struct bw_dispatch *dispatch,
			    struct bw_dispatch_service *service, bool on_time,
			    struct bw_time now);
static bool can_be_on_time_(const struct bw_dispatch *dispatch,
			    const struct bw_job *job, struct bw_time now);
static struct bw_job *next_placeable_(struct bw_dispatch *dispatch,
				      struct bw_dispatch_service *service,
				      bool on_time, struct bw_time now);
static bool has_room_to_spare_(const struct bw_dispatch_service *service,
			       struct bw_time now);

void dispatch_enqueue(struct bw_dispatch *dispatch, struct bw_job *job)
{
	GQueue *waiting = &job->service->waiting;
	GList *item = waiting->tail;

	while (item && goes_before_(job, item->data))
		item = item->prev;
	g_queue_insert_after(waiting, item, job);
	job->queued = true;
	bw_fair_share_wait(&dispatch->shares, &job->share);
	if (job->home) {
		job->home->waiting++;
		job->home->references++;
	}
}

void dispatch_reject_late(struct bw_dispatch *dispatch,
			  const struct bw_job *job, double wait_ms,
			  struct bw_time now, struct bw_rejection *rejection)
{
	if (dispatch_stop_is_first(dispatch, job))
		dispatch_reject(dispatch, BW_REJECT_STOPPING, 0.0, rejection);
	else if (is_beyond_share_(dispatch, job, now))
		dispatch_reject(dispatch, BW_REJECT_SHARE,
				MAX(wait_ms,
				    bw_fair_share_return_ms(&job->share)),
				rejection);
	else
		dispatch_reject(dispatch, dispatch_overload_reason(job, now),
				wait_ms, rejection);
}

double dispatch_least_response_ms(const struct bw_dispatch *dispatch,
				  const struct bw_job *job)
{
	double run_ms = dispatch_run_ms(dispatch, job);

	return run_ms > 0.0 ? run_ms
			    : dispatch_service_response_ms(job->service);
}

double dispatch_job_wait_ms(const struct bw_job *job)
{
	if (job->home)
		return dispatch_wait_ms(job->home,
					count_ahead_at_home_(job) + 1);
	return wait_behind_ms_(job, dispatch_count_ahead(job) + 1);
}

uint32_t dispatch_count_ahead(const struct bw_job *job)
{
	const GList *item;
	uint32_t count = 0;

	for (item = job->service->waiting.head; item; item = item->next) {
		const struct bw_job *other = item->data;

		if (goes_before_(other, job) && other->home == job->home)
			count++;
	}
	return count;
}

struct bw_job *dispatch_next_of_service(struct bw_dispatch *dispatch,
					struct bw_dispatch_service *service,
					struct bw_time now,
					enum bw_verdict *verdict,
					struct bw_rejection *rejection)
{
	struct bw_job *job;
	bool expired;
	GList *item;

	check_waits_(dispatch, service, now);
	for (item = service->waiting.head; item; item = item->next) {
		job = item->data;
		expired = dispatch_left_ms(dispatch, job, now) <=
				  dispatch_least_response_ms(dispatch, job) ||
			  dispatch_stop_is_near(dispatch, job, now);
		if (!expired && !job->misses_deadline)
			continue;
		bw_dispatch_remove(dispatch, job);
		if (expired && !dispatch_stop_is_first(dispatch, job))
			dispatch_reject(dispatch, BW_REJECT_DEADLINE,
					dispatch_job_wait_ms(job), rejection);
		else
			dispatch_reject_late(dispatch, job,
					     dispatch_job_wait_ms(job), now,
					     rejection);
		*verdict = BW_VERDICT_REJECT;
		return job;
	}
	job = next_placeable_(dispatch, service, true, now);
	if (!job)
		job = next_placeable_(dispatch, service, false, now);
	if (job) {
		bw_dispatch_remove(dispatch, job);
		*verdict = BW_VERDICT_SEND;
	}
	return job;
}

bool dispatch_gives_way(struct bw_dispatch *dispatch, const struct bw_job *job,
			struct bw_time now)
{
	return bw_fair_share_gives_way(&dispatch->shares, &job->share, now) &&
	       !has_room_to_spare_(job->service, now);
}

static bool goes_before_(const struct bw_job *a, const struct bw_job *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	/* The arrival, if no job has a customer. */
	if (a->share.order_ms != b->share.order_ms)
		return a->share.order_ms < b->share.order_ms;
	return a->arrived.ms < b->arrived.ms;
}

static bool is_beyond_share_(struct bw_dispatch *dispatch,
			     const struct bw_job *job, struct bw_time now)
{
	return bw_fair_share_is_beyond(&job->share) &&
	       bw_fair_shares_active(&dispatch->shares, now);
}

/*
 * A job of a customer below its share is not rejected because of jobs that go
 * behind it.
 */
static uint32_t count_ahead_at_home_(const struct bw_job *job)
{
	return job->share.counted ? dispatch_count_ahead(job)
				  : job->home->waiting;
}

/* Returns the expected wait of a job that prefers no server. */
static double wait_behind_ms_(const struct bw_job *job, uint32_t ahead)
{
	return MAX(service_wait_ms_(job->service, ahead),
		   dispatch_limits_wait_ms(job, ahead));
}

/*
 * No wait is assumed before the first completions, so that the queue can build
 * up.
 */
static double service_wait_ms_(const struct bw_dispatch_service *service,
			       uint32_t ahead)
{
	if (service->completions_per_s < 1.0)
		return 0.0;
	return 1000.0 * ahead / service->completions_per_s;
}

/*
 * Marks the jobs that the current load keeps from running before their
 * deadline. Such jobs exist because the load of other hosts becomes known late,
 * and because more urgent requests that arrive later go first.
 */
static void check_waits_(const struct bw_dispatch *dispatch,
			 struct bw_dispatch_service *service,
			 struct bw_time now)
{
	GList *item;

	if (!bw_time_reached(now, service->next_wait_check))
		return;
	service->next_wait_check = bw_time_add(now, WAIT_CHECK_INTERVAL_MS);
	service->wait_check_count = 0;
	for (item = service->waiting.head; item; item = item->next) {
		struct bw_job *job = item->data;

		if (job->home)
			job->home->wait_check_count = 0;
	}
	/* Late jobs run after all jobs that can still meet their objective. */
	check_waits_of_(dispatch, service, true, now);
	check_waits_of_(dispatch, service, false, now);
}

static void check_waits_of_(const struct bw_dispatch *dispatch,
			    struct bw_dispatch_service *service, bool on_time,
			    struct bw_time now)
{
	double left_ms;
	double wait_ms;
	GList *item;

	for (item = service->waiting.head; item; item = item->next) {
		struct bw_job *job = item->data;

		if (can_be_on_time_(dispatch, job, now) != on_time)
			continue;
		left_ms = dispatch_left_ms(dispatch, job, now) -
			  dispatch_least_response_ms(dispatch, job);
		wait_ms = job->home ? dispatch_wait_ms(
					      job->home,
					      ++job->home->wait_check_count)
				    : wait_behind_ms_(
					      job, ++service->wait_check_count);
		job->misses_deadline = wait_ms > left_ms;
	}
}

static bool can_be_on_time_(const struct bw_dispatch *dispatch,
			    const struct bw_job *job, struct bw_time now)
{
	double run_ms = dispatch_run_ms(dispatch, job);

	if (run_ms <= 0.0)
		run_ms = dispatch_job_response_ms(job);
	return bw_time_diff_ms(job->objective, now) > ON_TIME_FACTOR * run_ms;
}

static struct bw_job *next_placeable_(struct bw_dispatch *dispatch,
				      struct bw_dispatch_service *service,
				      bool on_time, struct bw_time now)
{
	GList *item;

	if (!dispatch_has_free_slot(service, now))
		return NULL;
	for (item = service->waiting.head; item; item = item->next) {
		struct bw_job *job = item->data;

		if (can_be_on_time_(dispatch, job, now) == on_time &&
		    !dispatch_gives_way(dispatch, job, now) &&
		    dispatch_place(dispatch, job, now))
			return job;
	}
	return NULL;
}

static bool has_room_to_spare_(const struct bw_dispatch_service *service,
			       struct bw_time now)
{
	double requests = 0.0;
	double slots = 0.0;
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (!target->accepts ||
		    bw_time_diff_ms(now, target->reported_at) >
			    SPARE_REPORT_AGE_MS)
			continue;
		requests += target->in_flight + target->other_requests;
		slots += target->slots;
	}
	return requests <= SPARE_LOAD * slots;
}
