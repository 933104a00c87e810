#include <string.h>

#include "private/plan_internal.h"

/* A domain is believed up to this multiple of its slots as its demand. */
#define DEMAND_LIMIT_FACTOR 2

/*
 * A site may claim this multiple of its share of the demand that its peers
 * imply, plus this many parts per mille for callers that fell back to it.
 */
#define CLAIM_FACTOR 1.5
#define CLAIM_EXTRA 100

/*
 * Demand assumed for a region without any, as a fraction of the capacity, so
 * that its row has shares when callers arrive.
 */
#define NOMINAL_DEMAND_DIVISOR 2000

static void raise_weights_(struct bw_plan_work *work, uint32_t service,
			   const int64_t *demand);
static void add_demand_(struct bw_plan_work *work, uint32_t service,
			int64_t *claimed);
static const uint32_t *claims_(const struct bw_plan_work *work,
			       uint32_t service, uint32_t site, double *scale);
static double typical_demand_(const struct bw_plan_problem *p, uint32_t region,
			      const uint32_t *const *claims);
static void estimate_unseen_(const struct bw_plan_work *work, uint32_t service,
			     int64_t *demand);

void bw_plan_load_demand(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan_problem *p = &work->problem;
	int64_t claimed[BW_PLAN_REGIONS_MAX];
	int64_t capacity = 0, nominal;
	uint32_t i, r;

	for (r = 0; r < p->region_count; r++)
		work->fresh_share[r] = bw_plan_fresh_share(work, service, r);
	add_demand_(work, service, claimed);
	raise_weights_(work, service, claimed);
	/* Until a step shows its effect, claims do not match the shares. */
	if (bw_plan_is_step_visible(work, service))
		raise_weights_(work, service, p->demand);
	estimate_unseen_(work, service, p->demand);
	for (i = 0; i < p->site_count; i++)
		capacity += p->capacity[i];
	nominal = capacity / NOMINAL_DEMAND_DIVISOR + 1;
	for (r = 0; r < p->region_count; r++) {
		if (p->demand[r] < nominal)
			p->demand[r] = nominal;
	}
}

/*
 * The weight of a region is the largest that any reading of the reports
 * implies, so that no reading lets a shift exceed the cap. What is seen is
 * compared with the whole demand, the unseen part of it included.
 */
static void raise_weights_(struct bw_plan_work *work, uint32_t service,
			   const int64_t *seen)
{
	uint32_t regions = work->problem.region_count;
	uint16_t *weights = work->plan->weights + (size_t)service * regions;
	int64_t demand[BW_PLAN_REGIONS_MAX];
	uint32_t r, weight = BW_PLAN_WEIGHT_TOTAL / regions + 1;
	int64_t total = 0;

	memcpy(demand, seen, regions * sizeof(*demand));
	estimate_unseen_(work, service, demand);
	for (r = 0; r < regions; r++)
		total += demand[r];
	for (r = 0; r < regions; r++) {
		if (total)
			weight = (uint32_t)((seen[r] * BW_PLAN_WEIGHT_TOTAL +
					     total - 1) /
					    total);
		if (weight > weights[r])
			weights[r] = (uint16_t)weight;
	}
}

/*
 * Demand of a domain counts while its shares are held. Only sites count, and
 * what one claims is limited by what the others imply, so that a wrong report
 * neither displaces the demand of other regions nor makes the plan oscillate.
 */
static void add_demand_(struct bw_plan_work *work, uint32_t service,
			int64_t *claimed)
{
	const struct bw_plan_service *of = &work->plan->services[service];
	struct bw_plan_problem *p = &work->problem;
	const uint32_t **claims = p->reported_demand;
	double scale[BW_PLAN_DOMAINS_MAX];
	double typical, claim, limit;
	uint32_t i, r;

	for (i = 0; i < of->site_count; i++)
		claims[i] = claims_(work, service, i, &scale[i]);
	for (r = 0; r < p->region_count; r++) {
		const uint16_t *row = p->current + (size_t)r * p->site_count;

		p->demand[r] = 0;
		claimed[r] = 0;
		typical = typical_demand_(p, r, claims);
		for (i = 0; i < of->site_count; i++) {
			if (!claims[i])
				continue;
			claimed[r] += claims[i][r];
			limit = typical *
				(CLAIM_FACTOR * row[i] + CLAIM_EXTRA) /
				BW_PLAN_SHARE_TOTAL;
			claim = claims[i][r];
			/* Only what others confirm may exceed the slots. */
			if (typical <= 0 || claim > limit)
				claim *= scale[i];
			if (typical > 0 && claim > limit)
				claim = limit;
			p->demand[r] += (int64_t)claim;
		}
	}
}

/* Returns what a site claims by region, NULL for nothing. The scale limits
 * the sum where no other site confirms it. */
static const uint32_t *claims_(const struct bw_plan_work *work,
			       uint32_t service, uint32_t site, double *scale)
{
	const struct bw_plan_service *of = &work->plan->services[service];
	uint32_t domain = work->plan->sites[of->site_begin + site];
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);
	const struct bw_sheet_service *written =
		&work->sheet->services[service];
	const uint32_t *demand;
	double sum = 0, limit;
	uint32_t r;

	if (!report || !report->known || report->age_ms > BW_PLAN_HOLD_MS)
		return NULL;
	demand = report->services[service].demand;
	*scale = 1;
	if (!demand || site >= written->placements_count)
		return demand;
	for (r = 0; r < work->problem.region_count; r++)
		sum += demand[r];
	limit = 1000.0 * DEMAND_LIMIT_FACTOR *
		written->placements[site].targets *
		written->placements[site].slots_per_target;
	if (sum > limit)
		*scale = limit / sum;
	return demand;
}

/*
 * Demand of a region as implied by the claims of its sites: the median,
 * weighted by share, but at most what two sites imply. A flood that several
 * sites report is not limited by their slots: links would be loaded by more
 * than planned. Returns 0 when fewer than two sites can be compared.
 */
static double typical_demand_(const struct bw_plan_problem *p, uint32_t region,
			      const uint32_t *const *claims)
{
	const uint16_t *row = p->current + (size_t)region * p->site_count;
	double implied[BW_PLAN_DOMAINS_MAX];
	uint32_t share[BW_PLAN_DOMAINS_MAX];
	uint32_t count = 0, sum = 0, i, k;
	double value;

	for (i = 0; i < p->site_count; i++) {
		if (!claims[i] || !row[i])
			continue;
		value = (double)claims[i][region] * BW_PLAN_SHARE_TOTAL /
			row[i];
		for (k = count++; k > 0 && implied[k - 1] > value; k--) {
			implied[k] = implied[k - 1];
			share[k] = share[k - 1];
		}
		implied[k] = value;
		share[k] = row[i];
		sum += row[i];
	}
	if (count < 2)
		return 0;
	sum = (sum + 1) / 2;
	for (i = 0; i + 2 < count && share[i] < sum; i++)
		sum -= share[i];
	return implied[i];
}

bool bw_plan_is_step_visible(const struct bw_plan_work *work, uint32_t service)
{
	const struct bw_plan_service *of = &work->plan->services[service];

	return !of->last_step_ms ||
	       work->now_ms - of->last_step_ms >=
		       (int64_t)work->limits.ttl_ms + BW_PLAN_REPORT_LAG_MS;
}

uint32_t bw_plan_fresh_share(const struct bw_plan_work *work, uint32_t service,
			     uint32_t region)
{
	const struct bw_plan_service *of = &work->plan->services[service];
	const uint16_t *row = bw_plan_shares(work->plan, service, region);
	const struct bw_plan_report *report;
	uint32_t unseen = 0, i;

	for (i = 0; i < of->site_count; i++) {
		report = bw_plan_domain_report(
			work, work->plan->sites[of->site_begin + i]);
		if (report && (!report->known ||
			       report->age_ms > BW_PLAN_REPORT_FRESH_MS))
			unseen += row[i];
	}
	return BW_PLAN_SHARE_TOTAL - unseen;
}

/*
 * Demand that goes to domains without reports is not seen. A row is assumed to
 * have kept the demand that it had when it was last seen whole, but no more
 * than the seen part implies if callers do not fall back to other domains.
 * After a change of leader the ratio of the weights takes its place.
 */
static void estimate_unseen_(const struct bw_plan_work *work, uint32_t service,
			     int64_t *demand)
{
	uint32_t regions = work->problem.region_count;
	uint32_t *known =
		work->plan->last_complete_demand + (size_t)service * regions;
	const uint16_t *weights =
		work->plan->weights + (size_t)service * regions;
	bool has_effect = bw_plan_is_step_visible(work, service);
	const uint32_t *seen = work->fresh_share;
	int64_t seen_demand = 0, seen_weight = 0, estimate, implied;
	uint32_t r;

	for (r = 0; r < regions; r++) {
		if (seen[r] < BW_PLAN_SHARE_TOTAL)
			continue;
		seen_demand += demand[r];
		seen_weight += weights[r];
		if (has_effect)
			known[r] = (uint32_t)demand[r];
	}
	for (r = 0; r < regions; r++) {
		if (seen[r] == BW_PLAN_SHARE_TOTAL)
			continue;
		estimate = known[r];
		if (!estimate && seen_weight)
			estimate = seen_demand * weights[r] / seen_weight;
		implied = estimate;
		if (seen[r] && has_effect)
			implied = demand[r] * BW_PLAN_SHARE_TOTAL / seen[r];
		estimate = estimate < implied ? estimate : implied;
		if (demand[r] < estimate)
			demand[r] = estimate;
	}
}
