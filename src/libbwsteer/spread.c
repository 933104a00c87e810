#include "bwsteer/spread.h"

#include <string.h>

/** Load of a server up to which requests rarely wait for a slot. */
#define LOAD_FREE 0.5

/** The bound over the load of the service, which leaves room to move. */
#define LOAD_MARGIN 1.05

/** State of one computation. */
struct flows {
	double rest[BW_SPREAD_DOMAINS_MAX]; /**< demand not yet placed */
	double room[BW_SPREAD_DOMAINS_MAX]; /**< slots not yet used */
};

static double bound_(const struct bw_spread_domain *domains, uint32_t count);
static void place_near_(const struct bw_spread_domain *domains, uint32_t count,
			uint32_t own, struct flows *flows, double *parts);
static void place_round_(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, uint32_t region, struct flows *flows,
			 double *parts);
static void normalise_(uint32_t count, double *parts);

void bw_spread(const struct bw_spread_domain *domains, uint32_t count,
	       uint32_t own, double *parts)
{
	struct flows flows;
	uint32_t region;

	memset(parts, 0, count * sizeof(*parts));
	place_near_(domains, count, own, &flows, parts);
	for (region = 0; region < count; region++)
		place_round_(domains, count, own, domains[region].region,
			     &flows, parts);
	place_round_(domains, count, own, UINT32_MAX, &flows, parts);
	normalise_(count, parts);
}

static double bound_(const struct bw_spread_domain *domains, uint32_t count)
{
	double demand = 0.0;
	double slots = 0.0;
	double bound;
	uint32_t i;

	for (i = 0; i < count; i++) {
		demand += domains[i].demand_slots;
		slots += domains[i].slots;
	}
	if (slots <= 0.0)
		return LOAD_FREE;
	bound = LOAD_MARGIN * demand / slots;
	return bound > LOAD_FREE ? bound : LOAD_FREE;
}

static void place_near_(const struct bw_spread_domain *domains, uint32_t count,
			uint32_t own, struct flows *flows, double *parts)
{
	double bound = bound_(domains, count);
	uint32_t i;

	for (i = 0; i < count; i++) {
		double most = bound * domains[i].slots;
		double demand = domains[i].demand_slots;
		double near = demand < most ? demand : most;

		flows->rest[i] = demand - near;
		flows->room[i] = most - near;
		if (i == own)
			parts[i] = near;
	}
	/* A domain without demand so far begins at home. */
	if (domains[own].demand_slots <= 0.0 && domains[own].slots > 0.0)
		parts[own] = 1.0;
	else if (domains[own].demand_slots <= 0.0)
		flows->rest[own] = 1.0;
}

/* Places what is left of the domains of a region; UINT32_MAX means all. */
static void place_round_(const struct bw_spread_domain *domains, uint32_t count,
			 uint32_t own, uint32_t region, struct flows *flows,
			 double *parts)
{
	double rest = 0.0;
	double room = 0.0;
	double placed;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		rest += flows->rest[i];
		room += flows->room[i];
	}
	if (rest <= 0.0 || room <= 0.0)
		return;
	placed = rest < room ? rest : room;
	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		if (region == UINT32_MAX || domains[own].region == region)
			parts[i] += placed * flows->rest[own] / rest *
				    flows->room[i] / room;
	}
	for (i = 0; i < count; i++) {
		if (region != UINT32_MAX && domains[i].region != region)
			continue;
		flows->rest[i] *= 1.0 - placed / rest;
		flows->room[i] *= 1.0 - placed / room;
	}
}

static void normalise_(uint32_t count, double *parts)
{
	double total = 0.0;
	uint32_t i;

	for (i = 0; i < count; i++)
		total += parts[i];
	for (i = 0; i < count && total > 0.0; i++)
		parts[i] /= total;
}
