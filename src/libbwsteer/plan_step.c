#include <math.h>
#include <string.h>

#include "private/plan_internal.h"

/*
 * Gains below these fractions of the service's demand or latency do not justify
 * a step. A shift in progress ends at the lower threshold, so that noise in the
 * reports does not start new shifts.
 */
#define EXCESS_START 0.02
#define EXCESS_END 0.005
#define LATENCY_START 0.05
#define LATENCY_END 0.01
#define IMBALANCE_START 0.15
#define IMBALANCE_END 0.05
#define OVERLOAD_START 0.05
#define OVERLOAD_END 0.02

/* Minimum improvements of overload or imbalance, and of latency. */
#define IMPROVEMENT_MIN 0.02
#define LATENCY_GAIN_MIN_MS 0.5

/*
 * A step uses at least this fraction of the cap unless less is needed. Many
 * small steps would each delay the next one until their effect is visible.
 */
#define STEP_CAP_DIVISOR 4

/*
 * Factor on the amount of a shift, because the demand that weights it is known
 * only from reports: rounding and lost reports change it by some percent.
 */
#define AMOUNT_MARGIN 1.05

/** Steps in which a weight decays from its maximum to 0. */
#define DECAY_STEPS 250

/** Attempts to round a step to shares that the ledger allows. */
#define ROUNDING_ATTEMPTS 4

/** Measures of how well rows of shares solve a problem. */
struct quality {
	double demand; /* milli-slots */
	double excess; /* load beyond site or link capacity */
	double drained; /* load on drained sites */
	double missing; /* load on sites without reports */
	double latency_ms; /* mean */
	double overload; /* largest load beyond the capacity of a site */
	double imbalance; /* largest fraction of a region's load
			     that is not split by capacity */
};

static void advance_clock_(struct bw_plan *plan, int64_t wall_ms);
static void update_missing_since_(struct bw_plan_work *work);
static void compute_used_link_load_(struct bw_plan_work *work);
static bool place_new_rows_(struct bw_plan_work *work, uint32_t service);
static bool row_is_new_(const struct bw_plan_problem *problem, uint32_t row);
static void clear_link_loads_(const struct bw_plan_work *work, double *load);
static bool is_due_(const struct bw_plan_work *work, uint32_t service);
static bool step_service_(struct bw_plan_work *work, uint32_t service);
static enum bw_shift_event evaluate_shift_(struct bw_plan_work *work,
					   uint32_t service, bool usable,
					   double *fraction);
static bool apply_shift_(struct bw_plan_work *work, uint32_t service,
			 double fraction);
static void update_link_loads_(struct bw_plan_work *work, uint32_t service,
			       bool planned);
static void estimate_link_loads_(struct bw_plan_work *work);
static double link_fraction_(const struct bw_plan_work *work);
static void measure_quality_(const struct bw_plan_work *work,
			     const uint16_t *rows, const double *link_load,
			     struct quality *quality);
static void measure_sites_(const struct bw_plan_problem *problem,
			   const double *load, struct quality *quality);
static double site_latency_ms_(const struct bw_plan_problem *problem,
			       uint32_t region, uint32_t site);
static bool is_sufficient_gain_(const struct quality *current,
				const struct quality *target, bool moving);
static double row_variation_(const struct bw_plan_problem *problem,
			     const uint16_t *rows, uint32_t row);
static double max_shift_amount_(const struct bw_plan_problem *problem,
				const uint16_t *rows);
static void correct_ledger_(struct bw_plan_work *work, uint32_t service);
static void round_row_(const struct bw_plan_problem *problem, uint32_t row,
		       double fraction, uint16_t *out);
static void decay_weights_(const struct bw_plan_work *work);

enum bw_status bw_plan_step(struct bw_plan *plan, const struct bw_sheet *sheet,
			    const struct bw_plan_report *reports,
			    int64_t now_ms, bool *changed)
{
	struct bw_plan_work work = { .plan = plan,
				     .sheet = sheet,
				     .reports = reports };
	enum bw_status status;
	uint32_t i;

	*changed = false;
	advance_clock_(plan, now_ms);
	work.now_ms = plan->clock_ms;
	work.wall_ms = now_ms;
	status = bw_plan_adopt(plan, sheet, changed);
	if (status != BW_OK)
		return status;
	work.limits = bw_plan_limits(plan);
	status = bw_plan_work_init(&work);
	if (status != BW_OK)
		goto out;
	plan->step_count++;
	update_missing_since_(&work);
	decay_weights_(&work);
	for (i = 0; i < plan->service_count; i++)
		*changed |= place_new_rows_(&work, i);
	compute_used_link_load_(&work);
	for (i = 0; i < plan->service_count; i++)
		*changed |= step_service_(&work, work.service_order[i]);
out:
	if (*changed)
		plan->version++;
	bw_plan_work_finish(&work);
	return status;
}

/*
 * The plan has its own clock, which follows the wall clock as long as that
 * advances in ordinary steps. A step back, a jump forward or a change of leader
 * can only slow it down, so that no shift leaves the ledger early.
 */
static void advance_clock_(struct bw_plan *plan, int64_t wall_ms)
{
	int64_t passed_ms = plan->wall_ms ? wall_ms - plan->wall_ms : 0;

	if (passed_ms > BW_PLAN_STEP_MAX_MS)
		passed_ms = BW_PLAN_STEP_MAX_MS;
	if (passed_ms > 0)
		plan->clock_ms += passed_ms;
	if (!plan->clock_ms)
		plan->clock_ms = wall_ms > 0 ? wall_ms : 1;
	plan->wall_ms = wall_ms;
}

/*
 * A domain is missing since its last report. The time must not restart when the
 * host drops that report from its table, else the shares would be held again.
 */
static void update_missing_since_(struct bw_plan_work *work)
{
	const struct bw_plan_report *report;
	int64_t *since;
	uint32_t i;

	for (i = 0; i < work->sheet->domains_count; i++) {
		report = &work->reports[i];
		since = &work->plan->missing_since_ms[i];
		if (report->known && report->age_ms <= BW_PLAN_REPORT_FRESH_MS)
			*since = 0;
		else if (report->known)
			*since = work->now_ms - (int64_t)report->age_ms;
		else if (!*since)
			*since = work->now_ms;
	}
}

/*
 * Weights decay unless the demand is reported again. They do so slowly, because
 * a failing domain may report no demand for a few seconds before its reports
 * stop, but a flood that has passed must not slow down later shifts. The weight
 * of a row with a share on domains without fresh reports does not decay.
 */
static void decay_weights_(const struct bw_plan_work *work)
{
	struct bw_plan *plan = work->plan;
	uint16_t decay = BW_PLAN_WEIGHT_TOTAL / DECAY_STEPS;
	uint16_t *weight = plan->weights;
	uint32_t s, r;

	for (s = 0; s < plan->service_count; s++) {
		for (r = 0; r < plan->region_count; r++, weight++) {
			if (bw_plan_fresh_share(work, s, r) <
			    BW_PLAN_SHARE_TOTAL)
				continue;
			*weight -= *weight < decay ? *weight : decay;
		}
	}
}

/* Rows that carry no traffic yet are set at once and are not shifts. */
static bool place_new_rows_(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan_problem *p = &work->problem;
	uint16_t *shares =
		work->plan->shares + work->plan->services[service].share_begin;
	bool any_new = false;
	uint32_t r;

	p->site_count = work->plan->services[service].site_count;
	p->current = shares;
	for (r = 0; r < work->plan->region_count; r++)
		any_new |= row_is_new_(p, r);
	if (!any_new)
		return false;
	bw_plan_work_load(work, service, true);
	bw_plan_target(p);
	for (r = 0; r < p->region_count; r++) {
		if (!row_is_new_(p, r))
			continue;
		round_row_(p, r, 1, shares + (size_t)r * p->site_count);
	}
	/* Later services may use only the remaining link capacity. */
	bw_plan_add_link_load(p, shares, 1, work->links.reserved_kbit);
	return true;
}

static bool row_is_new_(const struct bw_plan_problem *p, uint32_t row)
{
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (p->current[row * p->site_count + i])
			return false;
	}
	return true;
}

static void compute_used_link_load_(struct bw_plan_work *work)
{
	struct bw_plan_links *links = &work->links;
	uint32_t i;

	for (i = 0; i < links->link_count; i++)
		links->reserved_kbit[i] = 0;
	for (i = 0; i < work->plan->service_count; i++) {
		bw_plan_work_load(work, i, false);
		bw_plan_add_link_load(&work->problem, work->problem.current, 1,
				      links->used_kbit);
	}
}

static void clear_link_loads_(const struct bw_plan_work *work, double *load)
{
	uint32_t k;

	for (k = 0; k < work->service_link_count; k++)
		load[work->service_links[k]] = 0;
}

/*
 * Returns whether the shares of a service may change in this step. The link
 * load of the other services counts in every step, so that limits do not depend
 * on which services are due.
 */
static bool is_due_(const struct bw_plan_work *work, uint32_t service)
{
	const struct bw_plan *plan = work->plan;
	uint32_t group_count =
		(plan->service_count + BW_PLAN_SERVICES_PER_STEP - 1) /
		BW_PLAN_SERVICES_PER_STEP;

	return service % group_count == plan->step_count % group_count;
}

static bool step_service_(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan_service *entry = &work->plan->services[service];
	bool usable = bw_plan_work_load(work, service, false);
	struct bw_chart_step step;
	enum bw_shift_event event;
	double fraction = 0;
	bool moved = false;

	clear_link_loads_(work, work->current_link_kbit);
	bw_plan_add_link_load(&work->problem, work->problem.current, 1,
			      work->current_link_kbit);
	if (!is_due_(work, service)) {
		update_link_loads_(work, service, false);
		return false;
	}
	event = evaluate_shift_(work, service, usable, &fraction);
	if (bw_chart_next(work->plan->chart, entry->state, event, &step) ==
	    BW_OK) {
		entry->state = step.state;
		if (step.action == BW_SHIFT_ACTION_MOVE)
			moved = apply_shift_(work, service, fraction);
	}
	update_link_loads_(work, service,
			   event == BW_SHIFT_GAIN ||
				   event == BW_SHIFT_CAP_REACHED);
	return moved;
}

static enum bw_shift_event evaluate_shift_(struct bw_plan_work *work,
					   uint32_t service, bool usable,
					   double *fraction)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	struct bw_plan_problem *p = &work->problem;
	struct quality current, target;
	double amount, available, min_step;

	if (!usable)
		return BW_SHIFT_REPORTS_MISSING;
	if (!bw_plan_is_step_visible(work, service))
		return BW_SHIFT_EFFECT_PENDING;
	correct_ledger_(work, service);
	bw_plan_target(p);
	clear_link_loads_(work, work->target_link_kbit);
	bw_plan_add_link_load(p, NULL, 1, work->target_link_kbit);
	measure_quality_(work, p->current, work->current_link_kbit, &current);
	measure_quality_(work, NULL, work->target_link_kbit, &target);
	if (!is_sufficient_gain_(&current, &target,
				 entry->state != BW_SHIFT_SETTLED))
		return BW_SHIFT_NO_GAIN;
	if (bw_plan_target_lost_first(p)) {
		clear_link_loads_(work, work->target_link_kbit);
		bw_plan_add_link_load(p, NULL, 1, work->target_link_kbit);
	}
	amount = max_shift_amount_(p, NULL);
	if (amount < (double)BW_SHIFT_ALL_TRAFFIC / BW_PLAN_SHARE_TOTAL)
		return BW_SHIFT_NO_GAIN;
	available = bw_shift_ledger_available(&entry->ledger, &work->limits,
					      work->now_ms);
	min_step = (double)work->limits.cap / STEP_CAP_DIVISOR;
	if (available < min_step && available < amount)
		return BW_SHIFT_CAP_REACHED;
	*fraction = available < amount ? available / amount : 1;
	estimate_link_loads_(work);
	if (link_fraction_(work) < *fraction)
		*fraction = link_fraction_(work);
	return *fraction > 0 ? BW_SHIFT_GAIN : BW_SHIFT_CAP_REACHED;
}

/* Computes the link load of the current shares from estimated demand only. */
static void estimate_link_loads_(struct bw_plan_work *work)
{
	const struct bw_plan_problem *p = &work->problem;
	size_t size = (size_t)p->region_count * p->site_count;

	memcpy(work->rows, p->current, size * sizeof(*work->rows));
	clear_link_loads_(work, work->estimated_link_kbit);
	bw_plan_add_link_load(p, work->rows, 1, work->estimated_link_kbit);
}

/*
 * Returns the fraction of the shift to the target for which all links have
 * capacity now. Where a link carries more than estimated, the shift is expected
 * to add more in the same ratio.
 */
static double link_fraction_(const struct bw_plan_work *work)
{
	const struct bw_plan_links *links = &work->links;
	double fraction = 1, current, planned, added_kbit, available_kbit;
	uint32_t i, k;

	for (k = 0; k < work->service_link_count; k++) {
		i = work->service_links[k];
		current = work->current_link_kbit[i];
		planned = work->estimated_link_kbit[i];
		added_kbit = work->target_link_kbit[i] - planned;
		if (current > planned && planned > 0)
			added_kbit *= current / planned;
		available_kbit = links->limit_kbit[i] - links->used_kbit[i];
		if (added_kbit <= 0 || added_kbit <= available_kbit)
			continue;
		if (available_kbit <= 0)
			return 0;
		if (available_kbit / added_kbit < fraction)
			fraction = available_kbit / added_kbit;
	}
	return fraction;
}

static bool apply_shift_(struct bw_plan_work *work, uint32_t service,
			 double fraction)
{
	struct bw_plan_service *entry = &work->plan->services[service];
	const struct bw_plan_problem *p = &work->problem;
	uint32_t available = bw_shift_ledger_available(
		&entry->ledger, &work->limits, work->now_ms);
	uint16_t *moves =
		work->plan->last_moves + (size_t)service * p->region_count;
	size_t size = (size_t)p->region_count * p->site_count;
	uint32_t attempt, r;
	double amount;

	for (attempt = 0; attempt < ROUNDING_ATTEMPTS; attempt++) {
		for (r = 0; r < p->region_count; r++)
			round_row_(p, r, fraction,
				   work->rows + (size_t)r * p->site_count);
		amount = ceil(max_shift_amount_(p, work->rows));
		if (amount <= available)
			break;
		fraction *= 0.9;
	}
	if (attempt == ROUNDING_ATTEMPTS || amount <= 0)
		return false;
	for (r = 0; r < p->region_count; r++)
		moves[r] = (uint16_t)(2 * BW_PLAN_SHARE_TOTAL *
					      row_variation_(p, work->rows, r) +
				      0.5);
	memcpy(work->plan->shares + entry->share_begin, work->rows,
	       size * sizeof(*work->rows));
	bw_shift_ledger_add(&entry->ledger, &work->limits, work->now_ms,
			    (uint32_t)amount);
	entry->last_step_ms = work->now_ms;
	return true;
}

/*
 * Replaces the link load of the service's former shares by that of its new
 * ones, and reserves for it the larger of this and, if planned, the load of its
 * target.
 */
static void update_link_loads_(struct bw_plan_work *work, uint32_t service,
			       bool planned)
{
	struct bw_plan_links *links = &work->links;
	const struct bw_plan_problem *p = &work->problem;
	uint32_t i, k;

	for (k = 0; k < work->service_link_count; k++) {
		i = work->service_links[k];
		links->used_kbit[i] -= work->current_link_kbit[i];
		work->current_link_kbit[i] = 0;
	}
	bw_plan_add_link_load(p,
			      work->plan->shares +
				      work->plan->services[service].share_begin,
			      1, work->current_link_kbit);
	for (k = 0; k < work->service_link_count; k++) {
		i = work->service_links[k];
		double required_kbit = work->current_link_kbit[i];

		links->used_kbit[i] += required_kbit;
		if (planned && work->target_link_kbit[i] > required_kbit)
			required_kbit = work->target_link_kbit[i];
		links->reserved_kbit[i] += required_kbit;
	}
}

static void measure_quality_(const struct bw_plan_work *work,
			     const uint16_t *rows, const double *link_load,
			     struct quality *quality)
{
	const struct bw_plan_problem *p = &work->problem;
	const struct bw_plan_links *links = &work->links;
	double load[BW_PLAN_DOMAINS_MAX] = { 0 };
	double site_load, excess;
	uint32_t r, i, k, index;

	memset(quality, 0, sizeof(*quality));
	for (r = 0; r < p->region_count; r++) {
		quality->demand += (double)p->demand[r];
		for (i = 0; i < p->site_count; i++) {
			index = r * p->site_count + i;
			site_load = (rows ? rows[index] : p->target[index]) *
				    (double)p->demand[r] / BW_PLAN_SHARE_TOTAL;
			load[i] += site_load;
			quality->latency_ms +=
				site_load * site_latency_ms_(p, r, i);
		}
	}
	quality->latency_ms /= quality->demand;
	measure_sites_(p, load, quality);
	for (k = 0; k < work->service_link_count; k++) {
		i = work->service_links[k];
		excess = links->used_kbit[i] - work->current_link_kbit[i] +
			 link_load[i] - links->limit_kbit[i];
		excess = excess < link_load[i] ? excess : link_load[i];
		if (excess > 0 && p->kbit_per_milli_slot > 0)
			quality->excess += excess / p->kbit_per_milli_slot;
	}
}

static void measure_sites_(const struct bw_plan_problem *p, const double *load,
			   struct quality *quality)
{
	double region_load[BW_PLAN_REGIONS_MAX] = { 0 };
	double region_capacity[BW_PLAN_REGIONS_MAX] = { 0 };
	double deviation[BW_PLAN_REGIONS_MAX] = { 0 };
	uint32_t i, g;
	double even_load;

	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] == BW_SITE_DRAINED)
			quality->drained += load[i];
		if (p->site_class[i] == BW_SITE_MISSING)
			quality->missing += load[i];
		if (p->site_class[i] != BW_SITE_HELD &&
		    load[i] > (double)p->capacity[i])
			quality->excess += load[i] - (double)p->capacity[i];
		if (p->site_class[i] != BW_SITE_USABLE)
			continue;
		region_load[p->site_region[i]] += load[i];
		region_capacity[p->site_region[i]] += (double)p->capacity[i];
	}
	for (i = 0; i < p->site_count; i++) {
		g = p->site_region[i];
		if (p->site_class[i] != BW_SITE_USABLE ||
		    region_capacity[g] <= 0)
			continue;
		even_load = region_load[g] * (double)p->capacity[i] /
			    region_capacity[g];
		deviation[g] += fabs(load[i] - even_load) / 2;
		/* The imbalance of regions with little load is noise. */
		if (region_load[g] > region_capacity[g] * IMBALANCE_START &&
		    deviation[g] / region_load[g] > quality->imbalance)
			quality->imbalance = deviation[g] / region_load[g];
		if (p->capacity[i] > 0 &&
		    load[i] / (double)p->capacity[i] - 1 > quality->overload)
			quality->overload =
				load[i] / (double)p->capacity[i] - 1;
	}
}

static double site_latency_ms_(const struct bw_plan_problem *p, uint32_t region,
			       uint32_t site)
{
	if (p->site_region[site] == BW_SHEET_NONE)
		return 0;
	return p->links->latency_ms[region * p->links->region_count +
				    p->site_region[site]];
}

static bool is_sufficient_gain_(const struct quality *current,
				const struct quality *target, bool moving)
{
	double demand = current->demand;
	double excess_gain = current->excess - target->excess;
	double latency_gain = current->latency_ms - target->latency_ms;

	if (current->drained > 0 && target->drained < current->drained * 0.999)
		return true;
	/* Even a small share left on a missing site sends callers there. */
	if (current->missing > 0 && target->missing < current->missing * 0.999)
		return true;
	if (excess_gain > demand * (moving ? EXCESS_END : EXCESS_START))
		return true;
	if (excess_gain < -demand * EXCESS_END)
		return false;
	if (current->overload > (moving ? OVERLOAD_END : OVERLOAD_START) &&
	    target->overload < current->overload - IMPROVEMENT_MIN)
		return true;
	if (latency_gain >= LATENCY_GAIN_MIN_MS &&
	    latency_gain > current->latency_ms *
				   (moving ? LATENCY_END : LATENCY_START))
		return true;
	return latency_gain > -LATENCY_GAIN_MIN_MS &&
	       current->imbalance >
		       (moving ? IMBALANCE_END : IMBALANCE_START) &&
	       target->imbalance < current->imbalance - IMPROVEMENT_MIN;
}

/*
 * Returns the fraction of a row that changes. If rows is NULL, the row is
 * compared with the target.
 */
static double row_variation_(const struct bw_plan_problem *p,
			     const uint16_t *rows, uint32_t row)
{
	double sum = 0;
	uint32_t i, index;

	for (i = 0; i < p->site_count; i++) {
		index = row * p->site_count + i;
		sum += fabs((rows ? rows[index] : p->target[index]) -
			    p->current[index]);
	}
	return sum / 2 / BW_PLAN_SHARE_TOTAL;
}

/*
 * Returns the maximum traffic that a shift can move, however demand is divided
 * between the regions: a flood may have started after the reports were
 * measured.
 */
static double max_shift_amount_(const struct bw_plan_problem *p,
				const uint16_t *rows)
{
	double max_variation = 0, variation;
	uint32_t r;

	for (r = 0; r < p->region_count; r++) {
		variation = row_variation_(p, rows, r);
		max_variation = variation > max_variation ? variation
							  : max_variation;
	}
	return max_variation * BW_SHIFT_ALL_TRAFFIC;
}

/*
 * The ledger records a step with the maximum amount that it can move. Once
 * reports show the step, this lowers the entry to the amount that follows from
 * the reported demand.
 */
static void correct_ledger_(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan_service *entry = &work->plan->services[service];
	uint32_t regions = work->plan->region_count;
	uint16_t *moves = work->plan->last_moves + (size_t)service * regions;
	const uint16_t *weights =
		work->plan->weights + (size_t)service * regions;
	double amount = 0;
	uint32_t r;

	for (r = 0; r < regions; r++) {
		amount += (double)moves[r] * weights[r];
		moves[r] = 0;
	}
	if (amount <= 0)
		return;
	amount *= AMOUNT_MARGIN * BW_SHIFT_ALL_TRAFFIC / BW_PLAN_WEIGHT_TOTAL /
		  (2.0 * BW_PLAN_SHARE_TOTAL);
	bw_shift_ledger_lower(&entry->ledger, entry->last_step_ms,
			      (uint32_t)ceil(amount));
}

/*
 * Rounds a row after the given fraction of the shift to the target. The shares
 * with the largest remainders are rounded up.
 */
static void round_row_(const struct bw_plan_problem *p, uint32_t row,
		       double fraction, uint16_t *out)
{
	const double *target = p->target + (size_t)row * p->site_count;
	const uint16_t *current = p->current + (size_t)row * p->site_count;
	bool is_new = row_is_new_(p, row);
	double exact[BW_PLAN_DOMAINS_MAX];
	uint32_t sum = 0, i, best;

	for (i = 0; i < p->site_count; i++) {
		exact[i] = is_new ? target[i]
				  : current[i] +
					    fraction * (target[i] - current[i]);
		out[i] = (uint16_t)(exact[i] + 1e-6);
		sum += out[i];
	}
	for (; sum < BW_PLAN_SHARE_TOTAL; sum++) {
		best = 0;
		for (i = 1; i < p->site_count; i++) {
			if (exact[i] - out[i] > exact[best] - out[best])
				best = i;
		}
		out[best]++;
	}
}
