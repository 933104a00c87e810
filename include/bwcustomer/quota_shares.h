/**
 * @file
 * Quotas at one entry host: what it may admit of each customer in a window, by
 * the lease that it holds and its own part of the tolerance. The module has no
 * clock and no network.
 */
#ifndef BWCUSTOMER_QUOTA_SHARES_H
#define BWCUSTOMER_QUOTA_SHARES_H

#include <stdbool.h>

#include <glib.h>

#include "bwcustomer/quota.h"

/** Quotas at one entry host. */
struct bw_quota_shares {
	struct bw_quota_bounds bounds;
	uint32_t host_count; /**< entry hosts; 0: unknown */
	uint32_t host_index; /**< of this host among them */
	uint64_t term; /**< in which the host grants that answered last */
	GHashTable *shares; /**< customer hash -> struct share */
	GHashTable *closed; /**< customer hash -> struct bw_quota_closed */
	bool listed; /**< closed has been received */
	struct bw_time open_until; /**< of the others */
};

/**
 * Initialises the quotas of a host that has just started. Customers are open at
 * first: after a restart of all hosts there are no leases.
 */
void bw_quota_shares_init(struct bw_quota_shares *shares,
			  const struct bw_quota_bounds *bounds,
			  struct bw_time now);

/** Frees them. */
void bw_quota_shares_finish(struct bw_quota_shares *shares);

/**
 * Sets the number of entry hosts and the index of this one. The largest number
 * counts: a control host that is cut off knows fewer.
 */
void bw_quota_shares_set_hosts(struct bw_quota_shares *shares, uint32_t count,
			       uint32_t index);

/**
 * Admits a request, which then counts until it is given back.
 * @param retry_after_ms receives the time until there is room, when refused
 */
bool bw_quota_admit(struct bw_quota_shares *shares,
		    const struct bw_quota *quota, struct bw_time now,
		    uint32_t *retry_after_ms);

/** Gives back a request that was admitted at a time and has not run. */
void bw_quota_give_back(struct bw_quota_shares *shares, uint64_t customer_hash,
			struct bw_time admitted_at, struct bw_time now);

/** Notes work of servers for a customer. Ignored for one without a share. */
void bw_quota_note_work(struct bw_quota_shares *shares, uint64_t customer_hash,
			uint32_t work_ms);

/**
 * Lists the demands that are due and counts them as sent.
 * @param demands array of max elements
 * @return the number of demands; the caller repeats the call if it is max
 */
uint32_t bw_quota_demands(struct bw_quota_shares *shares,
			  struct bw_quota_demand *demands, uint32_t max,
			  struct bw_time now);

/**
 * Notes the term of the host that grants. In another term than before all
 * demands are due at once, so that it knows all leases.
 */
void bw_quota_shares_set_term(struct bw_quota_shares *shares, uint64_t term);

/**
 * Takes over a lease.
 * @param sent_at when the demand was sent that it answers; the lease ends
 *	BW_QUOTA_LEASE_MS later
 */
void bw_quota_lease(struct bw_quota_shares *shares,
		    const struct bw_quota_grant *grant, struct bw_time sent_at,
		    struct bw_time now);

/**
 * Takes over which customers are not open at all hosts, for BW_QUOTA_OPEN_MS.
 * The others are.
 */
void bw_quota_set_closed(struct bw_quota_shares *shares,
			 const struct bw_quota_closed *closed, uint32_t count,
			 struct bw_time now);

/** Returns the last fleet_work_ms_per_s of a customer; 0 when unknown. */
uint32_t bw_quota_fleet_work(const struct bw_quota_shares *shares,
			     uint64_t customer_hash);

/** Time for which a lease holds, longer than most cuts. */
#define BW_QUOTA_LEASE_MS 6000

/**
 * Requests due in a window at each host from which on a customer is served by
 * leases alone, once it has begun.
 */
#define BW_QUOTA_LARGE_DUE_PER_HOST 4

/**
 * Time for which a customer stays open without news; longer than a change of
 * the granting host. What a host admits without an answer is bounded anyway.
 */
#define BW_QUOTA_OPEN_MS 5000

#endif
