/**
 * @file
 * Definitions of routes and customers that newer configurations have changed or
 * removed. The leader of the control hosts announces them, so that an entry
 * host that is behind knows which of them it must not use much longer. The list
 * is bounded: after a change of very many it has only some of them.
 */
#ifndef BWSTEER_RETIRED_ROUTES_H
#define BWSTEER_RETIRED_ROUTES_H

#include "bwbase/clock.h"
#include "bwsteer/routing.h"

/** Maximum number of definitions that are kept. */
#define BW_RETIRED_ROUTES_MAX 64

/** A definition that is no longer in force. */
struct bw_retired_route {
	uint8_t digest[BW_ROUTE_DIGEST_BYTES];
	struct bw_time since; /**< when this host learned of it */
};

/** Retired definitions, oldest first. */
struct bw_retired_routes {
	struct bw_retired_route routes[BW_RETIRED_ROUTES_MAX];
	uint32_t count;
};

/** Notes a change from one configuration to another. */
void bw_retired_routes_note(struct bw_retired_routes *retired,
			    const struct bw_routing *before,
			    const struct bw_routing *after, struct bw_time now);

/**
 * Takes over an announced list. What was known keeps its time; what is no
 * longer announced is dropped, because it is in force again.
 */
void bw_retired_routes_merge(struct bw_retired_routes *retired,
			     const struct bw_retired_routes *announced,
			     struct bw_time now);

/**
 * Returns for how long a definition has been known to be retired, in ms; -1: it
 * is not.
 */
int64_t bw_retired_routes_age_ms(const struct bw_retired_routes *retired,
				 const uint8_t digest[BW_ROUTE_DIGEST_BYTES],
				 struct bw_time now);

#endif
