#include "bwsteer/spread.h"

#include <string.h>

/** Load up to which requests rarely wait for a slot. */
#define LOAD_UNQUEUED 0.5

/**
 * Ratio of the load limit to the load of the service; the margin leaves
 * capacity for moves.
 */
#define LOAD_MARGIN 1.05

/** Intermediate result of the computation, per domain. */
struct allocation {
	double unplaced[BW_SPREAD_DOMAINS_MAX]; /**< demand not yet placed */
	double spare[BW_SPREAD_DOMAINS_MAX]; /**< slots below the load limit not
						yet used */
};

static double load_limit_(const struct bw_spread_domain *domains,
			  uint32_t count);
static void place_local_(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, struct allocation *allocation,
			 double *fractions);
static void place_remaining_(const struct bw_spread_domain *domains,
			     uint32_t count, uint32_t own, uint32_t region,
			     struct allocation *allocation, double *fractions);
static void normalise_(uint32_t count, double *fractions);
static uint32_t merge_regions_(const struct bw_spread_domain *domains,
			       uint32_t count, struct bw_spread_domain *regions,
			       uint32_t *region_of);

void bw_spread_by_region(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, double *fractions)
{
	struct bw_spread_domain regions[BW_SPREAD_DOMAINS_MAX] = { 0 };
	double region_fractions[BW_SPREAD_DOMAINS_MAX];
	uint32_t region_of[BW_SPREAD_DOMAINS_MAX] = { 0 };
	uint32_t region_count;
	uint32_t i;

	region_count = merge_regions_(domains, count, regions, region_of);
	bw_spread(regions, region_count, region_of[own], region_fractions);
	for (i = 0; i < count; i++) {
		uint32_t region = region_of[i];

		fractions[i] = 0.0;
		if (regions[region].slots > 0.0)
			fractions[i] = region_fractions[region] *
				       domains[i].slots / regions[region].slots;
	}
}

void bw_spread(const struct bw_spread_domain *domains, uint32_t count,
	       uint32_t own, double *fractions)
{
	struct allocation allocation;
	uint32_t region;

	memset(fractions, 0, count * sizeof(*fractions));
	place_local_(domains, count, own, &allocation, fractions);
	for (region = 0; region < count; region++)
		place_remaining_(domains, count, own, domains[region].region,
				 &allocation, fractions);
	place_remaining_(domains, count, own, UINT32_MAX, &allocation,
			 fractions);
	normalise_(count, fractions);
}

static double load_limit_(const struct bw_spread_domain *domains,
			  uint32_t count)
{
	double demand = 0.0;
	double slots = 0.0;
	double load_limit;
	uint32_t i;

	for (i = 0; i < count; i++) {
		demand += domains[i].demand_slots;
		slots += domains[i].slots;
	}
	if (slots <= 0.0)
		return LOAD_UNQUEUED;
	load_limit = LOAD_MARGIN * demand / slots;
	return load_limit > LOAD_UNQUEUED ? load_limit : LOAD_UNQUEUED;
}

static void place_local_(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, struct allocation *allocation,
			 double *fractions)
{
	double load_limit = load_limit_(domains, count);
	uint32_t i;

	for (i = 0; i < count; i++) {
		double limit = load_limit * domains[i].slots;
		double demand = domains[i].demand_slots;
		double local = demand < limit ? demand : limit;

		allocation->unplaced[i] = demand - local;
		allocation->spare[i] = limit - local;
		if (i == own)
			fractions[i] = local;
	}
	/*
	 * A domain without demand starts with its own servers, if it has any.
	 */
	if (domains[own].demand_slots <= 0.0 && domains[own].slots > 0.0)
		fractions[own] = 1.0;
	else if (domains[own].demand_slots <= 0.0)
		allocation->unplaced[own] = 1.0;
}

/*
 * Places the remaining demand of the domains of a region on their spare slots;
 * UINT32_MAX selects all domains.
 */
static void place_remaining_(const struct bw_spread_domain *domains,
			     uint32_t count, uint32_t own, uint32_t region,
			     struct allocation *allocation, double *fractions)
{
	double unplaced = 0.0;
	double spare = 0.0;
	double placed;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		unplaced += allocation->unplaced[i];
		spare += allocation->spare[i];
	}
	if (unplaced <= 0.0 || spare <= 0.0)
		return;
	placed = unplaced < spare ? unplaced : spare;
	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		if (region == UINT32_MAX || domains[own].region == region)
			fractions[i] += placed * allocation->unplaced[own] /
					unplaced * allocation->spare[i] / spare;
	}
	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		allocation->unplaced[i] *= 1.0 - placed / unplaced;
		allocation->spare[i] *= 1.0 - placed / spare;
	}
}

static void normalise_(uint32_t count, double *fractions)
{
	double total = 0.0;
	uint32_t i;

	for (i = 0; i < count; i++)
		total += fractions[i];
	for (i = 0; i < count && total > 0.0; i++)
		fractions[i] /= total;
}

/*
 * Adds up the domains of each region.
 * @param region_of receives the position of each domain's region
 * @return number of regions
 */
static uint32_t merge_regions_(const struct bw_spread_domain *domains,
			       uint32_t count, struct bw_spread_domain *regions,
			       uint32_t *region_of)
{
	uint32_t region_count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		for (k = 0; k < region_count; k++) {
			if (regions[k].region == domains[i].region)
				break;
		}
		if (k == region_count) {
			regions[k] = domains[i];
			region_count++;
		} else {
			regions[k].slots += domains[i].slots;
			regions[k].demand_slots += domains[i].demand_slots;
		}
		region_of[i] = k;
	}
	return region_count;
}
