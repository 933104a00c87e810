#include <string.h>

#include "private/plan_internal.h"

/*
 * Demand that no other site confirms counts up to this multiple of the slots
 * that the sheet declares for the site.
 */
#define UNCONFIRMED_FACTOR 2

/*
 * The demand that a site reports counts up to this multiple of its share of the
 * demand that the other sites imply, plus this many per mille of that demand
 * for callers that fell back to it.
 */
#define CONFIRMED_FACTOR 1.5
#define CONFIRMED_EXTRA 100

/*
 * Minimum demand assumed for a region, as a fraction of the capacity, so
 * that its row has shares when callers arrive.
 */
#define NOMINAL_DEMAND_DIVISOR 2000

static void raise_weights_(struct bw_plan_work *work, uint32_t service,
			   const int64_t *reported);
static void load_reported_demand_(struct bw_plan_work *work, uint32_t service,
				  int64_t *reported);
static const uint32_t *reported_demand_(const struct bw_plan_work *work,
					uint32_t service, uint32_t site,
					double *scale);
static double median_demand_(const struct bw_plan_problem *p, uint32_t region,
			     const uint32_t *const *site_demand);
static void estimate_unreported_(const struct bw_plan_work *work,
				 uint32_t service, int64_t *demand);

void bw_plan_load_demand(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan_problem *p = &work->problem;
	int64_t reported[BW_PLAN_REGIONS_MAX];
	int64_t capacity = 0, nominal;
	uint32_t i, r;

	for (r = 0; r < p->region_count; r++)
		work->fresh_share[r] = bw_plan_fresh_share(work, service, r);
	load_reported_demand_(work, service, reported);
	raise_weights_(work, service, reported);
	/*
	 * Until reports show the last step, reported demand does not correspond
	 * to the shares.
	 */
	if (bw_plan_is_step_visible(work, service))
		raise_weights_(work, service, p->demand);
	estimate_unreported_(work, service, p->demand);
	for (i = 0; i < p->site_count; i++)
		capacity += p->capacity[i];
	nominal = capacity / NOMINAL_DEMAND_DIVISOR + 1;
	for (r = 0; r < p->region_count; r++) {
		if (p->demand[r] < nominal)
			p->demand[r] = nominal;
	}
}

/*
 * Weights take the largest value that any interpretation of the reports
 * implies, so that a shift stays within the cap under each of them. Reported
 * demand is compared with all demand, including the estimate for domains
 * without fresh reports.
 */
static void raise_weights_(struct bw_plan_work *work, uint32_t service,
			   const int64_t *reported)
{
	uint32_t regions = work->problem.region_count;
	uint16_t *weights = work->plan->weights + (size_t)service * regions;
	int64_t demand[BW_PLAN_REGIONS_MAX];
	uint32_t r, weight = BW_PLAN_WEIGHT_TOTAL / regions + 1;
	int64_t total = 0;

	memcpy(demand, reported, regions * sizeof(*demand));
	estimate_unreported_(work, service, demand);
	for (r = 0; r < regions; r++)
		total += demand[r];
	for (r = 0; r < regions; r++) {
		if (total)
			weight =
				(uint32_t)((reported[r] * BW_PLAN_WEIGHT_TOTAL +
					    total - 1) /
					   total);
		if (weight > weights[r])
			weights[r] = (uint16_t)weight;
	}
}

/*
 * Demand that a domain reported counts while its shares are held, and only from
 * sites of the service. What one site reports is limited by what the others
 * imply, so that a false report neither displaces the demand of other regions
 * nor makes the plan oscillate.
 */
static void load_reported_demand_(struct bw_plan_work *work, uint32_t service,
				  int64_t *reported)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	struct bw_plan_problem *p = &work->problem;
	const uint32_t **site_demand = p->reported_demand;
	double scale[BW_PLAN_DOMAINS_MAX];
	double median, demand, limit;
	uint32_t i, r;

	for (i = 0; i < entry->site_count; i++)
		site_demand[i] = reported_demand_(work, service, i, &scale[i]);
	for (r = 0; r < p->region_count; r++) {
		const uint16_t *row = p->current + (size_t)r * p->site_count;

		p->demand[r] = 0;
		reported[r] = 0;
		median = median_demand_(p, r, site_demand);
		for (i = 0; i < entry->site_count; i++) {
			if (!site_demand[i])
				continue;
			reported[r] += site_demand[i][r];
			limit = median *
				(CONFIRMED_FACTOR * row[i] + CONFIRMED_EXTRA) /
				BW_PLAN_SHARE_TOTAL;
			demand = site_demand[i][r];
			/* Only confirmed demand may exceed the slots. */
			if (median <= 0 || demand > limit)
				demand *= scale[i];
			if (median > 0 && demand > limit)
				demand = limit;
			p->demand[r] += (int64_t)demand;
		}
	}
}

/*
 * Returns the demand that a site reports, by region, or NULL for none. scale
 * receives the factor that limits the sum where no other site confirms it.
 */
static const uint32_t *reported_demand_(const struct bw_plan_work *work,
					uint32_t service, uint32_t site,
					double *scale)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	uint32_t domain = work->plan->sites[entry->site_begin + site];
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);
	const struct bw_sheet_service *declared =
		&work->sheet->services[service];
	const uint32_t *demand;
	double sum = 0, limit;
	uint32_t r;

	if (!report || !report->known || report->age_ms > BW_PLAN_HOLD_MS)
		return NULL;
	demand = report->services[service].demand;
	*scale = 1;
	if (!demand || site >= declared->placements_count)
		return demand;
	for (r = 0; r < work->problem.region_count; r++)
		sum += demand[r];
	limit = 1000.0 * UNCONFIRMED_FACTOR *
		declared->placements[site].targets *
		declared->placements[site].slots_per_target;
	if (sum > limit)
		*scale = limit / sum;
	return demand;
}

/*
 * Returns the demand of a region that its sites imply by what they report: the
 * median weighted by share, but no more than at least two sites imply. A flood
 * that several sites report is not limited by their slots, else links would
 * carry more than planned. Returns 0 when fewer than two sites can be compared.
 */
static double median_demand_(const struct bw_plan_problem *p, uint32_t region,
			     const uint32_t *const *site_demand)
{
	const uint16_t *row = p->current + (size_t)region * p->site_count;
	double implied[BW_PLAN_DOMAINS_MAX];
	uint32_t share[BW_PLAN_DOMAINS_MAX];
	uint32_t count = 0, sum = 0, i, k;
	double value;

	for (i = 0; i < p->site_count; i++) {
		if (!site_demand[i] || !row[i])
			continue;
		value = (double)site_demand[i][region] * BW_PLAN_SHARE_TOTAL /
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
	const struct bw_plan_service *entry = &work->plan->services[service];

	return !entry->last_step_ms ||
	       work->now_ms - entry->last_step_ms >=
		       (int64_t)work->limits.ttl_ms + BW_PLAN_REPORT_LAG_MS;
}

uint32_t bw_plan_fresh_share(const struct bw_plan_work *work, uint32_t service,
			     uint32_t region)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	const uint16_t *row = bw_plan_shares(work->plan, service, region);
	const struct bw_plan_report *report;
	uint32_t stale = 0, i;

	for (i = 0; i < entry->site_count; i++) {
		report = bw_plan_domain_report(
			work, work->plan->sites[entry->site_begin + i]);
		if (report && (!report->known ||
			       report->age_ms > BW_PLAN_REPORT_FRESH_MS))
			stale += row[i];
	}
	return BW_PLAN_SHARE_TOTAL - stale;
}

/*
 * Demand that goes to domains without fresh reports is not reported. A row is
 * assumed to have the demand that was last reported completely, but no more
 * than its reported fraction implies if callers do not fall back to other
 * domains. A new leader, which has no complete demand yet, estimates it from
 * the ratio of the weights.
 */
static void estimate_unreported_(const struct bw_plan_work *work,
				 uint32_t service, int64_t *demand)
{
	uint32_t regions = work->problem.region_count;
	uint32_t *complete =
		work->plan->last_complete_demand + (size_t)service * regions;
	const uint16_t *weights =
		work->plan->weights + (size_t)service * regions;
	bool step_visible = bw_plan_is_step_visible(work, service);
	const uint32_t *fresh_share = work->fresh_share;
	int64_t fresh_demand = 0, fresh_weight = 0, estimate, implied;
	uint32_t r;

	for (r = 0; r < regions; r++) {
		if (fresh_share[r] < BW_PLAN_SHARE_TOTAL)
			continue;
		fresh_demand += demand[r];
		fresh_weight += weights[r];
		if (step_visible)
			complete[r] = (uint32_t)demand[r];
	}
	for (r = 0; r < regions; r++) {
		if (fresh_share[r] == BW_PLAN_SHARE_TOTAL)
			continue;
		estimate = complete[r];
		if (!estimate && fresh_weight)
			estimate = fresh_demand * weights[r] / fresh_weight;
		implied = estimate;
		if (fresh_share[r] && step_visible)
			implied = demand[r] * BW_PLAN_SHARE_TOTAL /
				  fresh_share[r];
		estimate = estimate < implied ? estimate : implied;
		if (demand[r] < estimate)
			demand[r] = estimate;
	}
}
