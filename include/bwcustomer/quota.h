/**
 * @file
 * Quotas of customers, summed over all entry hosts. In a window of time all
 * hosts together may admit what is due, which the granting host divides among
 * them as leases (bwcustomer/quota_grants.h), and the tolerance, a part of
 * which each host may use without a lease (bwcustomer/quota_shares.h). Both
 * are counts of requests per window, so that no window of the fleet has more
 * than their sum, whatever messages are lost.
 *
 * The tolerance of a small quota has less than one request for each host. Such
 * a customer is open while it uses much less than its quota: each host that
 * has recently heard so from the granting host may admit one request in a
 * window without a lease. It is then counted like a leased one.
 */
#ifndef BWCUSTOMER_QUOTA_H
#define BWCUSTOMER_QUOTA_H

#include <stdint.h>

#include "bwbase/clock.h"

/** Parts of a window that are counted apart; one more is in progress. */
#define BW_QUOTA_SLOTS 21

/** How exactly quotas are kept. */
struct bw_quota_bounds {
	uint32_t window_ms; /**< above 0 */
	double over; /**< tolerated fraction beyond the quota */
	double slack; /**< requests tolerated on top of it */
};

/** The quota of a customer; rate_per_s above 0. */
struct bw_quota {
	uint64_t customer_hash;
	double rate_per_s;
	double burst; /**< requests */
};

/** Demand of an entry host for one customer. */
struct bw_quota_demand {
	struct bw_quota quota; /**< in force at the entry host */
	uint32_t asked; /**< in the last window */
	uint32_t admitted; /**< of these */
	uint32_t unleased; /**< of these, by the host's own part */
	uint32_t fresh; /**< admitted since the last demand */
	uint32_t wanted; /**< lease with which nothing would be refused */
	uint32_t leased; /**< held now */
	uint32_t work_ms; /**< of servers for the customer since the last
			       demand */
};

/** Answer to a demand. */
struct bw_quota_grant {
	uint64_t customer_hash;
	uint32_t leased; /**< requests per window */
	uint32_t fleet_work_ms_per_s; /**< work of servers for the customer at
					   the request of all hosts */
};

/** A customer that is open at few hosts or none. */
struct bw_quota_closed {
	uint64_t customer_hash;
	uint32_t open_percent; /**< hosts at which it is open */
};

/** Events of the last window, in parts of it. */
struct bw_quota_window {
	uint32_t counts[BW_QUOTA_SLOTS];
	uint32_t sum;
	int64_t slot; /**< latest one */
};

/** Returns the number of a part of time with the given window. */
int64_t bw_quota_slot(uint32_t window_ms, struct bw_time at);

/** Drops what is older than a window. */
void bw_quota_window_advance(struct bw_quota_window *window, int64_t slot);

/** Returns the requests that are due to a customer in a window. */
double bw_quota_due(const struct bw_quota_bounds *bounds,
		    const struct bw_quota *quota);

/**
 * Returns the requests that one host may admit in a window without a lease:
 * its part of the tolerance.
 * @param host_count entry hosts; 0: unknown
 * @param host_index of the host among them
 */
uint32_t bw_quota_base(const struct bw_quota_bounds *bounds,
		       const struct bw_quota *quota, uint32_t host_count,
		       uint32_t host_index);

/** Returns the requests that all hosts together may admit without leases. */
uint32_t bw_quota_base_total(const struct bw_quota_bounds *bounds,
			     const struct bw_quota *quota);

#endif
