/**
 * @file
 * Traffic model for tests of the planner: callers that cache answers, failure
 * domains that serve them, and reports that are late, lost or false.
 */
#ifndef TEST_PLAN_MODEL_H
#define TEST_PLAN_MODEL_H

#include "bwbase/random.h"
#include "bwsteer/plan.h"
#include "sheet_builder.h"

#define MODEL_REGIONS 3
#define MODEL_DOMAINS 6
#define MODEL_SERVICES 3
#define MODEL_TTL_S 5
#define MODEL_SHIFTS_MAX 2048
#define MODEL_REPORT_EXPIRY_MS 60000

/** Shares per mille by service, caller region and failure domain. */
typedef uint16_t model_shares[MODEL_SERVICES][MODEL_REGIONS][MODEL_DOMAINS];

/** What a failure domain reports. */
struct model_report {
	bool known;
	int64_t measured_ms;
	struct bw_plan_service_report services[MODEL_SERVICES];
	uint32_t demand[MODEL_SERVICES][MODEL_REGIONS];
};

/** Measurements of one run. */
struct model_result {
	double shift_of_cap; /**< largest shift in a window / cap */
	double region_load; /**< largest load / limit of a region */
	double link_load; /**< largest load / limit of a link */
	uint32_t steps; /**< steps that changed the shares */
	int64_t settled_ms; /**< from the last change to the last step */
	double latency_ms; /**< mean, weighted by worth */
	double unserved_percent; /**< demand whose domains have all failed */
	uint32_t flaps; /**< domains that failed and returned repeatedly */
	uint32_t direction_changes; /**< most direction changes of one share */
};

/** State of a run. */
struct model {
	struct bw_sheet *sheet;
	struct bw_plan plan;
	const struct bw_chart *chart;
	bool started; /**< shares are in force */
	bool baseline; /**< move to the optimum of the latest reports at once */
	struct bw_random random;
	uint64_t seed; /**< printed with failures */
	int64_t now_ms;
	int64_t skew_ms; /**< error of the leader's clock */
	int64_t last_change_ms;
	int64_t reports_lost_since_ms[MODEL_DOMAINS]; /**< 0: they arrive */
	double demand[MODEL_SERVICES][MODEL_REGIONS]; /**< milli-slots */
	/** Demand when all domains of the row last reported; the cap counts
	 *  traffic that was ever reported. */
	double last_complete_demand[MODEL_SERVICES][MODEL_REGIONS];
	bool alive[MODEL_DOMAINS];
	bool reports_lost[MODEL_DOMAINS]; /**< reports do not arrive */
	bool draining[MODEL_DOMAINS];
	/** 0: correct reports; 1: too many slots and demand; 2: no slots */
	uint32_t report_error[MODEL_DOMAINS];
	uint32_t loss_percent;
	model_shares shares;
	model_shares history[MODEL_TTL_S];
	double load[MODEL_SERVICES][MODEL_DOMAINS];
	double latency_sum, latency_weight;
	double offered, unserved;
	struct model_report sent[MODEL_DOMAINS];
	struct model_report received[MODEL_DOMAINS];
	struct {
		int64_t at_ms;
		double amount;
		uint32_t service;
	} shifts[MODEL_SHIFTS_MAX];
	uint32_t shift_count;
	double cap; /**< strictest cap that may apply, 0..1 */
	int64_t window_ms; /**< longest window and time to live */
	int8_t direction[MODEL_SERVICES][MODEL_REGIONS][MODEL_DOMAINS];
	uint32_t direction_changes[MODEL_SERVICES][MODEL_REGIONS]
				  [MODEL_DOMAINS];
	struct model_result result;
};

/** Starts a run at a normal load. */
void model_start(struct model *model, const struct bw_chart *chart,
		 uint64_t seed, bool baseline);

/** Frees the run. */
void model_stop(struct model *model);

/** Advances by one second and checks what must hold after every step. */
void model_advance(struct model *model);

/** Advances by a number of seconds. */
void model_run(struct model *model, uint32_t seconds);

/** Replaces the leader: the plan is encoded and decoded, reports are lost. */
void model_change_leader(struct model *model, int64_t skew_ms);

/** Records that conditions change now. */
void model_note_change(struct model *model);

/** Returns load / limit of a site under the present shares and demand. */
double model_site_load(const struct model *model, uint32_t service,
		       uint32_t domain, const model_shares shares);

#endif
