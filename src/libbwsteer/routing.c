#include "bwsteer/routing.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

static enum bw_status check_route_(const struct bw_routing *routing,
				   const struct bw_route *route, char *error);
static enum bw_status check_choices_(const struct bw_routing *routing,
				     const struct bw_route *route, char *error);
static bool insert_place_(struct bw_routing *routing, struct bw_route *route);
static void insert_digest_(struct bw_routing *routing, struct bw_route *route);
static uint32_t hash_place_(const char *host, size_t host_bytes,
			    const char *prefix, size_t prefix_bytes);
static const struct bw_route *find_place_(const struct bw_routing *routing,
					  const char *host, size_t host_bytes,
					  const char *prefix,
					  size_t prefix_bytes);
static uint32_t hash_digest_(const uint8_t *digest);
static bool host_matches_(const struct bw_route *route, const char *host,
			  size_t host_bytes);
static size_t without_port_(const char *host, size_t host_bytes);

struct bw_routing *bw_routing_new(uint32_t route_capacity,
				  uint32_t service_count)
{
	struct bw_routing *routing = calloc(1, sizeof(*routing));

	if (!routing)
		return NULL;
	routing->references = 1;
	routing->slot_count = 16;
	while (routing->slot_count < 2 * route_capacity)
		routing->slot_count *= 2;
	routing->routes = calloc(route_capacity + 1, sizeof(struct bw_route *));
	routing->by_place =
		calloc(routing->slot_count, sizeof(struct bw_route *));
	routing->by_digest =
		calloc(routing->slot_count, sizeof(struct bw_route *));
	routing->services =
		calloc(service_count + 1, sizeof(*routing->services));
	if (!routing->routes || !routing->by_place || !routing->by_digest ||
	    !routing->services) {
		bw_routing_unref(routing);
		return NULL;
	}
	routing->route_capacity = route_capacity;
	routing->service_count = service_count;
	return routing;
}

enum bw_status bw_routing_add(struct bw_routing *routing,
			      struct bw_route *route, char *error)
{
	enum bw_status status;

	if (!route || routing->route_count == routing->route_capacity) {
		bw_route_unref(route);
		return BW_ENOMEM;
	}
	status = check_route_(routing, route, error);
	/* Two routes with the same host and prefix would make the choice
	 * arbitrary. */
	if (status == BW_OK && !insert_place_(routing, route)) {
		snprintf(error, BW_ROUTE_ERROR_MAX,
			 "route %.60s and another one share host and prefix",
			 route->name);
		status = BW_EINVAL;
	}
	if (status != BW_OK) {
		bw_route_unref(route);
		return status;
	}
	insert_digest_(routing, route);
	routing->routes[routing->route_count++] = route;
	return BW_OK;
}

struct bw_routing *bw_routing_ref(struct bw_routing *routing)
{
	routing->references++;
	return routing;
}

void bw_routing_unref(struct bw_routing *routing)
{
	uint32_t i;

	if (!routing || --routing->references)
		return;
	for (i = 0; i < routing->route_count; i++)
		bw_route_unref(routing->routes[i]);
	free(routing->routes);
	free(routing->by_place);
	free(routing->by_digest);
	free(routing->services);
	bw_customers_free(routing->customers);
	free(routing);
}

enum bw_status bw_route_set_choice_count(struct bw_route *route,
					 uint32_t choice_count)
{
	route->choices = calloc(choice_count, sizeof(*route->choices));
	if (!route->choices)
		return BW_ENOMEM;
	route->choice_count = choice_count;
	return BW_OK;
}

enum bw_status bw_route_set_home_count(struct bw_route *route,
				       uint32_t home_count)
{
	route->homes = calloc(home_count, sizeof(*route->homes));
	if (!route->homes)
		return BW_ENOMEM;
	route->home_count = home_count;
	return BW_OK;
}

enum bw_status bw_routing_check(const struct bw_routing *routing, char *error)
{
	if (routing->version)
		return BW_OK;
	snprintf(error, BW_ROUTE_ERROR_MAX, "the version is missing");
	return BW_EINVAL;
}

struct bw_route *bw_route_new(void)
{
	struct bw_route *route = calloc(1, sizeof(*route));

	if (route)
		route->references = 1;
	return route;
}

struct bw_route *bw_route_ref(struct bw_route *route)
{
	route->references++;
	return route;
}

void bw_route_unref(struct bw_route *route)
{
	if (!route || --route->references)
		return;
	free(route->choices);
	free(route->homes);
	free(route);
}

const struct bw_route *bw_routing_find(const struct bw_routing *routing,
				       const char *host, size_t host_bytes,
				       const char *target, size_t target_bytes)
{
	const struct bw_route *route;
	const char *query = memchr(target, '?', target_bytes);
	size_t bytes = query ? (size_t)(query - target) : target_bytes;

	host_bytes = without_port_(host, host_bytes);
	if (host_bytes >= BW_ROUTE_HOST_MAX)
		return NULL;
	if (bytes >= BW_ROUTE_PREFIX_MAX)
		bytes = BW_ROUTE_PREFIX_MAX - 1;
	/* Every prefix ends with a slash; the longest one is tried first. */
	for (; bytes; bytes--) {
		if (target[bytes - 1] != '/')
			continue;
		route = find_place_(routing, host, host_bytes, target, bytes);
		if (route)
			return route;
	}
	return NULL;
}

struct bw_route *
bw_routing_find_digest(const struct bw_routing *routing,
		       const uint8_t digest[BW_ROUTE_DIGEST_BYTES])
{
	uint32_t mask = routing->slot_count - 1;
	uint32_t slot = hash_digest_(digest) & mask;
	struct bw_route *route;

	for (; (route = routing->by_digest[slot]); slot = (slot + 1) & mask) {
		if (!memcmp(route->digest, digest, BW_ROUTE_DIGEST_BYTES))
			return route;
	}
	return NULL;
}

bool bw_routing_has_host(const struct bw_routing *routing, const char *host,
			 size_t host_bytes)
{
	uint32_t i;

	host_bytes = without_port_(host, host_bytes);
	for (i = 0; i < routing->route_count; i++) {
		if (host_matches_(routing->routes[i], host, host_bytes))
			return true;
	}
	return false;
}

uint32_t bw_routing_service_find(const struct bw_routing *routing,
				 const char *name)
{
	uint32_t i;

	for (i = 0; i < routing->service_count; i++) {
		if (!strcmp(routing->services[i].name, name))
			return i;
	}
	return BW_ROUTING_NONE;
}

uint32_t bw_route_choose(const struct bw_route *route, uint64_t random)
{
	uint64_t total = 0;
	uint64_t remaining;
	uint32_t i;

	for (i = 0; i < route->choice_count; i++)
		total += route->choices[i].weight;
	if (!total)
		return 0;
	remaining = random % total;
	for (i = 0; i < route->choice_count; i++) {
		if (remaining < route->choices[i].weight)
			return i;
		remaining -= route->choices[i].weight;
	}
	return 0;
}

static enum bw_status check_route_(const struct bw_routing *routing,
				   const struct bw_route *route, char *error)
{
	size_t prefix_bytes = strlen(route->prefix);

	if (!route->host[0]) {
		snprintf(error, BW_ROUTE_ERROR_MAX, "route %s has no host",
			 route->name);
		return BW_EINVAL;
	}
	if (!prefix_bytes || route->prefix[0] != '/' ||
	    route->prefix[prefix_bytes - 1] != '/') {
		snprintf(error, BW_ROUTE_ERROR_MAX,
			 "the prefix of route %s has to begin and end with a "
			 "slash",
			 route->name);
		return BW_EINVAL;
	}
	if (!route->timeout_ms || !route->attempts_max) {
		snprintf(error, BW_ROUTE_ERROR_MAX,
			 "route %s has no timeout or no attempts", route->name);
		return BW_EINVAL;
	}
	return check_choices_(routing, route, error);
}

static enum bw_status check_choices_(const struct bw_routing *routing,
				     const struct bw_route *route, char *error)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < route->choice_count; i++) {
		const struct bw_route_choice *choice = &route->choices[i];

		if (bw_routing_service_find(routing, choice->service) ==
		    BW_ROUTING_NONE) {
			snprintf(error, BW_ROUTE_ERROR_MAX,
				 "route %s names the unknown service %s",
				 route->name, choice->service);
			return BW_EINVAL;
		}
		total += choice->weight;
	}
	if (total)
		return BW_OK;
	snprintf(error, BW_ROUTE_ERROR_MAX,
		 "the weights of route %s add up to zero", route->name);
	return BW_EINVAL;
}

/* Returns false if another route has the same host and prefix. */
static bool insert_place_(struct bw_routing *routing, struct bw_route *route)
{
	uint32_t mask = routing->slot_count - 1;
	size_t host_bytes = strlen(route->host);
	size_t prefix_bytes = strlen(route->prefix);
	uint32_t slot;

	if (find_place_(routing, route->host, host_bytes, route->prefix,
			prefix_bytes))
		return false;
	slot = hash_place_(route->host, host_bytes, route->prefix,
			   prefix_bytes) &
	       mask;
	while (routing->by_place[slot])
		slot = (slot + 1) & mask;
	routing->by_place[slot] = route;
	return true;
}

static void insert_digest_(struct bw_routing *routing, struct bw_route *route)
{
	static const uint8_t none[BW_ROUTE_DIGEST_BYTES];
	uint32_t mask = routing->slot_count - 1;
	uint32_t slot = hash_digest_(route->digest) & mask;

	if (!memcmp(route->digest, none, sizeof(none)))
		return;
	while (routing->by_digest[slot])
		slot = (slot + 1) & mask;
	routing->by_digest[slot] = route;
}

/* Host names are compared without regard to case. */
static uint32_t hash_place_(const char *host, size_t host_bytes,
			    const char *prefix, size_t prefix_bytes)
{
	char lower[BW_ROUTE_HOST_MAX];
	uint64_t seed;
	size_t i;

	for (i = 0; i < host_bytes; i++)
		lower[i] = (char)tolower((unsigned char)host[i]);
	seed = XXH3_64bits(lower, host_bytes);
	return (uint32_t)XXH3_64bits_withSeed(prefix, prefix_bytes, seed);
}

static const struct bw_route *find_place_(const struct bw_routing *routing,
					  const char *host, size_t host_bytes,
					  const char *prefix,
					  size_t prefix_bytes)
{
	uint32_t mask = routing->slot_count - 1;
	uint32_t slot = hash_place_(host, host_bytes, prefix, prefix_bytes) &
			mask;
	const struct bw_route *route;

	for (; (route = routing->by_place[slot]); slot = (slot + 1) & mask) {
		if (strlen(route->prefix) == prefix_bytes &&
		    !memcmp(route->prefix, prefix, prefix_bytes) &&
		    host_matches_(route, host, host_bytes))
			return route;
	}
	return NULL;
}

static uint32_t hash_digest_(const uint8_t *digest)
{
	uint32_t hash;

	memcpy(&hash, digest, sizeof(hash));
	return hash;
}

static bool host_matches_(const struct bw_route *route, const char *host,
			  size_t host_bytes)
{
	return strlen(route->host) == host_bytes &&
	       !strncasecmp(route->host, host, host_bytes);
}

/* The port in the Host field is ignored. */
static size_t without_port_(const char *host, size_t host_bytes)
{
	const char *colon = memchr(host, ':', host_bytes);

	return colon ? (size_t)(colon - host) : host_bytes;
}
