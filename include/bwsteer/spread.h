/**
 * @file
 * Spread of the demand for one service over failure domains. It answers the
 * load in which a domain has more demand than its own servers carry, while
 * others have room: every host works it out from the same numbers, so that
 * all of them send the same part of a domain's objects to the same places.
 */
#ifndef BWSTEER_SPREAD_H
#define BWSTEER_SPREAD_H

#include <stdint.h>

/** Most failure domains. */
#define BW_SPREAD_DOMAINS_MAX 64

/** One failure domain. */
struct bw_spread_domain {
	uint32_t region; /**< index of its region */
	double slots; /**< of the servers that take requests */
	double demand_slots; /**< requests per second times time of a request */
};

/**
 * Works out where the requests of one domain go. A domain uses its own
 * servers up to a bound, then those of its region, then all others, in
 * proportion to their room. The bound is the load of the whole service, and
 * at least a load at which a server answers without a queue.
 * @param domains all domains
 * @param own index of the domain that is asked for
 * @param parts receives the part for each domain; their sum is 1, or 0 when
 *	no domain has a server
 */
void bw_spread(const struct bw_spread_domain *domains, uint32_t count,
	       uint32_t own, double *parts);

#endif
