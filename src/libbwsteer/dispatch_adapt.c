/*
 * Parts of the servers of a service: the spread of the demand over failure
 * domains, approached in bounded steps, and a correction by observed load.
 */
#include <math.h>
#include <string.h>

#include "private/dispatch.h"

/** Most that the part of a server moves in one second. */
#define STEP_PER_S 0.04

/**
 * Part of the operators' bound on moves between regions that the plan uses.
 * Corrections by load, spills and chance move requests as well.
 */
#define REGION_SHARE 0.75

/** Part of the way to the planned part in one second. */
#define APPROACH_PER_S 0.3

/** Change of the correction in one second by a load of one, and its bounds. */
#define CORRECTION_PER_S 0.25
#define CORRECTION_MIN 0.3
#define CORRECTION_MAX 1.5

/** Load beside the mean of the servers in use that is left as it is. */
#define LOAD_TOLERANCE 0.15

/** Reports older than this do not correct anything. */
#define REPORT_AGE_MAX_MS 1500

/** A part above which a server counts as in use. */
#define PART_USED 0.005

/**
 * Time of a request before any was observed, as a part of the latency that
 * the operator aims at; half of it leaves room for a queue.
 */
#define WORK_OF_TARGET 0.5

/** The same, when no such latency is known. */
#define WORK_DEFAULT_MS 300.0

/** Reported demand below which it says nothing. */
#define DEMAND_MIN_SLOTS 0.5

/** Load of all servers that is assumed until demand is reported. */
#define LOAD_ASSUMED 0.75

/**
 * Part of the demand by which the planned demand falls in one second, at most.
 * Each move of an object costs a cold run, so that a demand that comes back
 * finds its objects where they were.
 */
#define DEMAND_FALL_PER_S 0.02

/** Window and gain of the arrival rate. */
#define ARRIVALS_WINDOW_MS 500
#define ARRIVALS_GAIN 0.3

static void hold_demand_(const struct bw_dispatch *dispatch,
			 struct bw_dispatch_service *service,
			 struct bw_time now);
static void plan_(struct bw_dispatch *dispatch,
		  struct bw_dispatch_service *service);
static void fill_domains_(const struct bw_dispatch *dispatch,
			  const struct bw_dispatch_service *service,
			  struct bw_spread_domain *domains);
static void assume_demand_(struct bw_spread_domain *domains, uint32_t count);
static double region_fraction_(const struct bw_dispatch *dispatch,
			       const struct bw_dispatch_service *service,
			       double age_s);
static void move_(struct bw_target *target, double age_s, double fraction);
static double mean_load_(const struct bw_dispatch_service *service,
			 struct bw_time now);
static void correct_(struct bw_target *target, double mean, double age_s,
		     struct bw_time now);
static bool is_reported_(const struct bw_target *target, struct bw_time now);

void dispatch_adapt(struct bw_dispatch *dispatch,
		    struct bw_dispatch_service *service, struct bw_time now)
{
	double service_age_s =
		(double)bw_time_diff_ms(now, service->held_at) / 1000.0;
	double fraction;
	double mean;
	uint32_t i;

	hold_demand_(dispatch, service, now);
	plan_(dispatch, service);
	fraction = region_fraction_(dispatch, service, MIN(service_age_s, 1.0));
	mean = mean_load_(service, now);
	for (i = 0; i < service->targets->len; i++) {
		struct bw_target *target = service->targets->pdata[i];
		double age_s =
			(double)bw_time_diff_ms(now, target->adapted) / 1000.0;

		target->adapted = now;
		age_s = MIN(age_s, 1.0);
		move_(target, age_s, fraction);
		correct_(target, mean, age_s, now);
	}
}

double bw_dispatch_arrivals_per_s(struct bw_dispatch_service *service,
				  struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, service->arrivals_at);
	double gain;

	if (age_ms < ARRIVALS_WINDOW_MS)
		return service->arrivals_per_s;
	if (service->arrival_count || service->arrival_windows)
		service->arrival_windows++;
	/* At first the mean of all windows but the first, which is no whole
	 * one: a rate that rises slowly from zero would make the plan send too
	 * much to the own region. */
	gain = 1.0;
	if (service->arrival_windows > 2)
		gain = MAX(ARRIVALS_GAIN, 1.0 / (service->arrival_windows - 1));
	service->arrivals_per_s +=
		gain * (1000.0 * service->arrival_count / (double)age_ms -
			service->arrivals_per_s);
	service->arrival_count = 0;
	service->arrivals_at = now;
	return service->arrivals_per_s;
}

static void hold_demand_(const struct bw_dispatch *dispatch,
			 struct bw_dispatch_service *service,
			 struct bw_time now)
{
	double age_s = (double)bw_time_diff_ms(now, service->held_at) / 1000.0;
	double fall = MIN(DEMAND_FALL_PER_S * age_s, 1.0);
	uint32_t i;

	service->held_at = now;
	for (i = 0; i < dispatch->domain_count; i++) {
		double *held = &service->demand_held[i];

		*held = MAX(service->demand_per_s[i], *held * (1.0 - fall));
	}
}

static void plan_(struct bw_dispatch *dispatch,
		  struct bw_dispatch_service *service)
{
	struct bw_spread_domain domains[BW_SPREAD_DOMAINS_MAX];
	double parts[BW_SPREAD_DOMAINS_MAX];
	uint32_t i;

	if (!dispatch->domain_count)
		return;
	fill_domains_(dispatch, service, domains);
	bw_spread(domains, dispatch->domain_count, dispatch->own_domain, parts);
	for (i = 0; i < service->targets->len; i++) {
		struct bw_target *target = service->targets->pdata[i];
		double slots = domains[target->place].slots;

		target->planned = 0.0;
		if (target->accepts && slots > 0.0)
			target->planned =
				parts[target->place] * target->slots / slots;
	}
}

static void fill_domains_(const struct bw_dispatch *dispatch,
			  const struct bw_dispatch_service *service,
			  struct bw_spread_domain *domains)
{
	double work_ms = service->work_ms;
	uint32_t i;

	if (work_ms <= 0.0)
		work_ms = WORK_OF_TARGET * service->target_latency_ms;
	if (work_ms <= 0.0)
		work_ms = WORK_DEFAULT_MS;
	memset(domains, 0, dispatch->domain_count * sizeof(*domains));
	for (i = 0; i < dispatch->domain_count; i++) {
		domains[i].region = dispatch->domain_region[i];
		domains[i].demand_slots =
			service->demand_held[i] * work_ms / 1000.0;
	}
	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->accepts)
			domains[target->place].slots += target->slots;
	}
	assume_demand_(domains, dispatch->domain_count);
}

/* Until demand is reported, every domain is taken for equally busy. */
static void assume_demand_(struct bw_spread_domain *domains, uint32_t count)
{
	double demand = 0.0;
	double slots = 0.0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		demand += domains[i].demand_slots;
		slots += domains[i].slots;
	}
	for (i = 0; i < count && demand < DEMAND_MIN_SLOTS; i++)
		domains[i].demand_slots = LOAD_ASSUMED * slots / count;
}

/*
 * Part of the way to the plan that keeps the moves between regions in their
 * bound. A domain may have many servers, so that the bound on each of them does
 * not bound the sum.
 */
static double region_fraction_(const struct bw_dispatch *dispatch,
			       const struct bw_dispatch_service *service,
			       double age_s)
{
	double gaps[BW_REGIONS_MAX] = { 0 };
	double moved = 0.0;
	double most;
	uint32_t i;

	if (dispatch->region_step_max <= 0.0 || !dispatch->region_window_ms)
		return 1.0;
	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->fraction >= 0.0)
			gaps[target->region] +=
				target->planned - target->fraction;
	}
	for (i = 0; i < BW_REGIONS_MAX; i++)
		moved += fabs(gaps[i]) * MIN(APPROACH_PER_S * age_s, 1.0) / 2.0;
	most = REGION_SHARE * dispatch->region_step_max * age_s * 1000.0 /
	       dispatch->region_window_ms;
	return moved > most ? most / moved : 1.0;
}

/* A new server starts with its planned part; others move in steps. */
static void move_(struct bw_target *target, double age_s, double fraction)
{
	double gap = target->planned - target->fraction;
	double step = gap * MIN(APPROACH_PER_S * age_s, 1.0) * fraction;
	double most = STEP_PER_S * age_s;

	if (target->fraction < 0.0)
		target->fraction = target->planned;
	else
		target->fraction += CLAMP(step, -most, most);
}

static double mean_load_(const struct bw_dispatch_service *service,
			 struct bw_time now)
{
	double sum = 0.0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->fraction < PART_USED || !is_reported_(target, now))
			continue;
		sum += dispatch_load(target, now);
		count++;
	}
	return count ? sum / count : 0.0;
}

static void correct_(struct bw_target *target, double mean, double age_s,
		     struct bw_time now)
{
	double excess;

	if (!is_reported_(target, now))
		return;
	excess = dispatch_load(target, now) +
		 (double)target->waiting / MAX(target->slots, 1U) - mean;
	if (fabs(excess) < LOAD_TOLERANCE)
		return;
	target->correction -=
		CORRECTION_PER_S * age_s * CLAMP(excess, -1.0, 1.0);
	target->correction =
		CLAMP(target->correction, CORRECTION_MIN, CORRECTION_MAX);
}

static bool is_reported_(const struct bw_target *target, struct bw_time now)
{
	return bw_time_diff_ms(now, target->reported_at) < REPORT_AGE_MAX_MS;
}
