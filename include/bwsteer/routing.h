/**
 * @file
 * Routing table of one configuration version. It maps a request to a route with
 * its services, limits and timeouts. A table in use is immutable; a new version
 * replaces the whole table, but shares the routes that did not change.
 */
#ifndef BWSTEER_ROUTING_H
#define BWSTEER_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"
#include "bwcustomer/customers.h"

/** Sizes of strings including the terminating null byte. */
#define BW_ROUTE_NAME_MAX 64
#define BW_ROUTE_HOST_MAX 256
#define BW_ROUTE_PREFIX_MAX 256
#define BW_ROUTE_ERROR_MAX 256

/** Returned when no service has the name. */
#define BW_ROUTING_NONE UINT32_MAX

/** A service of a route with its weight. */
struct bw_route_choice {
	char service[BW_ROUTE_NAME_MAX];
	uint32_t weight;
};

/** Size of the hash of a route's definition. */
#define BW_ROUTE_DIGEST_BYTES 16

/** One route; immutable once it is in a table. */
struct bw_route {
	uint32_t references;
	uint8_t digest[BW_ROUTE_DIGEST_BYTES]; /**< of its definition; set by
						   the caller, else zero */
	char name[BW_ROUTE_NAME_MAX];
	char host[BW_ROUTE_HOST_MAX];
	char prefix[BW_ROUTE_PREFIX_MAX]; /**< begins and ends with a slash */
	bool idempotent; /**< requests may run more than once */
	bool is_public; /**< requests need no key */
	bool keyed_placement; /**< requests for an object prefer the server that
				 served it before, where they run faster */
	uint32_t timeout_ms; /**< maximum time that a request is kept waiting */
	uint32_t target_latency_ms; /**< latency objective */
	uint32_t attempts_max; /**< maximum number of backend servers that one
				  request is sent to */
	uint32_t rank; /**< 0 is the most urgent */
	struct bw_route_choice *choices;
	uint32_t choice_count;
	char (*homes)[BW_ROUTE_NAME_MAX]; /**< home regions; any if none */
	uint32_t home_count;
};

/** Properties of a service. */
struct bw_routing_service {
	char name[BW_ROUTE_NAME_MAX];
	char health_path[BW_ROUTE_PREFIX_MAX];
	uint32_t connections_max; /**< per backend server, over all callers */
	uint32_t cold_start_ms; /**< warm-up time of a server after its start */
	double cold_requests_per_s; /**< maximum rate for a server that warms
				       up; 0 if unlimited */
};

/** Bounds on what clients send. */
struct bw_routing_limits {
	uint32_t head_max_bytes;
	uint32_t body_max_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

/** A routing table. */
struct bw_routing {
	uint64_t version;
	struct bw_route **routes;
	uint32_t route_count;
	uint32_t route_capacity;
	struct bw_route **by_place; /**< hash table by host and prefix */
	struct bw_route **by_digest; /**< hash table by digest */
	uint32_t slot_count; /**< of each hash table; a power of two */
	struct bw_routing_service *services;
	uint32_t service_count;
	struct bw_routing_limits limits;
	struct bw_customers *customers; /**< NULL: requests need no key */
	uint32_t references;
};

/**
 * Allocates a table without routes. The caller fills in the version, the
 * services and the limits, and then adds the routes.
 * @param route_capacity maximum number of routes
 * @return NULL when out of memory
 */
struct bw_routing *bw_routing_new(uint32_t route_capacity,
				  uint32_t service_count);

/**
 * Validates a route and adds it to a table.
 * @param route its reference passes to the table, also on failure; NULL counts
 *	as out of memory
 * @param error receives a message on BW_EINVAL; BW_ROUTE_ERROR_MAX bytes
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status bw_routing_add(struct bw_routing *routing,
			      struct bw_route *route, char *error);

/**
 * Validates what the routes don't tell.
 * @param error receives a message on BW_EINVAL; BW_ROUTE_ERROR_MAX bytes
 * @return BW_OK or BW_EINVAL
 */
enum bw_status bw_routing_check(const struct bw_routing *routing, char *error);

/** Adds a reference. */
struct bw_routing *bw_routing_ref(struct bw_routing *routing);

/** Drops a reference; the last one frees the table. NULL is allowed. */
void bw_routing_unref(struct bw_routing *routing);

/** Allocates empty choices of a route that has none. @return BW_OK, BW_ENOMEM
 */
enum bw_status bw_route_set_choice_count(struct bw_route *route,
					 uint32_t choice_count);

/** Allocates empty homes of a route that has none. @return BW_OK, BW_ENOMEM */
enum bw_status bw_route_set_home_count(struct bw_route *route,
				       uint32_t home_count);

/** Allocates a route with one reference. @return NULL when out of memory */
struct bw_route *bw_route_new(void);

/** Adds a reference. */
struct bw_route *bw_route_ref(struct bw_route *route);

/** Drops a reference; the last one frees the route. NULL is allowed. */
void bw_route_unref(struct bw_route *route);

/** Finds a route by the digest of its definition. @return NULL if none has it
 */
struct bw_route *
bw_routing_find_digest(const struct bw_routing *routing,
		       const uint8_t digest[BW_ROUTE_DIGEST_BYTES]);

/**
 * Finds the route of a request: the route of the host with the longest prefix
 * of the path.
 * @param target request target; the query string is not part of the path
 * @return NULL when no route matches
 */
const struct bw_route *bw_routing_find(const struct bw_routing *routing,
				       const char *host, size_t host_bytes,
				       const char *target, size_t target_bytes);

/** Returns whether a host has a route, whatever its prefix. */
bool bw_routing_has_host(const struct bw_routing *routing, const char *host,
			 size_t host_bytes);

/** Finds a service by name. @return its index or BW_ROUTING_NONE */
uint32_t bw_routing_service_find(const struct bw_routing *routing,
				 const char *name);

/**
 * Chooses a service of a route by weight.
 * @param random uniformly distributed 64-bit value
 * @return index of the choice
 */
uint32_t bw_route_choose(const struct bw_route *route, uint64_t random);

#endif
