/**
 * @file
 * The planner: shares of each service and caller region over failure domains.
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

/** The whole demand of a service, in the unit of weights. */
#define BW_PLAN_WEIGHT_TOTAL 10000

/** Most caller regions, failure domains and sites (placements). */
#define BW_PLAN_REGIONS_MAX 64
#define BW_PLAN_DOMAINS_MAX 256
#define BW_PLAN_SITES_MAX 4096

/** Time until a report reflects the traffic that it describes. */
#define BW_PLAN_REPORT_LAG_MS 2000

/** A report of this age or more is no ground for giving a domain more. */
#define BW_PLAN_REPORT_FRESH_MS 5000

/** Time for which a domain without reports keeps its shares. */
#define BW_PLAN_HOLD_MS 15000

/**
 * Most time that passes for the plan between two steps. Steps that follow each
 * other more slowly only delay shifts.
 */
#define BW_PLAN_STEP_MAX_MS 2000

/**
 * Services whose shares one step may change. A larger sheet is planned in
 * turns, because the planner runs in the daemon's only loop.
 */
#define BW_PLAN_SERVICES_PER_STEP 400

/** States of the shift of a service (charts/shift.yaml). */
enum bw_shift_state {
	BW_SHIFT_SETTLED, /**< the shares are good enough */
	BW_SHIFT_MOVING, /**< on the way to the target */
	BW_SHIFT_WAITING, /**< the last step has not shown its effect yet */
	BW_SHIFT_CAPPED, /**< the ledger leaves nothing */
	BW_SHIFT_HELD, /**< no domain of the service has a usable report */
	BW_SHIFT_STATE_COUNT
};

/** Stable names of enum bw_shift_state. */
extern const char *const bw_shift_state_string[BW_SHIFT_STATE_COUNT];

/** Names that charts/shift.yaml must use, for bw_chart_load. */
extern const struct bw_chart_names bw_shift_chart_names;

/**
 * What one failure domain reports about one service. Zero slots before any
 * slots were reported mean that the backend servers have not announced
 * themselves yet.
 */
struct bw_plan_service_report {
	uint32_t healthy_slots;
	uint32_t warming_slots;
	uint32_t ramp; /**< 0..1000 parts of warming_slots usable now */
	uint32_t slots_in_use;
	uint32_t mean_run_us; /**< mean run time of a request; 0: unknown */
	bool draining; /**< the service leaves this domain */
	/** Demand that arrives in this domain, by caller region of the
	 *  sheet, in milli-slots; NULL when there is none. Counts only
	 *  where the service is placed. */
	const uint32_t *demand;
};

/** Latest report of one failure domain. */
struct bw_plan_report {
	bool known; /**< false: no report was ever received */
	uint32_t age_ms; /**< time since the report was measured */
	bool draining; /**< the whole domain is leaving */
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
	uint64_t version; /**< 0: no plan yet; grows with each change */
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
	/** Remembered demand of each service and region, at index service *
	 *  region_count + region, in parts of BW_PLAN_WEIGHT_TOTAL of the
	 *  service's demand; the weights of shift amounts. */
	uint16_t *weights;
	struct bw_shift_limits limits; /**< of the sheet in force */
	struct bw_shift_limits
		previous_limits; /**< of earlier sheets, merged */
	int64_t previous_limits_until_ms; /**< previous counts before this time
					   */
	int64_t clock_ms; /**< time of the plan; never ahead of the wall clock's
			       progress since the first step */

	uint32_t step_count; /**< not encoded: counts steps */
	uint8_t *announced; /**< not encoded, by site: slots were reported */
	uint32_t *
		last_complete_demand; /**< not encoded: demand when last seen
				  whole, indexed like weights, in milli-slots */
	/** Not encoded: how much of each row the last step moved, in parts of
	 *  2 * BW_PLAN_SHARE_TOTAL, indexed like weights. All zero once the
	 *  ledger holds the amount of that step, or after decoding. */
	uint16_t *last_moves;
	const struct bw_chart *chart; /**< not encoded */
	int64_t wall_ms; /**< not encoded: wall clock of the last step */
	int64_t missing_since_ms[BW_PLAN_DOMAINS_MAX]; /**< not encoded */
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
