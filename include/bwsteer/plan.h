/**
 * @file
 * The planner: computes the shares of the failure domains for each service and
 * caller region, and moves traffic towards them at a limited rate. A site is a
 * service's placement in a failure domain.
 */
#ifndef BWSTEER_PLAN_H
#define BWSTEER_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/chart.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"
#include "bwsteer/sheet.h"
#include "bwsteer/shift_ledger.h"

/** Sum of the shares of one service and caller region. */
#define BW_PLAN_SHARE_TOTAL 1000

/** Weight that stands for the whole demand of a service. */
#define BW_PLAN_WEIGHT_TOTAL 10000

/** Maximum numbers of caller regions, failure domains and sites. */
#define BW_PLAN_REGIONS_MAX 64
#define BW_PLAN_DOMAINS_MAX 256
#define BW_PLAN_SITES_MAX 4096

/** Time after which reports reflect a change in traffic. */
#define BW_PLAN_REPORT_LAG_MS 2000

/** A domain whose latest report is older than this gets no higher share. */
#define BW_PLAN_REPORT_FRESH_MS 5000

/** Time for which a domain keeps its shares after its last report. */
#define BW_PLAN_HOLD_MS 15000

/**
 * Most time by which one step advances the clock of the plan. Steps that are
 * further apart only delay shifts.
 */
#define BW_PLAN_STEP_MAX_MS 2000

/**
 * Most services whose shares one step may change. The services of a larger
 * sheet are spread over several steps, because the planner runs in the daemon's
 * only event loop.
 */
#define BW_PLAN_SERVICES_PER_STEP 400

/** States of the shift of a service (charts/shift.yaml). */
enum bw_shift_state {
	BW_SHIFT_SETTLED, /**< no worthwhile gain is left */
	BW_SHIFT_MOVING, /**< shares move towards the target */
	BW_SHIFT_WAITING, /**< reports cannot show the last shift yet */
	BW_SHIFT_CAPPED, /**< the ledger or a link has no room for a shift */
	BW_SHIFT_HELD, /**< no domain of the service has a usable report */
	BW_SHIFT_STATE_COUNT
};

/** Stable names of enum bw_shift_state. */
extern const char *const bw_shift_state_string[BW_SHIFT_STATE_COUNT];

/** Names that charts/shift.yaml must use, for bw_chart_load. */
extern const struct bw_chart_names bw_shift_chart_names;

/**
 * What one failure domain reports about one service. Until the first report
 * with slots, zero slots mean that no backend server has announced itself yet.
 */
struct bw_plan_service_report {
	uint32_t healthy_slots;
	uint32_t warming_slots;
	uint32_t ramp; /**< usable part of warming_slots, per mille */
	uint32_t slots_in_use;
	uint32_t mean_run_us; /**< mean run time of a request; 0: unknown */
	bool draining; /**< the service is being drained from this domain */
	/** Demand that arrives in this domain, by caller region of the
	 *  sheet, in milli-slots; NULL when there is none. Counts only
	 *  where the service is placed. */
	const uint32_t *demand;
};

/** Latest report of one failure domain. */
struct bw_plan_report {
	bool known; /**< false: no report was ever received */
	uint32_t age_ms; /**< time since the report was measured */
	bool draining; /**< the whole domain is being drained */
	/** By service of the sheet; services_count entries. */
	const struct bw_plan_service_report *services;
};

/** A service within a plan. */
struct bw_plan_service {
	char name[BW_NAME_MAX];
	uint32_t site_begin; /**< first entry in the plan's sites */
	uint32_t site_count;
	uint32_t share_begin; /**< index of the row of region 0 in shares */
	uint8_t state; /**< an enum bw_shift_state */
	int64_t last_step_ms; /**< 0: no step yet */
	struct bw_shift_ledger ledger;
};

/**
 * A plan. The shares of service s for caller region r are the site_count
 * values at shares[share_begin + r * site_count]; the domain of each is in
 * sites[site_begin + ...].
 */
struct bw_plan {
	uint64_t version; /**< 0: no plan yet; increases with each change */
	uint64_t revision; /**< of the sheet that the plan was made for */
	char (*regions)[BW_NAME_MAX];
	uint32_t region_count;
	char (*domains)[BW_NAME_MAX];
	uint32_t domain_count;
	struct bw_plan_service *services;
	uint32_t service_count;
	uint16_t *sites; /**< domain index of each site */
	uint32_t site_count;
	uint16_t *shares; /**< per mille, site_count * region_count */
	/** Fraction of each service's demand that comes from each region, in
	 *  units of 1 / BW_PLAN_WEIGHT_TOTAL, by service, then region. The
	 *  highest recent value, which decays; weights the amounts of shifts.
	 */
	uint16_t *weights;
	struct bw_shift_limits limits; /**< of the sheet in force */
	/** Limits of earlier sheets, merged; in force as well until
	 *  previous_limits_until_ms. */
	struct bw_shift_limits previous_limits;
	int64_t previous_limits_until_ms; /**< by clock_ms */
	int64_t clock_ms; /**< time of the plan; never advances faster than the
			       wall clock */

	uint32_t step_count; /**< not encoded: steps taken */
	uint8_t *announced; /**< not encoded, by site: slots were reported */
	/** Not encoded: demand of each row when all its domains last had fresh
	 *  reports, indexed like weights, in milli-slots. */
	uint32_t *last_complete_demand;
	/** Not encoded: fraction of each row that the last step moved, in
	 *  units of 1 / (2 * BW_PLAN_SHARE_TOTAL), indexed like weights. All
	 *  zero after decoding, and once the amount of that step in the ledger
	 *  is corrected by reported demand. */
	uint16_t *last_moves;
	const struct bw_chart *chart; /**< not encoded */
	int64_t wall_ms; /**< not encoded: wall clock of the last step */
	/** Not encoded, by domain: plan time of its last report, or from which
	 *  it has none; 0: its report is fresh. */
	int64_t missing_since_ms[BW_PLAN_DOMAINS_MAX];
};

/**
 * Initialises an empty plan.
 * @param chart chart loaded with bw_shift_chart_names; must outlive the plan
 */
void bw_plan_init(struct bw_plan *plan, const struct bw_chart *chart);

/** Frees the plan. */
void bw_plan_finish(struct bw_plan *plan);

/**
 * Takes one planning step, to be called about once a second: adopts the sheet
 * when it is new, then moves the shares of each service whose turn it is
 * towards their target as far as its ledger allows.
 * @param reports one entry for each failure domain of the sheet
 * @param now_ms wall clock in milliseconds since 1970
 * @param changed receives whether the plan has a new version that must be
 *	committed before it is used
 * @return BW_OK; BW_EINVAL when the sheet is too large; BW_ENOMEM (the plan
 *	is then unchanged)
 */
enum bw_status bw_plan_step(struct bw_plan *plan, const struct bw_sheet *sheet,
			    const struct bw_plan_report *reports,
			    int64_t now_ms, bool *changed);

/** Finds a service by name; returns BW_SHEET_NONE if there is none. */
uint32_t bw_plan_find_service(const struct bw_plan *plan, const char *name);

/** Finds a caller region by name; returns BW_SHEET_NONE if there is none. */
uint32_t bw_plan_find_region(const struct bw_plan *plan, const char *name);

/**
 * Returns the shares of a service for a caller region.
 * @return site_count values per mille that add up to BW_PLAN_SHARE_TOTAL; the
 *	domain of entry i is domains[sites[site_begin + i]]
 */
const uint16_t *bw_plan_shares(const struct bw_plan *plan, uint32_t service,
			       uint32_t region);

/**
 * Appends the plan as msgpack.
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_plan_encode(const struct bw_plan *plan,
			      struct bw_buffer *out);

/**
 * Replaces a plan by its encoded form; the chart stays.
 * @param plan an initialised plan
 * @return BW_OK, BW_EINVAL or BW_ENOMEM; the plan is unchanged on failure
 */
enum bw_status bw_plan_decode(struct bw_plan *plan, const void *data,
			      size_t size_bytes);

/** Returns the limits on shifts that are in force. */
struct bw_shift_limits bw_plan_limits(const struct bw_plan *plan);

#endif
