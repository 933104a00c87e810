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

#endif
