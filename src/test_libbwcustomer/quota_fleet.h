/**
 * @file
 * Entry hosts and granting hosts in one process, with messages that take time
 * and get lost in a cut, and callers that send at a rate.
 */
#ifndef QUOTA_FLEET_H
#define QUOTA_FLEET_H

#include "bwbase/random.h"
#include "bwcustomer/quota_grants.h"
#include "bwcustomer/quota_shares.h"

/** Maximum number of entry hosts. */
#define FLEET_HOSTS_MAX 128

/** Number of hosts that may grant, one at a time. */
#define FLEET_GRANTERS 2

/** No host grants. */
#define FLEET_NO_GRANTER FLEET_GRANTERS

/** An entry host. */
struct fleet_host {
	struct bw_quota_shares shares;
	char name[BW_NAME_MAX];
	uint64_t incarnation;
	uint64_t applied_ms;
	struct bw_time next_send;
	bool cut; /**< no message passes */
	struct bw_quota quota; /**< in force there */
	uint64_t version;
};

/** The fleet, and one customer. */
struct fleet {
	struct bw_quota_bounds bounds;
	struct bw_random random;
	struct bw_time now;
	struct fleet_host hosts[FLEET_HOSTS_MAX];
	uint32_t host_count;
	uint32_t listed_count; /**< hosts that granters know */
	struct bw_quota_grants granters[FLEET_GRANTERS];
	uint64_t term;
	uint32_t granter; /**< index; FLEET_NO_GRANTER */
	GQueue messages; /**< struct fleet_message, in order of arrival */
	GArray *admitted; /**< int64_t ms, in order */
	uint64_t asked_count;
	double due; /**< fraction of a request that is still to be sent */
	uint64_t sent_bytes; /**< of demands and grants, without heads */
	uint64_t message_count;
};

/** Starts a fleet whose first host has granted for long. */
void fleet_init(struct fleet *fleet, uint64_t seed, uint32_t host_count,
		double rate_per_s, double burst);
void fleet_finish(struct fleet *fleet);

/** Restarts the process of an entry host. */
void fleet_restart(struct fleet *fleet, uint32_t host);

/** Lets another host grant; FLEET_NO_GRANTER: none. */
void fleet_set_granter(struct fleet *fleet, uint32_t granter);

/** Sends requests to hosts first to first + count - 1 for a time. */
void fleet_run(struct fleet *fleet, int64_t ms, double per_s, uint32_t first,
	       uint32_t count);

/** Returns the most requests admitted in a window that begins at from_ms or
 * later. */
uint32_t fleet_window_max(const struct fleet *fleet, int64_t from_ms);

/** Returns what the users allow in a window. */
double fleet_bound(const struct fleet *fleet, double rate_per_s, double burst);

/** Forgets the counts of what was asked and admitted so far. */
void fleet_reset_counts(struct fleet *fleet);

/** Returns the number of requests admitted since the last reset. */
uint32_t fleet_admitted(const struct fleet *fleet);

#endif
