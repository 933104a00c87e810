/**
 * @file
 * Distribution of the demand for one service over failure domains. It moves
 * demand away from a domain whose servers cannot carry it, to domains with
 * spare capacity. Every host computes it from the same numbers, so that all
 * hosts send the same fraction of a domain's objects to the same domains.
 */
#ifndef BWSTEER_SPREAD_H
#define BWSTEER_SPREAD_H

#include <stdint.h>

/** Most failure domains. */
#define BW_SPREAD_DOMAINS_MAX 64

/** Capacity and demand of one failure domain. */
struct bw_spread_domain {
	uint32_t region; /**< index of its region */
	double slots; /**< total slots of the servers that accept requests */
	double demand_slots; /**< requests per second times service time */
};

/**
 * Computes where the requests of one failure domain go. A domain uses its own
 * servers up to a load limit, then those of its region, then all others, in
 * proportion to their spare capacity. The limit is slightly above the load of
 * the whole service, and at least a load at which requests rarely wait for a
 * slot.
 * @param domains all domains
 * @param own index of the domain to compute
 * @param fractions receives the fraction for each domain; they sum to 1, or all
 * are 0 when no domain has a server
 */
void bw_spread(const struct bw_spread_domain *domains, uint32_t count,
	       uint32_t own, double *fractions);

/**
 * Computes the same for requests that name objects: the domains of a region
 * share their servers, each in proportion to its slots. The callers of a region
 * ask for the same objects. With one preferred server per object and region, an
 * object runs cold once in the region, and not once in each of its domains.
 * Parameters as for bw_spread().
 */
void bw_spread_by_region(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, double *fractions);

#endif
