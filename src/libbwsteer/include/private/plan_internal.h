/**
 * @file
 * Declarations shared by the sources of the planner.
 */
#ifndef BWSTEER_PRIVATE_PLAN_INTERNAL_H
#define BWSTEER_PRIVATE_PLAN_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "bwsteer/plan.h"
#include "private/plan_target.h"

/** Events of charts/shift.yaml. */
enum bw_shift_event {
	BW_SHIFT_NO_GAIN,
	BW_SHIFT_GAIN,
	BW_SHIFT_EFFECT_PENDING,
	BW_SHIFT_CAP_REACHED,
	BW_SHIFT_REPORTS_MISSING,
	BW_SHIFT_EVENT_COUNT
};

/** The action of charts/shift.yaml. */
#define BW_SHIFT_ACTION_MOVE 0

/** Working state of one planning step. */
struct bw_plan_work {
	struct bw_plan *plan;
	const struct bw_sheet *sheet;
	const struct bw_plan_report *reports;
	int64_t now_ms; /**< time of the plan */
	int64_t wall_ms; /**< wall clock, for the drains of the sheet */
	struct bw_shift_limits limits;
	struct bw_plan_links links;
	struct bw_plan_problem problem;
	uint8_t *drained; /**< by site of the plan: drained by the sheet */
	uint32_t *service_order; /**< services by descending worth */
	double *link_arrays; /**< memory of all arrays by link below and in
				  links */
	uint32_t *service_links; /**< links between the caller regions and the
				      sites of the loaded service */
	uint32_t service_link_count;
	uint32_t *listed_for; /**< by link: index + 1 of the service in whose
				   service_links it is; 0: none */
	/** By region: fraction of the loaded service's row on domains with
	 *  fresh reports, per mille. */
	uint32_t fresh_share[BW_PLAN_REGIONS_MAX];
	double *target_link_kbit; /**< by link: load of the target */
	double *current_link_kbit; /**< by link: load of the current shares */
	double *estimated_link_kbit; /**< by link: load of the current shares
					  by estimated demand only, without the
					  reported minimum */
	double *target; /**< target shares, room for the largest service */
	uint16_t *rows; /**< rounded shares, room for the largest service */
};

/**
 * Allocates the arrays of a plan from its counts.
 * @return BW_OK or BW_ENOMEM; bw_plan_finish is needed in both cases
 */
enum bw_status bw_plan_allocate(struct bw_plan *plan);

/**
 * Rebuilds the plan for the sheet when it was made for another one. Shares,
 * ledgers and weights are carried over by name.
 */
enum bw_status bw_plan_adopt(struct bw_plan *plan, const struct bw_sheet *sheet,
			     bool *adopted);

/** Prepares links, drains and the order of services. */
enum bw_status bw_plan_work_init(struct bw_plan_work *work);

/** Frees what bw_plan_work_init allocated. */
void bw_plan_work_finish(struct bw_plan_work *work);

/**
 * Fills the problem of one service.
 * @param initial for shares that carry no traffic yet: uses the capacities of
 *	the sheet where reports are missing, and no ramps
 * @return whether any site of the service has a usable report, or initial
 */
bool bw_plan_work_load(struct bw_plan_work *work, uint32_t service,
		       bool initial);

/** Returns the report of a domain; NULL when the sheet no longer has it. */
const struct bw_plan_report *
bw_plan_domain_report(const struct bw_plan_work *work, uint32_t domain);

/** Fills the demand of the problem and raises the weights of the plan. */
void bw_plan_load_demand(struct bw_plan_work *work, uint32_t service);

/**
 * Reduces the target to what leaves lost sites, if any share is to leave them:
 * moves between other sites would use up the cap, while callers are sent to
 * failed servers.
 * @return whether a share is to leave a lost site
 */
bool bw_plan_target_lost_first(const struct bw_plan_problem *problem);

/**
 * Returns whether reports already show the effect of a service's last step.
 * Before that, reported demand does not correspond to the shares.
 */
bool bw_plan_is_step_visible(const struct bw_plan_work *work, uint32_t service);

/**
 * Returns the sum of a caller region's shares of a service, per mille, on
 * domains with fresh reports.
 */
uint32_t bw_plan_fresh_share(const struct bw_plan_work *work, uint32_t service,
			     uint32_t region);

#endif
