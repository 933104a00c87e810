/**
 * @file
 * Directory of failure domains and their entry hosts, for look-ups and
 * forwarding. It is rebuilt from the membership of this host's domain and the
 * table of domain summaries.
 */
#ifndef BORAGEWINGD_DIRECTORY_H
#define BORAGEWINGD_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwmember/aggregator.h"

struct host;

/** Most entry hosts kept for one domain. */
#define DIRECTORY_HOSTS_MAX 8

/** Age of a summary from which its domain counts as unreachable. */
#define DIRECTORY_SUMMARY_MAX_AGE_MS 10000

/** An entry host. */
struct directory_host {
	char name[BW_NAME_MAX];
	char address[BW_MEMBER_ADDRESS_MAX];
	uint16_t port;
	uint64_t incarnation; /**< 0: not known */
	bool leaving;
};

/** A failure domain. */
struct directory_domain {
	char name[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	bool alive; /**< a host is up and the summary is recent */
	struct directory_host hosts[DIRECTORY_HOSTS_MAX];
	uint32_t hosts_count;
	uint64_t summary_tag; /**< of the summary last decoded */
};

/** The directory. */
struct directory {
	struct host *host;
	struct directory_domain *domains; /**< this host's domain first */
	uint32_t domains_count;
	struct bw_time next_rebuild;
	GHashTable *regions; /**< host name -> region; never removed */
};

/** Initialises with capacity for BW_SUMMARY_ROWS_MAX domains. */
enum bw_status directory_init(struct directory *directory, struct host *host);

/** Frees the directory. */
void directory_finish(struct directory *directory);

/** Rebuilds the directory when it is due; called every 50 ms. */
void directory_tick(struct directory *directory, struct bw_time now);

/** Finds a domain by name, or NULL. */
const struct directory_domain *directory_find(const struct directory *directory,
					      const char *domain);

/** Finds an entry host by name in all domains, or NULL. */
const struct directory_host *
directory_find_host(const struct directory *directory, const char *name);

/**
 * Returns the region of a host that may have left or failed; this host's
 * region when the host is unknown.
 */
const char *directory_region(const struct directory *directory,
			     const char *name);

/**
 * Chooses the backup host for request records: one in another domain of the
 * same region, otherwise one in this host's domain.
 * @return the host, or NULL when there is none
 */
const struct directory_host *
directory_choose_backup(const struct directory *directory);

#endif
