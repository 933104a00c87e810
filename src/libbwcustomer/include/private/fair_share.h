/**
 * @file
 * Internal interface of the fair shares: the table of customers. It is a set
 * associative array, so that it has a fixed size and a look-up takes constant
 * time. A list orders the customers with recent jobs by their last job.
 */
#ifndef BWCUSTOMER_PRIVATE_FAIR_SHARE_H
#define BWCUSTOMER_PRIVATE_FAIR_SHARE_H

#include "bwcustomer/fair_share.h"

/** Time constant of the decay of recent work. */
#define FAIR_WINDOW_MS 4000.0

/**
 * Part of what a customer asks for, relative to what all get of it, to which it
 * is entitled even beyond an equal share. All entitlements together are then at
 * most 1.4 times the room, so that a customer that asks for more than its own
 * gets at least 0.4 / 1.4 of what all get, which is above a quarter.
 */
#define FAIR_FLOOR_FRACTION 0.4

/** What is known of one customer. */
struct bw_fair_share {
	uint64_t customer_hash;
	bool used;
	uint8_t ranks; /**< bit set of ranks of its recent jobs; 0: it is not in
			  the list */
	uint32_t newer; /**< neighbours in the list: index plus 1; 0: none */
	uint32_t older;
	struct bw_time active_at; /**< its last job */
	struct bw_time decayed_at;
	double work_ms; /**< decayed sums of this host */
	double asked_ms;
	double waiting_ms; /**< expected work of its waiting jobs */
	uint32_t waiting; /**< their number */
	double slowness; /**< smoothed ratio of work to what is usual for the
			    service */
	double unreported_work_ms;
	double unreported_asked_ms;
	struct bw_fair_rate others; /**< of other hosts */
	struct bw_time fleet_at;
	double paced_ms_per_s; /**< work that it may send here while it is
				  beyond its share */
	double tokens_ms; /**< work that it may send now */
	struct bw_time refilled_at;
};

/** Finds a customer. @return NULL if it is not in the table */
struct bw_fair_share *fair_table_find(struct bw_fair_shares *shares,
				      uint64_t customer_hash);

/**
 * Finds or adds a customer. In place of another one if its part of the table is
 * full: the one with the least work.
 */
struct bw_fair_share *fair_table_add(struct bw_fair_shares *shares,
				     uint64_t customer_hash,
				     struct bw_time now);

/** Moves a customer to the front of the list, as it has a job of this rank. */
void fair_table_touch(struct bw_fair_shares *shares,
		      struct bw_fair_share *share, uint32_t rank,
		      struct bw_time now);

/** Forgets the customers without recent jobs. */
void fair_table_forget(struct bw_fair_shares *shares, struct bw_time now);

/** Returns the factor by which a sum of this age has decayed. */
double fair_decay(struct bw_time decayed_at, struct bw_time now);

/** Returns the rate of a decayed sum. */
double fair_rate_per_s(double sum_ms);

/** Notes a customer in the current round of news; its sums are decayed. */
void fair_pace_note(struct bw_fair_shares *shares, struct bw_fair_share *share,
		    uint32_t rank, const struct bw_fair_rate *rate,
		    struct bw_time now);

/** Ends a round of news. */
void fair_pace_end_round(struct bw_fair_shares *shares,
			 const struct bw_fair_rate *total, uint32_t customers,
			 struct bw_time now);

/** Counts work that a customer sends. */
void fair_pace_send(struct bw_fair_share *share, double work_ms,
		    struct bw_time now);

/** Returns whether news of other hosts is recent enough to be counted. */
bool fair_is_fresh(struct bw_time set_at, struct bw_time now);

/** Decays the sums of a customer. */
void fair_decay_share(struct bw_fair_share *share, struct bw_time now);

#endif
