/*
 * Limits customers that are beyond their share at all hosts together while
 * customers below theirs lack room at any host. Hosts compete for free slots;
 * without this limit, those with the jobs of a customer beyond its share would
 * win them from a host with many jobs of customers below theirs. All hosts
 * compute the limit from the same news, without a message of its own.
 */
#include <glib.h>

#include "private/fair_share.h"

/**
 * Part of its due that a customer has to get before it counts as lacking room:
 * what is asked for is counted before the work that it leads to.
 */
#define DUE_FRACTION 0.9

/** Part of all work that has to be missing before any customer gives way. */
#define MISSING_FRACTION_MIN 0.002

/** Relative changes of the highest level allowed. */
#define LEVEL_DECREASE_PER_S 0.2
#define LEVEL_INCREASE_PER_S 0.04

/**
 * Limit above the highest level seen. It lets a customer grow, but not at once
 * to all that it asks for.
 */
#define LEVEL_MARGIN_FACTOR 1.5

/** Maximum time between two rounds that counts. */
#define ROUND_MAX_MS 2000

/** Time for which a customer that sent less than its limit may send at once. */
#define BURST_MS 250.0

static double entitled_(const struct bw_fair_shares *shares,
			const struct bw_fair_rate *rate);
static void adjust_(struct bw_fair_pace *pace, bool missing, double elapsed_s);
static void refill_(struct bw_fair_share *share, struct bw_time now);
static bool is_limited_(const struct bw_fair_shares *shares,
			const struct bw_fair_ticket *ticket,
			struct bw_time now);

bool bw_fair_share_gives_way(struct bw_fair_shares *shares,
			     const struct bw_fair_ticket *ticket,
			     struct bw_time now)
{
	struct bw_fair_share *share;

	if (!is_limited_(shares, ticket, now))
		return false;
	share = fair_table_find(shares, ticket->customer_hash);
	if (!share || !fair_is_fresh(share->fleet_at, now))
		return false;
	refill_(share, now);
	return share->tokens_ms <= 0.0;
}

double bw_fair_share_wait_ms(struct bw_fair_shares *shares,
			     const struct bw_fair_ticket *ticket,
			     struct bw_time now)
{
	struct bw_fair_share *share;

	if (!bw_fair_share_gives_way(shares, ticket, now))
		return 0.0;
	share = fair_table_find(shares, ticket->customer_hash);
	return 1000.0 * (share->waiting_ms - share->tokens_ms) /
	       MAX(share->paced_ms_per_s, 1.0);
}

void fair_pace_note(struct bw_fair_shares *shares, struct bw_fair_share *share,
		    uint32_t rank, const struct bw_fair_rate *rate,
		    struct bw_time now)
{
	struct bw_fair_pace *pace = &shares->paces[rank];
	double entitled_per_s = entitled_(shares, rate);
	double due_per_s =
		DUE_FRACTION * MIN(rate->asked_ms_per_s, entitled_per_s);
	double own_fraction = 0.0;

	if (entitled_per_s <= 0.0)
		return;
	pace->missing_ms_per_s += MAX(due_per_s - rate->work_ms_per_s, 0.0);
	pace->level_seen =
		MAX(pace->level_seen, rate->work_ms_per_s / entitled_per_s);
	if (rate->asked_ms_per_s > 0.0)
		own_fraction = MIN(fair_rate_per_s(share->asked_ms) /
					   rate->asked_ms_per_s,
				   1.0);
	refill_(share, now);
	share->paced_ms_per_s =
		MAX(pace->level_max, 1.0) * entitled_per_s * own_fraction;
}

/* Customers lack room because of those that are as urgent or more so. */
void fair_pace_end_round(struct bw_fair_shares *shares,
			 const struct bw_fair_rate *total, uint32_t customers,
			 struct bw_time now)
{
	int64_t elapsed_ms = bw_time_diff_ms(now, shares->fleet_at);
	double missing_ms_per_s = 0.0;
	uint32_t rank;

	for (rank = 0; rank < BW_FAIR_RANKS; rank++) {
		struct bw_fair_pace *pace = &shares->paces[rank];

		missing_ms_per_s += pace->missing_ms_per_s;
		adjust_(pace,
			missing_ms_per_s >
				MISSING_FRACTION_MIN * total->work_ms_per_s,
			(double)MIN(elapsed_ms, ROUND_MAX_MS) / 1000.0);
		pace->missing_ms_per_s = 0.0;
		pace->level_seen = 0.0;
	}
	shares->fleet_share_ms_per_s =
		total->work_ms_per_s / MAX(customers, 1U);
	shares->fleet_served_fraction = 1.0;
	if (total->asked_ms_per_s > total->work_ms_per_s)
		shares->fleet_served_fraction =
			total->work_ms_per_s / total->asked_ms_per_s;
}

void fair_pace_send(struct bw_fair_share *share, double work_ms,
		    struct bw_time now)
{
	refill_(share, now);
	share->tokens_ms -= work_ms;
}

/* Returns the work to which a customer is entitled at all hosts together. */
static double entitled_(const struct bw_fair_shares *shares,
			const struct bw_fair_rate *rate)
{
	return MAX(shares->fleet_share_ms_per_s,
		   FAIR_FLOOR_FRACTION * shares->fleet_served_fraction *
			   rate->asked_ms_per_s);
}

/* Without anybody beyond its share there is nothing to limit. */
static void adjust_(struct bw_fair_pace *pace, bool missing, double elapsed_s)
{
	double seen = pace->level_seen;

	if (seen <= 1.0) {
		pace->level_max = 0.0;
	} else if (missing) {
		if (pace->level_max <= 0.0 || pace->level_max > seen)
			pace->level_max = seen;
		pace->level_max *= 1.0 - LEVEL_DECREASE_PER_S * elapsed_s;
		pace->level_max = MAX(pace->level_max, 1.0);
	} else {
		pace->level_max *= 1.0 + LEVEL_INCREASE_PER_S * elapsed_s;
		pace->level_max =
			MIN(pace->level_max, LEVEL_MARGIN_FACTOR * seen);
	}
}

static void refill_(struct bw_fair_share *share, struct bw_time now)
{
	double elapsed_ms = (double)bw_time_diff_ms(now, share->refilled_at);
	double burst_ms = share->paced_ms_per_s * BURST_MS / 1000.0;

	share->tokens_ms += share->paced_ms_per_s * elapsed_ms / 1000.0;
	share->tokens_ms =
		CLAMP(share->tokens_ms, -4.0 * burst_ms, MAX(burst_ms, 1.0));
	share->refilled_at = now;
}

static bool is_limited_(const struct bw_fair_shares *shares,
			const struct bw_fair_ticket *ticket, struct bw_time now)
{
	return ticket->counted && bw_fair_share_is_beyond(ticket) &&
	       fair_is_fresh(shares->fleet_at, now) &&
	       shares->paces[ticket->rank].level_max > 0.0;
}
