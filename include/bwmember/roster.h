/**
 * @file
 * The entry hosts of the fleet, as one control host knows them. An entry host
 * reports to few control hosts; the one that sends it full detail lists it to
 * all others. A host stays on the roster while either arrives. The module has
 * no clock and no sockets.
 */
#ifndef BWMEMBER_ROSTER_H
#define BWMEMBER_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"

/** An entry host. */
struct bw_roster_host {
	char name[BW_NAME_MAX]; /**< its entry address */
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	uint32_t state; /**< as it reports it; the caller's values */
};

/** How the last update changed the roster. */
enum bw_roster_outcome {
	BW_ROSTER_UNCHANGED,
	BW_ROSTER_ADDED,
	BW_ROSTER_CHANGED /**< another state, domain or region */
};

/** Entry hosts by name, and in the order of their names. */
struct bw_roster {
	GHashTable *hosts; /**< name -> entry, private */
	GPtrArray *sorted; /**< const struct bw_roster_host, by name; valid
				until the next change */
	bool sorted_due;
};

/** Initialises an empty roster. */
void bw_roster_init(struct bw_roster *roster);

/** Frees the roster. */
void bw_roster_finish(struct bw_roster *roster);

/** Notes what an entry host reports of itself. */
enum bw_roster_outcome bw_roster_report(struct bw_roster *roster,
					const struct bw_roster_host *host,
					struct bw_time now);

/**
 * Notes what another control host lists. What the entry host itself reported
 * here within BW_ROSTER_REPORT_MAX_MS takes precedence.
 */
enum bw_roster_outcome bw_roster_list(struct bw_roster *roster,
				      const struct bw_roster_host *host,
				      struct bw_time now);

/** Age at which a report of an entry host no longer counts. */
#define BW_ROSTER_REPORT_MAX_MS 1750

/**
 * Age at which the list of another control host no longer counts: two lists may
 * be lost, and an entry host needs a while to select another control host.
 */
#define BW_ROSTER_LIST_MAX_MS 3500

/**
 * Removes one host of which neither a report nor a list is recent.
 * @param host receives it, with its last state
 * @param silent_ms receives the time since it was last heard of
 * @return whether there was one; the caller repeats the call
 */
bool bw_roster_expire(struct bw_roster *roster, struct bw_time now,
		      struct bw_roster_host *host, int64_t *silent_ms);

/** Returns the hosts in the order of their names. */
const GPtrArray *bw_roster_sorted(struct bw_roster *roster);

/** Returns the index of a name in that order, or where it would be. */
uint32_t bw_roster_index(struct bw_roster *roster, const char *name);

/** Returns the number of hosts in a failure domain. */
uint32_t bw_roster_count_in(struct bw_roster *roster, const char *domain);

#endif
