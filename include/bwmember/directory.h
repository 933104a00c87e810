/**
 * @file
 * Which entry hosts a look-up names. The callers of a look-up use all of the
 * hosts named, and no others. An answer that names the few hosts that are ready
 * first after a loss of power would send them the requests of the whole fleet.
 * The module has no clock and no sockets.
 */
#ifndef BWMEMBER_DIRECTORY_H
#define BWMEMBER_DIRECTORY_H

#include "bwmember/roster.h"

/** Longest time for which look-ups get no answer while most hosts start. */
#define BW_DIRECTORY_WAIT_MAX_MS 1500

/** Values of bw_roster_host.state that the directory distinguishes. */
struct bw_directory_states {
	uint32_t ready; /**< accepts requests */
	uint32_t leaving; /**< is not expected to become ready */
};

/** Directory of one control host. */
struct bw_directory {
	struct bw_directory_states states;
	struct bw_time ready_since; /**< first look-up since which some host has
				       been ready; 0 ms: none is */
};

/** A look-up of a caller. */
struct bw_directory_query {
	const char *domain; /**< of the caller */
	const char *region;
	uint64_t first; /**< random; where the list begins when there are more
			   hosts than an answer may name */
};

/** Initialises the directory. */
void bw_directory_init(struct bw_directory *directory,
		       const struct bw_directory_states *states);

/**
 * Chooses the hosts that are ready in the caller's failure domain, in its
 * region or anywhere: the nearest of these in which most hosts are ready. While
 * most hosts everywhere start, it chooses none for BW_DIRECTORY_WAIT_MAX_MS;
 * callers then keep the answer that they have.
 * @param addresses receives their names
 * @return number of names; 0: no answer
 */
uint32_t bw_directory_choose(struct bw_directory *directory,
			     struct bw_roster *roster,
			     const struct bw_directory_query *query,
			     struct bw_time now, char (*addresses)[BW_NAME_MAX],
			     uint32_t addresses_max);

#endif
