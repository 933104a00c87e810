/**
 * @file
 * Target shares of one service: least latency within capacity and link limits.
 */
#ifndef BWSTEER_PRIVATE_PLAN_TARGET_H
#define BWSTEER_PRIVATE_PLAN_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "bwsteer/plan.h"

/** What the planner may do with a site. */
enum bw_site_class {
	BW_SITE_USABLE, /**< up to its capacity */
	BW_SITE_HELD, /**< keeps its shares for now: no fresh report */
	BW_SITE_MISSING, /**< without reports; loses its shares when there is
			    room elsewhere */
	BW_SITE_DRAINED /**< loses all its shares */
};

/** Links between regions; matrices have region_count rows and columns. */
struct bw_plan_links {
	uint32_t region_count;
	uint32_t link_count;
	uint32_t *link; /**< matrix of link indices, BW_SHEET_NONE: none */
	double *latency_ms; /**< matrix, one way */
	double *limit_kbit; /**< by link, per second */
	double *used_kbit; /**< by link: load of the shares in force */
	double *reserved_kbit; /**< by link: needed by services of higher worth
				*/
};

/** The planning problem of one service. Slots are in milli-slots. */
struct bw_plan_problem {
	struct bw_plan_links *links;
	uint32_t region_count;
	uint32_t site_count;
	uint32_t site_region[BW_PLAN_DOMAINS_MAX]; /**< may be BW_SHEET_NONE */
	enum bw_site_class site_class[BW_PLAN_DOMAINS_MAX];
	int64_t capacity[BW_PLAN_DOMAINS_MAX]; /**< within the load limit */
	/** Part of capacity that is usable in this step. */
	int64_t ramped_capacity[BW_PLAN_DOMAINS_MAX];
	int64_t demand[BW_PLAN_REGIONS_MAX]; /**< greater than zero */
	/** By site: reported demand by region, NULL: none. The load of a link
	 *  is at least the demand that is reported to arrive over it. */
	const uint32_t *reported_demand[BW_PLAN_DOMAINS_MAX];
	double kbit_per_milli_slot; /**< link load, per second */
	const uint16_t *current; /**< rows of shares; new rows are all zero */
	double *target; /**< receives rows of shares */
};

/**
 * Computes target shares. Demand beyond the capacity of the usable sites stays
 * on missing sites, then goes to the usable sites of its own region, then stays
 * on its current sites, then is spread by capacity.
 */
void bw_plan_target(struct bw_plan_problem *problem);

/**
 * Adds the link load of rows of shares, times sign, to load (by link).
 * @param rows uint16_t shares, or NULL to use the target
 */
void bw_plan_add_link_load(const struct bw_plan_problem *problem,
			   const uint16_t *rows, double sign, double *load);

#endif
