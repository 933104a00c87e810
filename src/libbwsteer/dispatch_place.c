#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "private/dispatch.h"

/** Time after the last use for which an object is expected to be warm. */
#define WARM_MS 60000

/** Smoothing factors of moving averages. */
#define TIME_SMOOTHING 0.1
#define HEALTH_SMOOTHING 0.2
#define LOAD_SMOOTHING 0.5

/** Age at which the reported load of other hosts counts half. */
#define LOAD_DECAY_MS 500.0

/** Age at which a report is no longer used. */
#define REPORT_STALE_MS 2000

/**
 * Time for which a report from the server itself takes precedence over reports
 * from other hosts.
 */
#define OWN_REPORT_MS 400

/** A server is ejected when its failure rate reaches this value. */
#define FAILURES_MAX 0.4

/**
 * Base and maximum duration of an ejection, which doubles with each further
 * failure.
 */
#define EJECT_MS 500
#define EJECT_MAX_MS 4000

/** Resolution of the clock; a run that took less is not of unknown time. */
#define CLOCK_STEP_MS 1.0

/** Limits of the slowness of one server. */
#define SLOWNESS_MIN 0.2
#define SLOWNESS_MAX 20.0

/** Fraction of the rate limit of a cold server that all hosts together use. */
#define COLD_RATE_FRACTION 0.8

/**
 * Fraction of its slots that a server must have free before it takes objects
 * for which it is not the preferred server.
 */
#define SPARE_FRACTION 0.5

/**
 * Fraction assumed for a server that the plan does not use, which makes it the
 * last choice.
 */
#define FRACTION_MIN 1e-6

/**
 * Fraction of the slots by which this host overcommits a server. The load of
 * other hosts becomes known late, and a slot must not stay idle until then.
 */
#define OVERCOMMIT_FRACTION 0.5

/**
 * Factor on the expected wait for the queued requests of other hosts, which no
 * report includes.
 */
#define OTHER_HOSTS_QUEUE_FACTOR 1.5

/**
 * Time for which the servers that an object prefers are not searched again
 * while its request waits: a search looks at all servers of the service.
 */
#define CANDIDATES_MAX_AGE_MS 100

static bool place_object_(struct bw_dispatch *dispatch, struct bw_job *job,
			  struct bw_time now);
static bool place_lowest_cost_(struct bw_dispatch *dispatch, struct bw_job *job,
			       struct bw_time now);
static void search_candidates_(struct bw_job *job, struct bw_time now,
			       struct dispatch_candidates *found);
static double rendezvous_point_(const struct bw_job *job,
				const struct bw_target *target);
static double rendezvous_weight_(const struct bw_target *target,
				 const double *slot_fractions);
static void pool_fractions_(const struct bw_dispatch_service *service,
			    double *slot_fractions);
static bool has_cold_token_(const struct bw_dispatch *dispatch,
			    struct bw_target *target, struct bw_time now);
static uint64_t pair_hash_(const struct bw_job *job,
			   const struct bw_target *target);
static uint32_t *warm_entry_(const struct bw_dispatch *dispatch,
			     const struct bw_job *job,
			     const struct bw_target *target);
static double expected_response_ms_(const struct bw_target *target, bool warm);
static void update_average_(double *value, double sample, double smoothing);
static void record_response_time_(struct bw_target *target,
				  const struct bw_job *job, double elapsed_ms);
static void record_service_time_(struct bw_dispatch_service *service,
				 const struct bw_load_report *load,
				 double elapsed_ms);
static void record_failure_(struct bw_target *target, struct bw_time now);

bool dispatch_place(struct bw_dispatch *dispatch, struct bw_job *job,
		    struct bw_time now)
{
	if (dispatch_start_is_full(dispatch, job->service, now))
		return false;
	if (job->object && dispatch_run_ms(dispatch, job) > 0.0)
		return dispatch_place_by_end(dispatch, job, now);
	if (job->object)
		return place_object_(dispatch, job, now);
	return place_lowest_cost_(dispatch, job, now);
}

void dispatch_find_home(struct bw_job *job, struct bw_time now)
{
	struct dispatch_candidates found;

	job->home = NULL;
	if (!job->object)
		return;
	search_candidates_(job, now, &found);
	if (found.count)
		job->home = found.target[0];
}

double dispatch_job_response_ms(const struct bw_job *job)
{
	if (!job->home)
		return dispatch_service_response_ms(job->service);
	return expected_response_ms_(job->home, true);
}

double dispatch_wait_ms(const struct bw_target *target, uint32_t ahead)
{
	double response_ms = target->service->times[target->distance].warm_ms;
	double queued = (double)target->in_flight + target->other_requests +
			ahead - (double)target->slots;
	double limit_ms =
		bw_server_limit_wait_ms(&target->limit, ahead ? ahead - 1 : 0);

	if (response_ms <= 0.0)
		response_ms = target->service->times[target->distance].cold_ms;
	if (queued <= 0.0)
		return limit_ms;
	return MAX(limit_ms, OTHER_HOSTS_QUEUE_FACTOR * response_ms *
				     target->slowness * queued /
				     MAX(target->slots, 1U));
}

bool dispatch_is_allowed(const struct bw_job *job,
			 const struct bw_target *target)
{
	return !target->notice.leaving && dispatch_may_run(job, target);
}

bool dispatch_may_run(const struct bw_job *job, const struct bw_target *target)
{
	uint32_t i;

	if (!target->accepts || !target->slots)
		return false;
	if (job->regions && !(job->regions & (1ULL << target->region)))
		return false;
	for (i = 0; i < job->tried_count; i++) {
		if (job->tried[i] == target->id_hash)
			return false;
	}
	return true;
}

bool dispatch_has_free_slot(const struct bw_dispatch_service *service,
			    struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->accepts && dispatch_has_slot(target, now))
			return true;
	}
	return false;
}

double dispatch_service_response_ms(const struct bw_dispatch_service *service)
{
	double least_ms = 0.0;
	int i;

	for (i = 0; i < BW_DISTANCE_COUNT; i++) {
		double warm_ms = service->times[i].warm_ms;

		if (warm_ms > 0.0 && (least_ms <= 0.0 || warm_ms < least_ms))
			least_ms = warm_ms;
	}
	return least_ms;
}

void dispatch_mark_warm(struct bw_dispatch *dispatch, const struct bw_job *job,
			struct bw_time now)
{
	if (job->object)
		*warm_entry_(dispatch, job, job->target) = (uint32_t)now.ms;
}

void dispatch_mark_cold(struct bw_dispatch *dispatch, const struct bw_job *job,
			const struct bw_target *target)
{
	if (job->object)
		*warm_entry_(dispatch, job, target) = 0;
}

void dispatch_record_result(struct bw_dispatch *dispatch,
			    struct bw_target *target, const struct bw_job *job,
			    enum bw_job_result result,
			    const struct bw_load_report *load,
			    struct bw_time now)
{
	double other_requests;

	if (load) {
		dispatch_note_speed(target, load, now);
		other_requests = (double)load->running + load->waiting -
				 (double)target->in_flight;
		update_average_(&target->other_requests,
				other_requests > 0.0 ? other_requests : 0.0,
				LOAD_SMOOTHING);
		target->reported_at = now;
		target->direct_report_at = now;
		target->reported_requests = load->running + load->waiting;
		target->load_report_pending = true;
		if (load->slots)
			target->slots = load->slots;
	}
	switch (result) {
	case BW_JOB_ANSWERED:
		target->consecutive_failures = 0;
		update_average_(&target->failure_rate, 0.0, HEALTH_SMOOTHING);
		record_service_time_(target->service, load,
				     (double)bw_time_diff_ms(now, job->sent));
		record_response_time_(target, job,
				      (double)bw_time_diff_ms(now, job->sent));
		if (load)
			dispatch_record_work(
				dispatch, target, job, load,
				(double)bw_time_diff_ms(now, job->sent));
		break;
	case BW_JOB_FAILED:
	case BW_JOB_UNREACHABLE:
		record_failure_(target, now);
		break;
	case BW_JOB_REFUSED:
		/*
		 * A server rejects requests when other hosts use all its slots.
		 */
		target->other_requests =
			MAX(target->other_requests, (double)target->slots);
		target->reported_at = now;
		break;
	case BW_JOB_EXPIRED:
		/*
		 * A request that waits for a slot of a full server until its
		 * deadline shows no failure of the server.
		 */
		if (!load || load->running < target->slots)
			record_failure_(target, now);
		break;
	case BW_JOB_CANCELLED:
		break;
	}
}

/*
 * Requests for an object go to the server where it is warm. They wait for their
 * home rather than take a slot elsewhere, unless that server has enough free
 * slots: a cold run takes several times as long and evicts another object from
 * the server's memory.
 */
static bool place_object_(struct bw_dispatch *dispatch, struct bw_job *job,
			  struct bw_time now)
{
	struct dispatch_candidates found;
	bool home_limited;
	uint32_t i;

	dispatch_find_candidates(dispatch, job, now, &found);
	/* The wait for a token is not worth a warm run. */
	home_limited = found.count &&
		       !bw_server_limit_allows(&found.target[0]->limit, now);
	for (i = 0; i < found.count; i++) {
		struct bw_target *target = found.target[i];

		if (!dispatch_can_send(dispatch, target, now))
			continue;
		if (i && !dispatch_has_spare(target, now) && !home_limited &&
		    !dispatch_is_warm(dispatch, job, target, now))
			continue;
		dispatch_set_target(dispatch, job, target, now);
		return true;
	}
	return false;
}

/*
 * Places a request without an object: nearer servers come first, and the least
 * loaded of them.
 */
static bool place_lowest_cost_(struct bw_dispatch *dispatch, struct bw_job *job,
			       struct bw_time now)
{
	const GPtrArray *targets = job->service->targets;
	struct bw_target *best = NULL;
	double best_cost = 0.0;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		struct bw_target *target = targets->pdata[i];
		double cost = dispatch_load(target, now) * target->slowness +
			      (double)target->distance;

		if (!dispatch_is_eligible(job, target, now) ||
		    !dispatch_can_send(dispatch, target, now))
			continue;
		if (best && cost >= best_cost)
			continue;
		best = target;
		best_cost = cost;
	}
	if (!best)
		return false;
	dispatch_set_target(dispatch, job, best, now);
	return true;
}

bool dispatch_can_send(struct bw_dispatch *dispatch, struct bw_target *target,
		       struct bw_time now)
{
	return dispatch_has_slot(target, now) &&
	       has_cold_token_(dispatch, target, now) &&
	       bw_server_limit_allows(&target->limit, now) &&
	       dispatch_region_allowed(dispatch, target->region, now);
}

bool dispatch_has_spare(const struct bw_target *target, struct bw_time now)
{
	return dispatch_free_slots(target, now) >
	       SPARE_FRACTION * target->slots;
}

void dispatch_find_candidates(const struct bw_dispatch *dispatch,
			      struct bw_job *job, struct bw_time now,
			      struct dispatch_candidates *found)
{
	uint32_t i;

	found->count = 0;
	if (bw_time_diff_ms(now, job->candidates_at) > CANDIDATES_MAX_AGE_MS) {
		search_candidates_(job, now, found);
		return;
	}
	for (i = 0; i < job->candidate_count; i++) {
		struct bw_target *target = g_hash_table_lookup(
			dispatch->targets, &job->candidates[i]);

		if (!target || target->service != job->service ||
		    !dispatch_is_eligible(job, target, now)) {
			search_candidates_(job, now, found);
			return;
		}
		found->target[found->count++] = target;
	}
}

/*
 * Finds the eligible servers with the highest rendezvous scores. Most servers
 * are passed over after their hash, because -log(point) is at least 1 - point.
 */
static void search_candidates_(struct bw_job *job, struct bw_time now,
			       struct dispatch_candidates *found)
{
	const GPtrArray *targets = job->service->targets;
	double scores[BW_JOB_CANDIDATES_MAX + 1];
	double slot_fractions[BW_REGIONS_MAX];
	uint32_t i;

	pool_fractions_(job->service, slot_fractions);
	found->count = 0;
	for (i = 0; i < targets->len; i++) {
		struct bw_target *target = targets->pdata[i];
		uint32_t position = found->count;
		double point = rendezvous_point_(job, target);
		double weight = rendezvous_weight_(target, slot_fractions);
		double score;

		if (position == BW_JOB_CANDIDATES_MAX &&
		    weight <= scores[position - 1] * (1.0 - point))
			continue;
		if (!dispatch_is_eligible(job, target, now))
			continue;
		score = weight / -log(point);
		while (position > 0 && score > scores[position - 1])
			position--;
		if (position >= BW_JOB_CANDIDATES_MAX)
			continue;
		if (found->count < BW_JOB_CANDIDATES_MAX)
			found->count++;
		memmove(&found->target[position + 1], &found->target[position],
			(found->count - 1 - position) *
				sizeof(found->target[0]));
		memmove(&scores[position + 1], &scores[position],
			(found->count - 1 - position) * sizeof(scores[0]));
		found->target[position] = target;
		scores[position] = score;
	}
	for (i = 0; i < found->count; i++)
		job->candidates[i] = found->target[i]->id_hash;
	job->candidate_count = found->count;
	job->candidates_at = now;
}

/*
 * Weighted rendezvous hashing: a server gets its fraction of the objects, and a
 * change of fractions moves only the difference.
 */
static double rendezvous_point_(const struct bw_job *job,
				const struct bw_target *target)
{
	return ((double)(pair_hash_(job, target) >> 11) + 0.5) /
	       (double)(1ULL << 53);
}

/*
 * Where the failure domains of a region share their servers, these are weighted
 * alike by their slots, so that all hosts of the region agree on the home of an
 * object and it is loaded once. A server with a limit keeps its planned
 * fraction, which follows the limit in small steps.
 */
static double rendezvous_weight_(const struct bw_target *target,
				 const double *slot_fractions)
{
	double fraction = target->fraction;

	if (dispatch_shares_region(target->service) &&
	    target->limit.limit_per_s <= 0.0)
		fraction = slot_fractions[target->region] * target->slots;
	return MAX(fraction * target->correction, FRACTION_MIN);
}

/* Fills in the fraction of a slot in each region. */
static void pool_fractions_(const struct bw_dispatch_service *service,
			    double *slot_fractions)
{
	double slots[BW_REGIONS_MAX] = { 0 };
	uint32_t i;

	memset(slot_fractions, 0, BW_REGIONS_MAX * sizeof(*slot_fractions));
	if (!dispatch_shares_region(service))
		return;
	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->fraction < 0.0 || !target->accepts ||
		    target->limit.limit_per_s > 0.0)
			continue;
		slot_fractions[target->region] += target->fraction;
		slots[target->region] += target->slots;
	}
	for (i = 0; i < BW_REGIONS_MAX; i++) {
		if (slots[i] > 0.0)
			slot_fractions[i] /= slots[i];
	}
}

bool dispatch_has_own_report(const struct bw_target *target, struct bw_time now)
{
	return bw_time_diff_ms(now, target->direct_report_at) < OWN_REPORT_MS;
}

void bw_dispatch_note_load(struct bw_dispatch *dispatch, uint64_t id_hash,
			   uint32_t busy, struct bw_time now)
{
	struct bw_target *target =
		g_hash_table_lookup(dispatch->targets, &id_hash);

	if (!target || dispatch_has_own_report(target, now))
		return;
	target->other_requests = busy > target->in_flight
					 ? (double)(busy - target->in_flight)
					 : 0.0;
	target->reported_at = now;
}

bool dispatch_is_eligible(const struct bw_job *job,
			  const struct bw_target *target, struct bw_time now)
{
	return dispatch_is_allowed(job, target) &&
	       bw_time_reached(now, target->ejected_until) &&
	       bw_server_notice_allows(&target->notice, now);
}

void dispatch_set_target(struct bw_dispatch *dispatch, struct bw_job *job,
			 struct bw_target *target, struct bw_time now)
{
	job->target = target;
	job->warm = job->object && dispatch_is_warm(dispatch, job, target, now);
	job->expected_ms = expected_response_ms_(target, job->warm);
	job->expected_wait_ms = 0.0;
	job->time_told = 0.0;
	job->familiarity = BW_FAMILIARITY_SECOND;
	if (job->warm)
		job->familiarity = BW_FAMILIARITY_SEEN;
	else if (target == job->home)
		job->familiarity = BW_FAMILIARITY_HOME;
}

double dispatch_load(const struct bw_target *target, struct bw_time now)
{
	return ((double)target->in_flight +
		dispatch_other_requests(target, now)) /
	       MAX(target->slots, 1U);
}

double dispatch_free_slots(const struct bw_target *target, struct bw_time now)
{
	if (target->service->tells_speed)
		return (double)target->slots - dispatch_busy(target, now);
	return (double)target->slots - (double)target->in_flight -
	       dispatch_other_requests(target, now);
}

bool dispatch_has_slot(const struct bw_target *target, struct bw_time now)
{
	return dispatch_free_slots(target, now) >=
	       0.5 - OVERCOMMIT_FRACTION * (double)target->slots;
}

/*
 * Returns the number of requests of other hosts at a server. Without a recent
 * report the other hosts of the domain are assumed to send as many as this one.
 * A host that counts only its own requests would fill a server of unknown load,
 * and so would all its peers.
 */
double dispatch_other_requests(const struct bw_target *target,
			       struct bw_time now)
{
	double age_ms = (double)bw_time_diff_ms(now, target->reported_at);

	if (age_ms >= REPORT_STALE_MS)
		return (double)target->in_flight * target->peer_hosts;
	if (age_ms <= 0.0)
		return target->other_requests;
	return target->other_requests * LOAD_DECAY_MS /
	       (LOAD_DECAY_MS + age_ms);
}

/* The hosts that may use a cold server divide its rate limit among them. */
static bool has_cold_token_(const struct bw_dispatch *dispatch,
			    struct bw_target *target, struct bw_time now)
{
	double rate_per_s =
		target->service->cold_requests_per_s * COLD_RATE_FRACTION;
	double age_s;

	if (bw_time_reached(now, target->cold_until) || rate_per_s <= 0.0)
		return true;
	rate_per_s /= MAX(dispatch->cold_hosts_max, 1U);
	age_s = (double)bw_time_diff_ms(now, target->cold_refilled) / 1000.0;
	target->cold_refilled = now;
	target->cold_tokens =
		MIN(1.0, target->cold_tokens + age_s * rate_per_s);
	return target->cold_tokens >= 1.0;
}

static uint64_t pair_hash_(const struct bw_job *job,
			   const struct bw_target *target)
{
	uint64_t pair[2] = { job->object, target->id_hash };

	return XXH64(pair, sizeof(pair), 0);
}

static uint32_t *warm_entry_(const struct bw_dispatch *dispatch,
			     const struct bw_job *job,
			     const struct bw_target *target)
{
	uint64_t hash = pair_hash_(job, target);

	return &dispatch->warm_at[hash & (DISPATCH_WARM_ENTRIES - 1)];
}

bool dispatch_is_warm(const struct bw_dispatch *dispatch,
		      const struct bw_job *job, const struct bw_target *target,
		      struct bw_time now)
{
	uint32_t last_used_ms = *warm_entry_(dispatch, job, target);

	return last_used_ms && (uint32_t)now.ms - last_used_ms < WARM_MS;
}

static double expected_response_ms_(const struct bw_target *target, bool warm)
{
	const struct bw_dispatch_times *times =
		&target->service->times[target->distance];
	double base_ms = warm ? times->warm_ms : times->cold_ms;

	return base_ms * target->slowness;
}

static void update_average_(double *value, double sample, double smoothing)
{
	*value += smoothing * (sample - *value);
}

static void record_response_time_(struct bw_target *target,
				  const struct bw_job *job, double elapsed_ms)
{
	struct bw_dispatch_times *times =
		&target->service->times[target->distance];
	double *average_ms = job->warm ? &times->warm_ms : &times->cold_ms;
	double ratio;

	if (*average_ms <= 0.0) {
		*average_ms = elapsed_ms;
		return;
	}
	ratio = CLAMP(elapsed_ms / *average_ms, SLOWNESS_MIN, SLOWNESS_MAX);
	update_average_(&target->slowness, ratio, HEALTH_SMOOTHING);
	update_average_(average_ms, elapsed_ms, TIME_SMOOTHING);
}

/*
 * A response from a server with a queue includes waiting time and is used only
 * when there is no other sample.
 */
static void record_service_time_(struct bw_dispatch_service *service,
				 const struct bw_load_report *load,
				 double elapsed_ms)
{
	bool queued = load && load->waiting > 0;

	elapsed_ms = MAX(elapsed_ms, CLOCK_STEP_MS);
	if (service->service_time_ms <= 0.0)
		service->service_time_ms = elapsed_ms;
	else if (!queued)
		update_average_(&service->service_time_ms, elapsed_ms,
				TIME_SMOOTHING);
}

static void record_failure_(struct bw_target *target, struct bw_time now)
{
	uint32_t shift;
	int64_t eject_ms;

	target->consecutive_failures++;
	target->failed_at = now;
	update_average_(&target->failure_rate, 1.0, HEALTH_SMOOTHING);
	if (target->failure_rate < FAILURES_MAX &&
	    target->consecutive_failures < 2)
		return;
	shift = MIN(target->consecutive_failures, 4U);
	eject_ms = MIN((int64_t)EJECT_MS << shift, EJECT_MAX_MS);
	target->ejected_until = bw_time_add(now, eject_ms);
}
