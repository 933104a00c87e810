#include "gate_shares.h"

#include <stdio.h>
#include <string.h>

static void update_work_(struct gate_shares *shown,
			 const struct bw_fair_shares *shares, uint32_t rank);
static void log_limit_(struct gate_shares *shown,
		       const struct bw_fair_shares *shares, uint32_t rank);

void gate_shares_init(struct gate_shares *shown, struct bw_metrics *metrics,
		      struct bw_log *log)
{
	memset(shown, 0, sizeof(*shown));
	shown->metrics = metrics;
	shown->log = log;
}

void gate_shares_update(struct gate_shares *shown, struct bw_dispatch *dispatch,
			struct bw_time now)
{
	const struct bw_fair_shares *shares = &dispatch->shares;
	uint32_t rank;

	if (!shares->table)
		return;
	bw_metric_set(bw_metrics_get(shown->metrics, BW_METRIC_GAUGE,
				     "bw_contended_services",
				     "Services for which requests wait while "
				     "customers share the room",
				     ""),
		      bw_dispatch_contended(dispatch, now));
	bw_metric_set(bw_metrics_get(shown->metrics, BW_METRIC_GAUGE,
				     "bw_active_customers",
				     "Customers with requests at this host "
				     "lately",
				     ""),
		      shares->active);
	for (rank = 0; rank < BW_FAIR_RANKS; rank++) {
		update_work_(shown, shares, rank);
		log_limit_(shown, shares, rank);
	}
}

static void update_work_(struct gate_shares *shown,
			 const struct bw_fair_shares *shares, uint32_t rank)
{
	uint64_t work_ms = shares->totals[rank].work_sum_ms;
	char labels[BW_LABELS_MAX];

	if (work_ms == shown->shown_work_ms[rank])
		return;
	snprintf(labels, sizeof(labels), "rank=\"%u\"", rank);
	bw_metric_add(bw_metrics_get(shown->metrics, BW_METRIC_COUNTER,
				     "bw_customer_work_milliseconds_total",
				     "Time at servers of requests while "
				     "customers are known, by rank",
				     labels),
		      work_ms - shown->shown_work_ms[rank]);
	shown->shown_work_ms[rank] = work_ms;
}

/* A limit that begins or ends, not each change of its level. */
static void log_limit_(struct gate_shares *shown,
		       const struct bw_fair_shares *shares, uint32_t rank)
{
	double level_max = shares->paces[rank].level_max;
	bool limited = level_max > 0.0;

	if (limited == shown->limited[rank])
		return;
	shown->limited[rank] = limited;
	bw_log_event(shown->log, BW_LOG_INFO, "shares",
		     limited ? "limit_began" : "limit_ended",
		     "{s:i,s:f,s:i,s:f}", "rank", (int)rank, "level_max",
		     level_max, "customers", (int)shares->fleet_customers,
		     "served_fraction", shares->fleet_served_fraction);
}
