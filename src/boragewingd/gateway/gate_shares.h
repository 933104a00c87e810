/**
 * @file
 * Metrics and log lines of the shares of customers at an entry host.
 * docs/OPERATIONS.md describes them. Without customers, there are none.
 */
#ifndef BORAGEWINGD_GATE_SHARES_H
#define BORAGEWINGD_GATE_SHARES_H

#include "bwbase/log.h"
#include "bwbase/metrics.h"
#include "bwsteer/dispatch.h"

/** Shares as they were shown last. */
struct gate_shares {
	struct bw_metrics *metrics;
	struct bw_log *log;
	uint64_t shown_work_ms[BW_FAIR_RANKS];
	bool limited[BW_FAIR_RANKS]; /**< customers beyond their share gave way
				      */
};

/** Initialises the module. */
void gate_shares_init(struct gate_shares *shown, struct bw_metrics *metrics,
		      struct bw_log *log);

/** Updates the metrics and logs what has changed. */
void gate_shares_update(struct gate_shares *shown, struct bw_dispatch *dispatch,
			struct bw_time now);

#endif
