/**
 * @file
 * The steering sheet: the operator's description of regions, services, ranks
 * and limits as a YAML document. It is loaded, checked and its references
 * resolved.
 */
#ifndef BWSTEER_SHEET_H
#define BWSTEER_SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"
#include "bwbase/yaml.h"

/** Largest sheet accepted, in bytes. */
#define BW_SHEET_MAX_BYTES (8 * 1024 * 1024)

/** Index value that stands for no item. */
#define BW_SHEET_NONE UINT32_MAX

/** Largest number of ranks of a sheet. */
#define BW_SHEET_RANKS_MAX 8

/** Bytes of the content hash of a sheet (BLAKE2b-128). */
#define BW_SHEET_HASH_BYTES 16

struct bw_sheet_region {
	char *name;
	char **failure_domains;
	uint32_t failure_domains_count;
	uint32_t max_load_percent; /**< 1..100 of the region's slots */
};

/** A network link between two regions. */
struct bw_sheet_link {
	char **between; /**< two region names */
	uint32_t between_count;
	uint32_t limit_mbit_per_s; /**< in each direction */
	double latency_ms; /**< one way */
	uint32_t region[2]; /**< resolved indices into regions */
};

/** Limits on moving traffic between failure domains. */
struct bw_sheet_shift {
	uint32_t cap_percent; /**< 1..100; largest fraction of a service's
				traffic moved within a window */
	uint32_t window_s; /**< length of the sliding window */
	uint32_t answer_ttl_s; /**< time to live of look-up answers */
};

/** A rank of requests. Ranks are listed from the most urgent to the least. */
struct bw_sheet_rank {
	char *name;
	uint32_t target_latency_ms;
	uint32_t worth; /**< priority of its services in planning */
	uint32_t min_share_percent; /**< guaranteed under overload */
};

/** Capacity of a service in one failure domain. */
struct bw_sheet_placement {
	char *failure_domain;
	uint32_t targets; /**< expected number of backend servers */
	uint32_t slots_per_target; /**< concurrent requests */
	uint32_t connections_per_target;
	uint32_t domain; /**< resolved index into domains */
};

/** A kind of request to a service. */
struct bw_sheet_kind {
	char *name;
	char *method; /**< HTTP method */
	char *path; /**< path prefix, starts with '/' */
	char *rank;
	bool idempotent;
	uint32_t rank_index; /**< resolved index into ranks */
};

struct bw_sheet_service {
	char *name;
	uint32_t mean_answer_kb; /**< for the estimated load of links */
	struct bw_sheet_placement *placements;
	uint32_t placements_count;
	struct bw_sheet_kind *kinds;
	uint32_t kinds_count;
	uint32_t crash_limit; /**< crashes after which a request is rejected */
};

/** Assignment of a block of client addresses to a region. */
struct bw_sheet_block {
	char *block; /**< IPv4 prefix, for example 127.1.0.0/16 */
	char *region;
	uint32_t prefix; /**< resolved, host byte order */
	uint32_t prefix_bits; /**< resolved, 0..32 */
	uint32_t region_index; /**< resolved index into regions */
};

/** A planned drain of a backend server or of a failure domain. */
struct bw_sheet_drain {
	char *backend_server; /**< NULL when a domain is named */
	char *failure_domain; /**< NULL when a backend server is named */
	char *service; /**< drained in the domain; NULL: all services */
	char *start; /**< RFC 3339 UTC */
	char *stop; /**< RFC 3339 UTC */
	int64_t start_ms; /**< resolved, wall clock since 1970 */
	int64_t stop_ms; /**< resolved, wall clock since 1970 */
};

/** A failure domain, resolved from the regions. */
struct bw_sheet_domain {
	const char *name;
	uint32_t region; /**< index into regions */
};

/** A loaded sheet. All of its indices are valid. */
struct bw_sheet {
	uint64_t revision; /**< greater than zero */
	char *deployment;
	struct bw_sheet_region *regions;
	uint32_t regions_count;
	struct bw_sheet_link *links;
	uint32_t links_count;
	struct bw_sheet_shift shift;
	struct bw_sheet_rank *ranks;
	uint32_t ranks_count;
	struct bw_sheet_service *services;
	uint32_t services_count;
	struct bw_sheet_block *client_blocks;
	uint32_t client_blocks_count;
	struct bw_sheet_drain *drains;
	uint32_t drains_count;

	struct bw_sheet_domain *domains; /**< resolved, in sheet order */
	uint32_t domains_count;
	uint8_t hash[BW_SHEET_HASH_BYTES]; /**< of the YAML text */
};

/** Errors found in a sheet. */
struct bw_sheet_errors {
	struct bw_yaml_error *items;
	uint32_t count;
	uint32_t capacity; /**< of items */
};

/** Initialises an empty list. */
void bw_sheet_errors_init(struct bw_sheet_errors *errors);

/** Frees the list. */
void bw_sheet_errors_finish(struct bw_sheet_errors *errors);

/**
 * Loads and checks a sheet and resolves its references.
 * @param sheet receives the sheet; NULL on failure; free it with
 *	bw_sheet_free
 * @param errors receives the errors found, each with its line
 * @return BW_OK, BW_EINVAL with at least one error, or BW_ENOMEM
 */
enum bw_status bw_sheet_load(const void *text, size_t size_bytes,
			     struct bw_sheet **sheet,
			     struct bw_sheet_errors *errors);

/** Frees a loaded sheet; NULL is ignored. */
void bw_sheet_free(struct bw_sheet *sheet);

/** Finds a region by name; BW_SHEET_NONE if there is none. */
uint32_t bw_sheet_find_region(const struct bw_sheet *sheet, const char *name);

/** Finds a failure domain by name; BW_SHEET_NONE if there is none. */
uint32_t bw_sheet_find_domain(const struct bw_sheet *sheet, const char *name);

/** Finds a service by name; BW_SHEET_NONE if there is none. */
uint32_t bw_sheet_find_service(const struct bw_sheet *sheet, const char *name);

/**
 * Finds the kind of a request: the one with the same method and the longest
 * matching path prefix.
 * @return index into the service's kinds, or BW_SHEET_NONE
 */
uint32_t bw_sheet_find_kind(const struct bw_sheet_service *service,
			    const char *method, const char *path);

/** Returns the one-way latency between two regions; 0 within one region or
 * without a link. */
double bw_sheet_latency_ms(const struct bw_sheet *sheet, uint32_t region_a,
			   uint32_t region_b);

/**
 * Returns whether the sheet drains a backend server at the given time.
 * @param wall_ms wall clock in milliseconds since 1970
 */
bool bw_sheet_is_draining(const struct bw_sheet *sheet,
			  const char *backend_server, const char *service,
			  const char *failure_domain, int64_t wall_ms);

#endif
