/**
 * @file
 * Grants of quotas by the one host that has the right to: it divides what is
 * due to each customer among the entry hosts by their demand, as leases that
 * end by themselves. Of each entry host it counts what it may still use and
 * what it has used within a window, so that a lease only moves to another host
 * when its use has left the window. The module has no clock and no network.
 */
#ifndef BWCUSTOMER_QUOTA_GRANTS_H
#define BWCUSTOMER_QUOTA_GRANTS_H

#include <stdbool.h>

#include <glib.h>

#include "bwbase/packet.h"
#include "bwcustomer/quota.h"

/** Demands of one entry host, as received. */
struct bw_quota_report {
	char host[BW_NAME_MAX];
	uint64_t incarnation; /**< of its process */
	uint64_t version; /**< of its configuration */
	uint64_t term; /**< of the last grant; all its leases have been
			    reported in this term */
	uint64_t sent_ms; /**< by its clock */
	uint64_t applied_ms; /**< sent_ms of the last report whose grants it
				  has; 0: none */
	const struct bw_quota_demand *demands;
	uint32_t demand_count;
};

/** Grants of quotas. */
struct bw_quota_grants {
	struct bw_quota_bounds bounds;
	bool granting;
	uint64_t term; /**< in which this host grants, or did last */
	struct bw_time since; /**< granting in this term */
	bool succeeds; /**< an entry host has had answers in another term */
	uint32_t host_count; /**< most entry hosts of the fleet of late */
	struct bw_time host_count_at; /**< when there were so many */
	uint32_t known_count; /**< of these, those whose leases are known */
	struct bw_time next_sweep;
	struct bw_time next_closed; /**< list of customers that are not open */
	GHashTable *hosts; /**< name -> struct host */
	GHashTable *customers; /**< customer hash -> struct customer */
};

/** Initialises a host that does not grant. */
void bw_quota_grants_init(struct bw_quota_grants *grants,
			  const struct bw_quota_bounds *bounds);

/** Frees the state. */
void bw_quota_grants_finish(struct bw_quota_grants *grants);

/**
 * Notes whether this host has the right to grant; at most one host may have it
 * at a time. A host that gets it renews the leases that entry hosts report,
 * and grants more only when it has heard of them. One that gets it again in the
 * same term goes on: no other host can have granted in between.
 * Called at least once a second, also at hosts that do not grant.
 * @param term of the right to grant
 * @param host_count entry hosts of the fleet
 */
void bw_quota_grants_set_granting(struct bw_quota_grants *grants, bool granting,
				  uint64_t term, uint32_t host_count,
				  struct bw_time now);

/** Returns whether any entry host has sent demands of late. */
bool bw_quota_grants_in_use(const struct bw_quota_grants *grants);

/**
 * Answers the demands of an entry host.
 * @param answers one element for each demand
 * @return whether they are to be sent
 */
bool bw_quota_grants_answer(struct bw_quota_grants *grants,
			    const struct bw_quota_report *report,
			    struct bw_quota_grant *answers, struct bw_time now);

/** Forgets leases that have ended; called about once a second. */
void bw_quota_grants_tick(struct bw_quota_grants *grants, struct bw_time now);

/** Maximum number of customers that are listed as not open at all hosts. */
#define BW_QUOTA_CLOSED_MAX 512

/**
 * Lists the customers that are not open at all hosts, for all entry hosts; see
 * bw_quota_set_closed.
 * @param closed array of BW_QUOTA_CLOSED_MAX elements
 * @param count receives the number of customers
 * @return whether the list is due and complete; otherwise nothing is sent, and
 *	no customer stays open
 */
bool bw_quota_grants_closed(struct bw_quota_grants *grants,
			    struct bw_quota_closed *closed, uint32_t *count,
			    struct bw_time now);

/** Returns the requests that hosts may use or have used of what is due. */
uint32_t bw_quota_grants_exposure(const struct bw_quota_grants *grants,
				  uint64_t customer_hash);

#endif
