/*
 * Placement by the expected end of the work, for services whose servers say how
 * long work takes there at this moment. It answers a load in which servers turn
 * slow for spells of a few hundred milliseconds to seconds, a few runs take
 * many times as long as others, and runs at a server that has the object in
 * memory take a fraction of the time.
 */
#include <math.h>
#include <string.h>

#include "private/dispatch.h"

/**
 * Age assumed for a word that another host has read: it waits for the next
 * message of that host and of a control host.
 */
#define SHARED_AGE_MS 250

/** Time of work in percent that stands for the usual speed. */
#define USUAL_PERCENT 100

/** Outside these bounds other hosts are told of a server's speed. */
#define UNUSUAL_BELOW_PERCENT 90
#define UNUSUAL_ABOVE_PERCENT 110

/** Smoothing factor of the mean load of a service. */
#define LOAD_SMOOTHING 0.02

/** Age at which the load of a server has returned to the mean of its service.
 */
#define LOAD_DECAY_MS 700.0

/** Share of time that a run at a server takes beyond which it queued there. */
#define QUEUED_SHARE 0.2

/** Time for a request and its response on the network. */
static const double network_ms[BW_DISTANCE_COUNT] = {
	[BW_DISTANCE_DOMAIN] = 1.0,
	[BW_DISTANCE_REGION] = 5.0,
	[BW_DISTANCE_FAR] = 40.0,
};

/** One way to run a job. */
struct option {
	struct bw_target *target;
	enum bw_familiarity familiarity;
	double wait_ms; /* for a slot at the server */
	double end_ms; /* until the response */
	double cost_ms; /* the end, and the time that others wait for the slots
			   used beyond those of a run at the home */
};

static void weigh_(const struct bw_dispatch *dispatch, const struct bw_job *job,
		   struct bw_target *target, uint32_t position,
		   struct bw_time now, struct option *option);
static enum bw_familiarity familiarity_(const struct bw_dispatch *dispatch,
					const struct bw_job *job,
					const struct bw_target *target,
					uint32_t position, struct bw_time now);
static bool place_in_spare_(struct bw_dispatch *dispatch, struct bw_job *job,
			    const struct dispatch_candidates *found,
			    double left_ms, struct bw_time now);
static bool assign_(struct bw_dispatch *dispatch, struct bw_job *job,
		    const struct option *option, struct bw_time now);

bool dispatch_place_by_end(struct bw_dispatch *dispatch, struct bw_job *job,
			   struct bw_time now)
{
	double left_ms = dispatch_left_ms(dispatch, job, now);
	struct dispatch_candidates found;
	struct option option;
	struct option best = { 0 };
	uint32_t i;

	dispatch_find_candidates(dispatch, job, now, &found);
	for (i = 0; i < found.count; i++) {
		weigh_(dispatch, job, found.target[i], i, now, &option);
		/* Any other server would have to load the object first. */
		if (i && option.familiarity != BW_FAMILIARITY_SEEN)
			continue;
		if (!best.target || option.cost_ms < best.cost_ms)
			best = option;
	}
	if (!best.target)
		return false;
	if (dispatch_can_send(dispatch, best.target, now))
		return best.end_ms <= left_ms &&
		       assign_(dispatch, job, &best, now);
	return place_in_spare_(dispatch, job, &found, left_ms, now);
}

bool dispatch_ends_late(struct bw_dispatch *dispatch, struct bw_job *job,
			struct bw_time now)
{
	double left_ms = dispatch_left_ms(dispatch, job, now);
	struct dispatch_candidates found;
	struct bw_work_estimate work;
	uint32_t i;

	if (dispatch_run_ms(dispatch, job) <= 0.0)
		return false;
	dispatch_find_candidates(dispatch, job, now, &found);
	for (i = 0; i < found.count; i++) {
		const struct bw_target *target = found.target[i];

		bw_work_expect(&dispatch->work, job->work_key,
			       familiarity_(dispatch, job, target, i, now),
			       &work);
		/* A spell may end while the job waits. */
		if (work.usual_ms * bw_speed_usual(&target->speed) +
			    network_ms[target->distance] <=
		    left_ms)
			return false;
	}
	return found.count > 0;
}

double dispatch_run_ms(const struct bw_dispatch *dispatch,
		       const struct bw_job *job)
{
	struct bw_work_estimate work;

	if (!job->object || !job->service->tells_speed || !job->work_key)
		return 0.0;
	bw_work_expect(&dispatch->work, job->work_key, BW_FAMILIARITY_HOME,
		       &work);
	return work.usual_ms;
}

void bw_dispatch_note_shared_speed(struct bw_dispatch *dispatch,
				   uint64_t id_hash, uint32_t time_percent,
				   struct bw_time now)
{
	struct bw_target *target =
		g_hash_table_lookup(dispatch->targets, &id_hash);

	if (!target || dispatch_has_own_report(target, now))
		return;
	if (time_percent)
		target->service->tells_speed = true;
	if (target->service->tells_speed)
		bw_speed_note(&target->speed,
			      time_percent ? time_percent : USUAL_PERCENT,
			      bw_time_add(now, -SHARED_AGE_MS));
}

uint32_t bw_dispatch_unusual_percent(const struct bw_target *target)
{
	uint32_t percent = (uint32_t)lround(USUAL_PERCENT * target->speed.word);

	if (!target->speed.told || (percent >= UNUSUAL_BELOW_PERCENT &&
				    percent <= UNUSUAL_ABOVE_PERCENT))
		return 0;
	return percent;
}

void dispatch_note_speed(struct bw_target *target,
			 const struct bw_load_report *load, struct bw_time now)
{
	double ratio = ((double)load->running + load->waiting) /
		       MAX(target->slots, 1U);

	target->service->mean_load +=
		LOAD_SMOOTHING * (ratio - target->service->mean_load);
	if (!load->time_percent)
		return;
	target->service->tells_speed = true;
	bw_speed_note(&target->speed, load->time_percent, now);
}

void dispatch_record_work(struct bw_dispatch *dispatch,
			  struct bw_target *target, const struct bw_job *job,
			  const struct bw_load_report *load, double elapsed_ms)
{
	struct bw_work_estimate work;
	double run_ms = elapsed_ms - network_ms[target->distance];

	if (!job->work_key || !target->service->tells_speed || run_ms <= 0.0)
		return;
	bw_work_expect(&dispatch->work, job->work_key, job->familiarity, &work);
	/* A run that queued tells nothing of its work. */
	if (work.usual_ms > 0.0 &&
	    (load->waiting ||
	     job->expected_wait_ms > QUEUED_SHARE * work.usual_ms))
		return;
	bw_speed_measure(&target->speed, work.usual_ms, job->time_told, run_ms);
	bw_work_record(&dispatch->work, job->work_key, job->familiarity,
		       bw_speed_usual_ms(&target->speed, run_ms));
}

static void weigh_(const struct bw_dispatch *dispatch, const struct bw_job *job,
		   struct bw_target *target, uint32_t position,
		   struct bw_time now, struct option *option)
{
	double factor = bw_speed_factor(&target->speed, now);
	double load = MIN(job->service->mean_load, 1.0);
	double extra_ms;
	struct bw_work_estimate work;

	option->target = target;
	option->familiarity =
		familiarity_(dispatch, job, target, position, now);
	bw_work_expect(&dispatch->work, job->work_key, option->familiarity,
		       &work);
	extra_ms = work.usual_ms - dispatch_run_ms(dispatch, job);
	option->wait_ms =
		bw_work_wait_ms(dispatch_busy(target, now), target->slots,
				job->service->service_time_ms * factor);
	option->end_ms = network_ms[target->distance] + option->wait_ms +
			 work.usual_ms * factor;
	option->cost_ms = option->end_ms + load * MAX(extra_ms, 0.0);
}

static enum bw_familiarity familiarity_(const struct bw_dispatch *dispatch,
					const struct bw_job *job,
					const struct bw_target *target,
					uint32_t position, struct bw_time now)
{
	if (dispatch_is_warm(dispatch, job, target, now))
		return BW_FAMILIARITY_SEEN;
	return position ? BW_FAMILIARITY_SECOND : BW_FAMILIARITY_HOME;
}

/* Places a job whose best server can't get it now where slots are spare. */
static bool place_in_spare_(struct bw_dispatch *dispatch, struct bw_job *job,
			    const struct dispatch_candidates *found,
			    double left_ms, struct bw_time now)
{
	/* The wait for a token is not worth a warm run. */
	bool home_limited =
		!bw_server_limit_allows(&found->target[0]->limit, now);
	struct option option;
	uint32_t i;

	for (i = 0; i < found->count; i++) {
		struct bw_target *target = found->target[i];

		weigh_(dispatch, job, target, i, now, &option);
		if (option.end_ms > left_ms ||
		    !dispatch_can_send(dispatch, target, now))
			continue;
		if (i && !home_limited && !dispatch_has_spare(target, now) &&
		    option.familiarity != BW_FAMILIARITY_SEEN)
			continue;
		return assign_(dispatch, job, &option, now);
	}
	return false;
}

/*
 * Returns the requests that are expected at a server. An old report of a
 * service says less of one server than the mean of all.
 */
double dispatch_busy(const struct bw_target *target, struct bw_time now)
{
	double age_ms = (double)bw_time_diff_ms(now, target->reported_at);
	double mean = target->service->mean_load * target->slots;
	double weight = target->reported_at.ms
				? exp(-MAX(age_ms, 0.0) / LOAD_DECAY_MS)
				: 0.0;
	double reported = target->other_requests + target->in_flight;

	return MAX(mean + (reported - mean) * weight,
		   (double)target->in_flight);
}

static bool assign_(struct bw_dispatch *dispatch, struct bw_job *job,
		    const struct option *option, struct bw_time now)
{
	dispatch_set_target(dispatch, job, option->target, now);
	job->familiarity = option->familiarity;
	job->expected_ms = option->end_ms;
	job->expected_wait_ms = option->wait_ms;
	job->time_told = bw_speed_told(&option->target->speed, now);
	return true;
}
