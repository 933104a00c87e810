#include "bwsteer/routing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static enum bw_status check_route_(struct bw_routing *routing,
				   struct bw_route *route, char *error);
static enum bw_status check_choices_(struct bw_routing *routing,
				     struct bw_route *route, char *error);
static enum bw_status check_duplicates_(const struct bw_routing *routing,
					char *error);
static int compare_host_and_prefix_(const void *a, const void *b);
static bool host_matches_(const struct bw_route *route, const char *host,
			  size_t host_bytes);

struct bw_routing *bw_routing_new(uint32_t route_count, uint32_t service_count)
{
	struct bw_routing *routing = calloc(1, sizeof(*routing));

	if (!routing)
		return NULL;
	routing->references = 1;
	routing->routes = calloc(route_count + 1, sizeof(*routing->routes));
	routing->services =
		calloc(service_count + 1, sizeof(*routing->services));
	if (!routing->routes || !routing->services) {
		bw_routing_unref(routing);
		return NULL;
	}
	routing->route_count = route_count;
	routing->service_count = service_count;
	return routing;
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
	for (i = 0; routing->routes && i < routing->route_count; i++)
		bw_route_finish(&routing->routes[i]);
	free(routing->routes);
	free(routing->services);
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

void bw_route_finish(struct bw_route *route)
{
	free(route->choices);
	free(route->homes);
}

enum bw_status bw_routing_check(struct bw_routing *routing, char *error)
{
	enum bw_status status;
	uint32_t i;

	if (!routing->version) {
		snprintf(error, BW_ROUTE_ERROR_MAX, "the version is missing");
		return BW_EINVAL;
	}
	for (i = 0; i < routing->route_count; i++) {
		status = check_route_(routing, &routing->routes[i], error);
		if (status != BW_OK)
			return status;
	}
	return check_duplicates_(routing, error);
}

const struct bw_route *bw_routing_find(const struct bw_routing *routing,
				       const char *host, size_t host_bytes,
				       const char *target, size_t target_bytes)
{
	const struct bw_route *best = NULL;
	size_t best_bytes = 0;
	size_t path_bytes = target_bytes;
	const char *query = memchr(target, '?', target_bytes);
	uint32_t i;

	if (query)
		path_bytes = (size_t)(query - target);
	for (i = 0; i < routing->route_count; i++) {
		const struct bw_route *route = &routing->routes[i];
		size_t prefix_bytes = strlen(route->prefix);

		if (prefix_bytes <= best_bytes || prefix_bytes > path_bytes ||
		    memcmp(target, route->prefix, prefix_bytes) != 0 ||
		    !host_matches_(route, host, host_bytes))
			continue;
		best = route;
		best_bytes = prefix_bytes;
	}
	return best;
}

bool bw_routing_has_host(const struct bw_routing *routing, const char *host,
			 size_t host_bytes)
{
	uint32_t i;

	for (i = 0; i < routing->route_count; i++) {
		if (host_matches_(&routing->routes[i], host, host_bytes))
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

static enum bw_status check_route_(struct bw_routing *routing,
				   struct bw_route *route, char *error)
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

static enum bw_status check_choices_(struct bw_routing *routing,
				     struct bw_route *route, char *error)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < route->choice_count; i++) {
		struct bw_route_choice *choice = &route->choices[i];

		choice->service_index =
			bw_routing_service_find(routing, choice->service);
		if (choice->service_index == BW_ROUTING_NONE) {
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

/* Two routes with the same host and prefix would make the choice arbitrary. */
static enum bw_status check_duplicates_(const struct bw_routing *routing,
					char *error)
{
	const struct bw_route **sorted;
	enum bw_status status = BW_OK;
	uint32_t i;

	sorted = calloc(routing->route_count + 1, sizeof(*sorted));
	if (!sorted)
		return BW_ENOMEM;
	for (i = 0; i < routing->route_count; i++)
		sorted[i] = &routing->routes[i];
	qsort(sorted, routing->route_count, sizeof(*sorted),
	      compare_host_and_prefix_);
	for (i = 1; i < routing->route_count && status == BW_OK; i++) {
		if (compare_host_and_prefix_(&sorted[i - 1], &sorted[i]) != 0)
			continue;
		snprintf(error, BW_ROUTE_ERROR_MAX,
			 "routes %.60s and %.60s share host and prefix",
			 sorted[i - 1]->name, sorted[i]->name);
		status = BW_EINVAL;
	}
	free(sorted);
	return status;
}

static int compare_host_and_prefix_(const void *a, const void *b)
{
	const struct bw_route *const *left = a;
	const struct bw_route *const *right = b;
	int order = strcasecmp((*left)->host, (*right)->host);

	return order ? order : strcmp((*left)->prefix, (*right)->prefix);
}

/* The port in the Host field is ignored. */
static bool host_matches_(const struct bw_route *route, const char *host,
			  size_t host_bytes)
{
	const char *colon = memchr(host, ':', host_bytes);

	if (colon)
		host_bytes = (size_t)(colon - host);
	return strlen(route->host) == host_bytes &&
	       !strncasecmp(route->host, host, host_bytes);
}
