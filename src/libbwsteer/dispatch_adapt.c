/*
 * Request fractions of the servers of a service. They follow the planned spread
 * of the demand over failure domains in limited steps, and are corrected by the
 * observed load.
 */
#include <math.h>
#include <string.h>

#include "private/dispatch.h"

/** Maximum change of a server's fraction in one second. */
#define FRACTION_STEP_PER_S 0.04

/**
 * Fraction of the operators' limit on moves between regions that the plan uses.
 * Load corrections, overflow to other servers and random variation move
 * requests as well.
 */
#define REGION_STEP_FRACTION 0.75

/** Fraction of the gap to the planned fraction that is closed in one second. */
#define APPROACH_RATE_PER_S 0.3

/**
 * Change of the correction in one second at an excess load of 1, and its
 * limits.
 */
#define CORRECTION_PER_S 0.25
#define CORRECTION_MIN 0.3
#define CORRECTION_MAX 1.5

/** Deviation from the mean load of the servers in use that is not corrected. */
#define LOAD_TOLERANCE 0.15

/** Maximum age of a load report that is used for a correction. */
#define REPORT_AGE_MAX_MS 1500

/** Minimum fraction at which a server counts as in use. */
#define FRACTION_USED_MIN 0.005

/** Fraction below which a server gets no requests by plan. */
#define FRACTION_NONE 1e-5

/**
 * Service time that is assumed before any was measured, as a fraction of the
 * latency objective; the rest leaves room for a queue.
 */
#define SERVICE_TIME_FRACTION 0.5

/**
 * Service time that is assumed when the service has no latency objective
 * either.
 */
#define SERVICE_TIME_DEFAULT_MS 300.0

/**
 * Latency objective from which the domains of a region share their servers. A
 * cold run takes server time in proportion to the time of a run, while the
 * bytes that cross to another domain do not depend on it: short runs stay in
 * their domain. Servers that tell their speed always share: all hosts of the
 * region then weigh the same server against its speed.
 */
#define SHARED_OBJECTIVE_MIN_MS 800

/** Minimum total of the reported demand at which it is used. */
#define DEMAND_MIN_SLOTS 0.5

/** Load that is assumed for all servers until demand is reported. */
#define LOAD_DEFAULT 0.75

/**
 * Maximum fraction by which the planned demand decreases in one second. Each
 * move of an object costs a cold run; the slow decrease keeps objects in place
 * when the demand soon returns.
 */
#define DEMAND_DECAY_PER_S 0.02

/** Window and smoothing factor of the arrival rate. */
#define ARRIVALS_WINDOW_MS 500
#define ARRIVALS_SMOOTHING 0.3

static void update_planned_demand_(const struct bw_dispatch *dispatch,
				   struct bw_dispatch_service *service,
				   struct bw_time now);
static void plan_fractions_(struct bw_dispatch *dispatch,
			    struct bw_dispatch_service *service);
static void default_demand_(struct bw_spread_domain *domains, uint32_t count);
static double region_step_scale_(const struct bw_dispatch *dispatch,
				 const struct bw_dispatch_service *service,
				 double age_s);
static void move_fraction_(struct bw_target *target, double age_s,
			   double scale);
static double mean_load_(const struct bw_dispatch_service *service,
			 struct bw_time now);
static void update_correction_(struct bw_target *target, double mean_load,
			       double age_s, struct bw_time now);
static bool has_recent_report_(const struct bw_target *target,
			       struct bw_time now);

/*
 * A host that has just started has no objects in place that steps would
 * protect. Steps from the plan for the few servers that it knew first would
 * keep its preferred servers different from those of the other hosts for many
 * seconds.
 */
void dispatch_adapt_fractions(struct bw_dispatch *dispatch,
			      struct bw_dispatch_service *service,
			      struct bw_time now)
{
	double service_age_s =
		(double)bw_time_diff_ms(now, service->planned_demand_at) /
		1000.0;
	double scale;
	double mean_load;
	uint32_t i;

	update_planned_demand_(dispatch, service, now);
	plan_fractions_(dispatch, service);
	scale = region_step_scale_(dispatch, service, MIN(service_age_s, 1.0));
	mean_load = mean_load_(service, now);
	for (i = 0; i < service->targets->len; i++) {
		struct bw_target *target = service->targets->pdata[i];
		double age_s =
			(double)bw_time_diff_ms(now, target->adapted_at) /
			1000.0;

		target->adapted_at = now;
		age_s = MIN(age_s, 1.0);
		if (bw_time_reached(now, service->learning_until))
			move_fraction_(target, age_s, scale);
		else
			target->fraction = target->planned_fraction;
		update_correction_(target, mean_load, age_s, now);
	}
}

double bw_dispatch_arrivals_per_s(struct bw_dispatch_service *service,
				  struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, service->arrival_window_start);
	double gain;

	if (age_ms < ARRIVALS_WINDOW_MS)
		return service->arrivals_per_s;
	if (service->arrival_count || service->arrival_windows)
		service->arrival_windows++;
	/*
	 * The mean of all windows but the first, incomplete one is used at the
	 * start: a rate that rises slowly from zero would make the plan send
	 * too much to the local region.
	 */
	gain = 1.0;
	if (service->arrival_windows > 2)
		gain = MAX(ARRIVALS_SMOOTHING,
			   1.0 / (service->arrival_windows - 1));
	service->arrivals_per_s +=
		gain * (1000.0 * service->arrival_count / (double)age_ms -
			service->arrivals_per_s);
	service->arrival_count = 0;
	service->arrival_window_start = now;
	return service->arrivals_per_s;
}

uint64_t bw_dispatch_used_domains(const struct bw_dispatch *dispatch)
{
	uint64_t used = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_target *target = value;

		if (target->fraction > FRACTION_NONE ||
		    target->planned_fraction > FRACTION_NONE ||
		    target->in_flight)
			used |= 1ULL << target->domain;
	}
	return used;
}

static void update_planned_demand_(const struct bw_dispatch *dispatch,
				   struct bw_dispatch_service *service,
				   struct bw_time now)
{
	double age_s =
		(double)bw_time_diff_ms(now, service->planned_demand_at) /
		1000.0;
	double decay = MIN(DEMAND_DECAY_PER_S * age_s, 1.0);
	uint32_t i;

	service->planned_demand_at = now;
	for (i = 0; i < dispatch->domain_count; i++) {
		double *planned_per_s = &service->planned_demand_per_s[i];

		*planned_per_s = MAX(service->demand_per_s[i],
				     *planned_per_s * (1.0 - decay));
	}
}

static void plan_fractions_(struct bw_dispatch *dispatch,
			    struct bw_dispatch_service *service)
{
	struct bw_spread_domain domains[BW_SPREAD_DOMAINS_MAX];
	double fractions[BW_SPREAD_DOMAINS_MAX];
	uint32_t i;

	if (!dispatch->domain_count)
		return;
	dispatch_fill_domains(dispatch, service, domains);
	dispatch_spread(dispatch, service, domains, dispatch->own_domain,
			fractions);
	for (i = 0; i < service->targets->len; i++) {
		struct bw_target *target = service->targets->pdata[i];
		double slots = domains[target->domain].slots;

		target->planned_fraction = 0.0;
		if (target->accepts && !target->notice.leaving && slots > 0.0)
			target->planned_fraction =
				fractions[target->domain] *
				dispatch_usable_slots(target) / slots;
	}
}

bool dispatch_shares_region(const struct bw_dispatch_service *service)
{
	return service->tells_speed ||
	       service->target_latency_ms >= SHARED_OBJECTIVE_MIN_MS;
}

void dispatch_spread(const struct bw_dispatch *dispatch,
		     const struct bw_dispatch_service *service,
		     const struct bw_spread_domain *domains, uint32_t own,
		     double *fractions)
{
	if (dispatch_shares_region(service))
		bw_spread_by_region(domains, dispatch->domain_count, own,
				    fractions);
	else
		bw_spread(domains, dispatch->domain_count, own, fractions);
}

double dispatch_assumed_service_ms(const struct bw_dispatch_service *service)
{
	if (service->service_time_ms > 0.0)
		return service->service_time_ms;
	if (service->target_latency_ms)
		return SERVICE_TIME_FRACTION * service->target_latency_ms;
	return SERVICE_TIME_DEFAULT_MS;
}

void dispatch_fill_domains(const struct bw_dispatch *dispatch,
			   const struct bw_dispatch_service *service,
			   struct bw_spread_domain *domains)
{
	double service_time_ms = dispatch_assumed_service_ms(service);
	uint32_t i;

	memset(domains, 0, dispatch->domain_count * sizeof(*domains));
	for (i = 0; i < dispatch->domain_count; i++) {
		domains[i].region = dispatch->domain_region[i];
		domains[i].demand_slots = service->planned_demand_per_s[i] *
					  service_time_ms / 1000.0;
	}
	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->accepts && !target->notice.leaving)
			domains[target->domain].slots +=
				dispatch_usable_slots(target);
	}
	default_demand_(domains, dispatch->domain_count);
}

/* Assumes an equal load in all domains until demand is reported. */
static void default_demand_(struct bw_spread_domain *domains, uint32_t count)
{
	double demand = 0.0;
	double slots = 0.0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		demand += domains[i].demand_slots;
		slots += domains[i].slots;
	}
	for (i = 0; i < count && demand < DEMAND_MIN_SLOTS; i++)
		domains[i].demand_slots = LOAD_DEFAULT * slots / count;
}

/*
 * Returns the factor on all steps that keeps the moves between regions within
 * their limit. The limit on each server does not limit their sum, because a
 * domain may have many servers.
 */
static double region_step_scale_(const struct bw_dispatch *dispatch,
				 const struct bw_dispatch_service *service,
				 double age_s)
{
	double gaps[BW_REGIONS_MAX] = { 0 };
	double step = 0.0;
	double limit;
	uint32_t i;

	if (dispatch->region_step_max <= 0.0 || !dispatch->region_window_ms)
		return 1.0;
	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->fraction >= 0.0)
			gaps[target->region] +=
				target->planned_fraction - target->fraction;
	}
	for (i = 0; i < BW_REGIONS_MAX; i++)
		step += fabs(gaps[i]) * MIN(APPROACH_RATE_PER_S * age_s, 1.0) /
			2.0;
	limit = REGION_STEP_FRACTION * dispatch->region_step_max * age_s *
		1000.0 / dispatch->region_window_ms;
	return step > limit ? limit / step : 1.0;
}

/*
 * A new server starts at its planned fraction; others approach theirs in steps.
 */
static void move_fraction_(struct bw_target *target, double age_s, double scale)
{
	double gap = target->planned_fraction - target->fraction;
	double step = gap * MIN(APPROACH_RATE_PER_S * age_s, 1.0) * scale;
	double limit = FRACTION_STEP_PER_S * age_s;

	if (target->fraction < 0.0)
		target->fraction = target->planned_fraction;
	else
		target->fraction += CLAMP(step, -limit, limit);
}

static double mean_load_(const struct bw_dispatch_service *service,
			 struct bw_time now)
{
	double sum = 0.0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->fraction < FRACTION_USED_MIN ||
		    !has_recent_report_(target, now))
			continue;
		sum += dispatch_load(target, now);
		count++;
	}
	return count ? sum / count : 0.0;
}

static void update_correction_(struct bw_target *target, double mean_load,
			       double age_s, struct bw_time now)
{
	double excess;

	if (!has_recent_report_(target, now))
		return;
	excess = dispatch_load(target, now) +
		 (double)target->waiting / MAX(target->slots, 1U) - mean_load;
	if (fabs(excess) < LOAD_TOLERANCE)
		return;
	target->correction -=
		CORRECTION_PER_S * age_s * CLAMP(excess, -1.0, 1.0);
	target->correction =
		CLAMP(target->correction, CORRECTION_MIN, CORRECTION_MAX);
}

static bool has_recent_report_(const struct bw_target *target,
			       struct bw_time now)
{
	return bw_time_diff_ms(now, target->reported_at) < REPORT_AGE_MAX_MS;
}
