/**
 * @file
 * Look-up of the entry hosts that a caller uses for a service.
 */
#ifndef BORAGEWINGD_LOOKUP_H
#define BORAGEWINGD_LOOKUP_H

#include "bwbase/buffer.h"
#include "web.h"

struct steering;
struct directory_host;

/** Most entry hosts in one response. */
#define LOOKUP_HOSTS_MAX 4

/** Entry hosts in the order in which a caller tries them. */
struct lookup_result {
	const struct directory_host *hosts[LOOKUP_HOSTS_MAX];
	const char *domains[LOOKUP_HOSTS_MAX];
	uint32_t count;
};

/** Handles GET /v1/lookup?service=NAME. */
void lookup_handle(struct web_request *request);

/**
 * Chooses entry hosts by the plan: the first domain by the shares of the
 * caller's region, then the other domains with a share. Hosts outside the plan
 * are never listed, so that the shift ledger accounts for every traffic shift.
 * @param service name of a service of the sheet in force
 * @param region index into the sheet's regions
 */
void lookup_choose(struct host *host, const char *service, uint32_t region,
		   struct lookup_result *result);

#endif
