#include "private/plan_target.h"

#include <string.h>

#define UNLIMITED (INT64_MAX / 4)

/*
 * Cost of a pair of regions without a declared link: above every declared
 * latency, so that such a pair is used last.
 */
#define NO_LINK_US 1000000

/*
 * Flow units per milli-slot. Fractions of the minimum demand assumed for a
 * region are smaller than a milli-slot.
 */
#define FLOW_SCALE 1000

/** Transportation problem: demand of caller regions to capacity of regions. */
struct flow {
	uint32_t region_count;
	/* Regions with usable sites; only they take flow. */
	uint32_t sinks[BW_PLAN_REGIONS_MAX];
	uint32_t sink_count;
	int64_t supply[BW_PLAN_REGIONS_MAX]; /* not placed yet */
	int64_t spare[BW_PLAN_REGIONS_MAX]; /* capacity not used yet */
	int64_t placed[BW_PLAN_REGIONS_MAX][BW_PLAN_REGIONS_MAX];
	/* Available link capacity by pair of caller region and sink. */
	int64_t pair_limit[BW_PLAN_REGIONS_MAX][BW_PLAN_REGIONS_MAX];
	int64_t cost[BW_PLAN_REGIONS_MAX][BW_PLAN_REGIONS_MAX];
};

/** Cheapest paths from regions with supply. */
struct paths {
	int64_t to_source[BW_PLAN_REGIONS_MAX];
	int64_t to_sink[BW_PLAN_REGIONS_MAX];
	uint32_t source_parent[BW_PLAN_REGIONS_MAX]; /* sink, or none */
	uint32_t sink_parent[BW_PLAN_REGIONS_MAX]; /* source */
};

static void flow_init_(struct flow *flow, const struct bw_plan_problem *p,
		       const double *pinned);
static void list_sinks_(struct flow *flow, const struct bw_plan_problem *p);
static void init_pair_(struct flow *flow, const struct bw_plan_problem *p,
		       uint32_t r, uint32_t g);
static void add_spare_(struct flow *flow, const struct bw_plan_problem *p,
		       bool beyond_ramp);
static void place_local_(struct flow *flow);
static void place_remote_(struct flow *flow);
static void find_paths_(const struct flow *flow, struct paths *paths);
static bool relax_sinks_(const struct flow *flow, struct paths *paths);
static bool relax_sources_(const struct flow *flow, struct paths *paths);
static uint32_t nearest_sink_(const struct flow *flow,
			      const struct paths *paths);
static void augment_(struct flow *flow, const struct paths *paths,
		     uint32_t sink);
static void pin_held_sites_(const struct bw_plan_problem *p, double *pinned);
static void split_by_capacity_(const struct bw_plan_problem *p,
			       const struct flow *flow);
static void place_excess_(const struct bw_plan_problem *p, uint32_t region,
			  double excess);
static bool has_no_capacity_(const struct bw_plan_problem *p, uint32_t site);
static double add_by_current_(const struct bw_plan_problem *p, uint32_t region,
			      bool without_capacity, double excess);
static bool add_by_capacity_(const struct bw_plan_problem *p, uint32_t region,
			     bool own_region_only, double excess);
static void scale_row_(const struct bw_plan_problem *p, uint32_t region);

void bw_plan_target(struct bw_plan_problem *p)
{
	struct flow flow;
	double pinned[BW_PLAN_REGIONS_MAX];
	uint32_t r;

	memset(p->target, 0,
	       sizeof(*p->target) * p->region_count * p->site_count);
	pin_held_sites_(p, pinned);
	flow_init_(&flow, p, pinned);
	add_spare_(&flow, p, false);
	place_local_(&flow);
	place_remote_(&flow);
	/*
	 * Demand that does not fit within the ramp may exceed it: the cap on
	 * shifts still bounds how much moves at once.
	 */
	add_spare_(&flow, p, true);
	place_local_(&flow);
	place_remote_(&flow);
	split_by_capacity_(p, &flow);
	for (r = 0; r < p->region_count; r++) {
		place_excess_(p, r, (double)flow.supply[r] / FLOW_SCALE);
		scale_row_(p, r);
	}
}

void bw_plan_add_link_load(const struct bw_plan_problem *p,
			   const uint16_t *rows, double sign, double *load)
{
	const struct bw_plan_links *links = p->links;
	uint32_t r, i, link;
	double share, site_load;

	for (r = 0; r < p->region_count; r++) {
		for (i = 0; i < p->site_count; i++) {
			if (p->site_region[i] == BW_SHEET_NONE)
				continue;
			link = links->link[r * links->region_count +
					   p->site_region[i]];
			if (link == BW_SHEET_NONE)
				continue;
			share = rows ? rows[r * p->site_count + i]
				     : p->target[r * p->site_count + i];
			site_load = share / BW_PLAN_SHARE_TOTAL *
				    (double)p->demand[r];
			if (rows == p->current && p->reported_demand[i] &&
			    p->reported_demand[i][r] > site_load)
				site_load = p->reported_demand[i][r];
			load[link] += sign * site_load * p->kbit_per_milli_slot;
		}
	}
}

/*
 * Held sites keep their current fraction of each region's demand. pinned
 * receives the sum by region.
 */
static void pin_held_sites_(const struct bw_plan_problem *p, double *pinned)
{
	uint32_t r, i, index;
	double amount;

	for (r = 0; r < p->region_count; r++) {
		pinned[r] = 0;
		for (i = 0; i < p->site_count; i++) {
			index = r * p->site_count + i;
			if (p->site_class[i] != BW_SITE_HELD)
				continue;
			amount = (double)p->demand[r] * p->current[index] /
				 BW_PLAN_SHARE_TOTAL;
			p->target[index] = amount;
			pinned[r] += amount;
		}
	}
}

static void flow_init_(struct flow *flow, const struct bw_plan_problem *p,
		       const double *pinned)
{
	uint32_t r, k;

	flow->region_count = p->region_count;
	list_sinks_(flow, p);
	for (r = 0; r < p->region_count; r++) {
		flow->supply[r] = (int64_t)(FLOW_SCALE * ((double)p->demand[r] -
							  pinned[r]) +
					    0.5);
		flow->spare[r] = 0;
		for (k = 0; k < flow->sink_count; k++)
			init_pair_(flow, p, r, flow->sinks[k]);
	}
}

static void list_sinks_(struct flow *flow, const struct bw_plan_problem *p)
{
	bool listed[BW_PLAN_REGIONS_MAX] = { false };
	uint32_t i, g;

	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] == BW_SITE_USABLE)
			listed[p->site_region[i]] = true;
	}
	flow->sink_count = 0;
	for (g = 0; g < p->region_count; g++) {
		if (listed[g])
			flow->sinks[flow->sink_count++] = g;
	}
}

static void init_pair_(struct flow *flow, const struct bw_plan_problem *p,
		       uint32_t r, uint32_t g)
{
	const struct bw_plan_links *links = p->links;
	uint32_t link = links->link[r * links->region_count + g];
	double spare_kbit;

	flow->placed[r][g] = 0;
	flow->pair_limit[r][g] = UNLIMITED;
	flow->cost[r][g] = r == g ? 0 : NO_LINK_US;
	if (link == BW_SHEET_NONE)
		return;
	flow->cost[r][g] =
		(int64_t)(1000 *
			  links->latency_ms[r * links->region_count + g]);
	spare_kbit = links->limit_kbit[link] - links->reserved_kbit[link];
	if (p->kbit_per_milli_slot > 0 &&
	    spare_kbit / p->kbit_per_milli_slot <
		    (double)UNLIMITED / FLOW_SCALE)
		flow->pair_limit[r][g] =
			spare_kbit > 0 ? (int64_t)(FLOW_SCALE * spare_kbit /
						   p->kbit_per_milli_slot)
				       : 0;
}

static void add_spare_(struct flow *flow, const struct bw_plan_problem *p,
		       bool beyond_ramp)
{
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] != BW_SITE_USABLE)
			continue;
		flow->spare[p->site_region[i]] +=
			FLOW_SCALE *
			(beyond_ramp ? p->capacity[i] - p->ramped_capacity[i]
				     : p->ramped_capacity[i]);
	}
}

static void place_local_(struct flow *flow)
{
	uint32_t k, r;
	int64_t amount;

	for (k = 0; k < flow->sink_count; k++) {
		r = flow->sinks[k];
		amount = flow->supply[r] < flow->spare[r] ? flow->supply[r]
							  : flow->spare[r];
		flow->placed[r][r] += amount;
		flow->supply[r] -= amount;
		flow->spare[r] -= amount;
	}
}

/*
 * Min-cost flow by successive cheapest paths. Each path exhausts the supply of
 * a region, the spare capacity of a region or a link.
 */
static void place_remote_(struct flow *flow)
{
	struct paths paths;
	uint32_t limit = 8 * flow->region_count;
	uint32_t sink;

	while (limit--) {
		find_paths_(flow, &paths);
		sink = nearest_sink_(flow, &paths);
		if (sink == BW_SHEET_NONE)
			return;
		augment_(flow, &paths, sink);
	}
}

static void find_paths_(const struct flow *flow, struct paths *paths)
{
	uint32_t round, r;

	for (r = 0; r < flow->region_count; r++) {
		paths->to_source[r] = flow->supply[r] > 0 ? 0 : UNLIMITED;
		paths->source_parent[r] = BW_SHEET_NONE;
		paths->to_sink[r] = UNLIMITED;
		paths->sink_parent[r] = BW_SHEET_NONE;
	}
	for (round = 0; round < flow->region_count; round++) {
		if (!relax_sinks_(flow, paths))
			return;
		if (!relax_sources_(flow, paths))
			return;
	}
}

static bool relax_sinks_(const struct flow *flow, struct paths *paths)
{
	uint32_t r, g, k;
	int64_t distance;
	bool changed = false;

	for (r = 0; r < flow->region_count; r++) {
		if (paths->to_source[r] >= UNLIMITED)
			continue;
		for (k = 0; k < flow->sink_count; k++) {
			g = flow->sinks[k];
			distance = paths->to_source[r] + flow->cost[r][g];
			if (distance >= paths->to_sink[g] ||
			    flow->placed[r][g] >= flow->pair_limit[r][g])
				continue;
			paths->to_sink[g] = distance;
			paths->sink_parent[g] = r;
			changed = true;
		}
	}
	return changed;
}

static bool relax_sources_(const struct flow *flow, struct paths *paths)
{
	uint32_t r, g, k;
	int64_t distance;
	bool changed = false;

	for (k = 0; k < flow->sink_count; k++) {
		g = flow->sinks[k];
		if (paths->to_sink[g] >= UNLIMITED)
			continue;
		for (r = 0; r < flow->region_count; r++) {
			distance = paths->to_sink[g] - flow->cost[r][g];
			if (!flow->placed[r][g] ||
			    distance >= paths->to_source[r])
				continue;
			paths->to_source[r] = distance;
			paths->source_parent[r] = g;
			changed = true;
		}
	}
	return changed;
}

static uint32_t nearest_sink_(const struct flow *flow,
			      const struct paths *paths)
{
	uint32_t best = BW_SHEET_NONE;
	uint32_t g, k;

	for (k = 0; k < flow->sink_count; k++) {
		g = flow->sinks[k];
		if (flow->spare[g] <= 0 || paths->to_sink[g] >= UNLIMITED)
			continue;
		if (best == BW_SHEET_NONE ||
		    paths->to_sink[g] < paths->to_sink[best])
			best = g;
	}
	return best;
}

static void augment_(struct flow *flow, const struct paths *paths,
		     uint32_t sink)
{
	int64_t amount = flow->spare[sink];
	uint32_t g, r;

	for (g = sink;; g = paths->source_parent[r]) {
		r = paths->sink_parent[g];
		if (flow->pair_limit[r][g] - flow->placed[r][g] < amount)
			amount = flow->pair_limit[r][g] - flow->placed[r][g];
		if (paths->source_parent[r] == BW_SHEET_NONE)
			break;
		if (flow->placed[r][paths->source_parent[r]] < amount)
			amount = flow->placed[r][paths->source_parent[r]];
	}
	if (flow->supply[r] < amount)
		amount = flow->supply[r];
	flow->supply[r] -= amount;
	flow->spare[sink] -= amount;
	for (g = sink;; g = paths->source_parent[r]) {
		r = paths->sink_parent[g];
		flow->placed[r][g] += amount;
		if (paths->source_parent[r] == BW_SHEET_NONE)
			break;
		flow->placed[r][paths->source_parent[r]] -= amount;
	}
}

/* Divides the flow into a region over its sites in proportion to capacity. */
static void split_by_capacity_(const struct bw_plan_problem *p,
			       const struct flow *flow)
{
	double region_flow[BW_PLAN_REGIONS_MAX] = { 0 };
	double ramped[BW_PLAN_REGIONS_MAX] = { 0 };
	double beyond_ramp[BW_PLAN_REGIONS_MAX] = { 0 };
	double fraction, flow_beyond_ramp;
	uint32_t r, g, i, k;

	for (r = 0; r < p->region_count; r++) {
		for (k = 0; k < flow->sink_count; k++) {
			g = flow->sinks[k];
			region_flow[g] +=
				(double)flow->placed[r][g] / FLOW_SCALE;
		}
	}
	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] != BW_SITE_USABLE)
			continue;
		g = p->site_region[i];
		ramped[g] += (double)p->ramped_capacity[i];
		beyond_ramp[g] +=
			(double)(p->capacity[i] - p->ramped_capacity[i]);
	}
	for (i = 0; i < p->site_count; i++) {
		g = p->site_region[i];
		if (p->site_class[i] != BW_SITE_USABLE || region_flow[g] <= 0)
			continue;
		fraction = (double)p->ramped_capacity[i];
		flow_beyond_ramp = region_flow[g] - ramped[g];
		if (flow_beyond_ramp > 0 && beyond_ramp[g] > 0)
			fraction += flow_beyond_ramp / beyond_ramp[g] *
				    (double)(p->capacity[i] -
					     p->ramped_capacity[i]);
		fraction /= flow_beyond_ramp > 0 ? region_flow[g] : ramped[g];
		for (r = 0; r < p->region_count; r++)
			p->target[r * p->site_count + i] +=
				fraction * (double)flow->placed[r][g] /
				FLOW_SCALE;
	}
}

static void place_excess_(const struct bw_plan_problem *p, uint32_t region,
			  double excess)
{
	uint32_t i;

	if (excess <= 0)
		return;
	excess = add_by_current_(p, region, true, excess);
	/* Excess is shed in its own region, where it loads no link. */
	if (excess <= 0 || add_by_capacity_(p, region, true, excess))
		return;
	excess = add_by_current_(p, region, false, excess);
	if (excess <= 0 || add_by_capacity_(p, region, false, excess))
		return;
	/* No site has capacity: keep the current shares, so nothing moves. */
	for (i = 0; i < p->site_count; i++) {
		uint32_t index = region * p->site_count + i;

		p->target[index] += excess * (p->current[index] + 0.001) /
				    BW_PLAN_SHARE_TOTAL;
	}
}

/* Returns whether a site can take no load according to the reports. */
static bool has_no_capacity_(const struct bw_plan_problem *p, uint32_t site)
{
	return p->site_class[site] == BW_SITE_MISSING ||
	       (p->site_class[site] == BW_SITE_USABLE && !p->capacity[site]);
}

/*
 * Keeps excess demand on its current sites. Sites without capacity keep at most
 * their current demand, so that it pushes no other site above its limit;
 * otherwise the sites with capacity take all of the excess. Returns the excess
 * that is not placed.
 */
static double add_by_current_(const struct bw_plan_problem *p, uint32_t region,
			      bool without_capacity, double excess)
{
	const uint16_t *row = p->current + (size_t)region * p->site_count;
	double *target = p->target + (size_t)region * p->site_count;
	double sum = 0, amount;
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (without_capacity ? has_no_capacity_(p, i)
				     : p->capacity[i] > 0)
			sum += row[i];
	}
	if (excess <= 0 || sum <= 0)
		return excess;
	amount = sum * (double)p->demand[region] / BW_PLAN_SHARE_TOTAL;
	if (!without_capacity || amount > excess)
		amount = excess;
	for (i = 0; i < p->site_count; i++) {
		if (without_capacity ? has_no_capacity_(p, i)
				     : p->capacity[i] > 0)
			target[i] += amount * row[i] / sum;
	}
	return excess - amount;
}

static bool add_by_capacity_(const struct bw_plan_problem *p, uint32_t region,
			     bool own_region_only, double excess)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] == BW_SITE_USABLE &&
		    (!own_region_only || p->site_region[i] == region))
			sum += (double)p->capacity[i];
	}
	if (sum <= 0)
		return false;
	for (i = 0; i < p->site_count; i++) {
		if (p->site_class[i] == BW_SITE_USABLE &&
		    (!own_region_only || p->site_region[i] == region))
			p->target[region * p->site_count + i] +=
				excess * (double)p->capacity[i] / sum;
	}
	return true;
}

static void scale_row_(const struct bw_plan_problem *p, uint32_t region)
{
	double *target = p->target + (size_t)region * p->site_count;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < p->site_count; i++)
		sum += target[i];
	for (i = 0; i < p->site_count; i++)
		target[i] =
			sum > 0 ? target[i] * BW_PLAN_SHARE_TOTAL / sum
				: (double)BW_PLAN_SHARE_TOTAL / p->site_count;
}
