#include "bwsteer/retired_routes.h"

#include <string.h>

static void note_customers_(struct bw_retired_routes *kept,
			    const struct bw_routing *before,
			    const struct bw_routing *after, struct bw_time now);
static bool is_in_force_(const struct bw_routing *routing,
			 const uint8_t *digest);
static void add_(struct bw_retired_routes *retired, const uint8_t *digest,
		 struct bw_time since);
static const struct bw_retired_route *
find_(const struct bw_retired_routes *retired, const uint8_t *digest);

void bw_retired_routes_note(struct bw_retired_routes *retired,
			    const struct bw_routing *before,
			    const struct bw_routing *after, struct bw_time now)
{
	struct bw_retired_routes kept = { .count = 0 };
	uint32_t i;

	for (i = 0; i < retired->count; i++) {
		const uint8_t *digest = retired->routes[i].digest;

		if (!is_in_force_(after, digest))
			add_(&kept, digest, retired->routes[i].since);
	}
	for (i = 0; i < before->route_count; i++) {
		const uint8_t *digest = before->routes[i]->digest;

		if (!is_in_force_(after, digest))
			add_(&kept, digest, now);
	}
	note_customers_(&kept, before, after, now);
	*retired = kept;
}

void bw_retired_routes_merge(struct bw_retired_routes *retired,
			     const struct bw_retired_routes *announced,
			     struct bw_time now)
{
	struct bw_retired_routes merged = { .count = 0 };
	uint32_t i;

	for (i = 0; i < announced->count; i++) {
		const uint8_t *digest = announced->routes[i].digest;
		const struct bw_retired_route *known = find_(retired, digest);

		add_(&merged, digest, known ? known->since : now);
	}
	*retired = merged;
}

int64_t bw_retired_routes_age_ms(const struct bw_retired_routes *retired,
				 const uint8_t digest[BW_ROUTE_DIGEST_BYTES],
				 struct bw_time now)
{
	const struct bw_retired_route *route = find_(retired, digest);

	return route ? bw_time_diff_ms(now, route->since) : -1;
}

static void note_customers_(struct bw_retired_routes *kept,
			    const struct bw_routing *before,
			    const struct bw_routing *after, struct bw_time now)
{
	uint32_t count = before->customers ? before->customers->count : 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const uint8_t *digest = before->customers->items[i].digest;

		if (!is_in_force_(after, digest))
			add_(kept, digest, now);
	}
}

static bool is_in_force_(const struct bw_routing *routing,
			 const uint8_t *digest)
{
	return bw_routing_find_digest(routing, digest) ||
	       (routing->customers &&
		bw_customers_has_digest(routing->customers, digest));
}

/* Drops the oldest definition when the list is full. */
static void add_(struct bw_retired_routes *retired, const uint8_t *digest,
		 struct bw_time since)
{
	struct bw_retired_route *route;

	if (find_(retired, digest))
		return;
	if (retired->count == BW_RETIRED_ROUTES_MAX) {
		retired->count--;
		memmove(retired->routes, retired->routes + 1,
			retired->count * sizeof(retired->routes[0]));
	}
	route = &retired->routes[retired->count++];
	memcpy(route->digest, digest, sizeof(route->digest));
	route->since = since;
}

static const struct bw_retired_route *
find_(const struct bw_retired_routes *retired, const uint8_t *digest)
{
	uint32_t i;

	for (i = 0; i < retired->count; i++) {
		if (!memcmp(retired->routes[i].digest, digest,
			    BW_ROUTE_DIGEST_BYTES))
			return &retired->routes[i];
	}
	return NULL;
}
