/**
 * @file
 * Look-up: which entry hosts a caller shall use for a service.
 */
#ifndef BORAGEWINGD_LOOKUP_H
#define BORAGEWINGD_LOOKUP_H

#include "bwbase/buffer.h"
#include "web.h"

struct steering;
struct directory_host;

/** Most entry hosts in one answer. */
#define LOOKUP_HOSTS_MAX 4

/** Entry hosts in the order in which a caller shall try them. */
struct lookup_answer {
	const struct directory_host *hosts[LOOKUP_HOSTS_MAX];
	const char *domains[LOOKUP_HOSTS_MAX];
	uint32_t count;
};

/** Handles GET /v1/lookup?service=NAME. */
void lookup_handle(struct web_request *request);

/**
 * Chooses entry hosts by the plan: the first domain by the caller region's
 * shares, then other domains of the plan that have a share. Hosts outside the
 * plan are never named, so that every move of traffic is one that the shift
 * ledger has counted.
 * @param service name of a service of the sheet in force
 * @param region index into the sheet's regions
 */
void lookup_choose(struct host *host, const char *service, uint32_t region,
		   struct lookup_answer *answer);

#endif
