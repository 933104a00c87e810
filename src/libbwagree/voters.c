#include "bwagree/voters.h"

#include <string.h>

/** Fewest and most voters of a group. */
#define VOTERS_MIN 3
#define VOTERS_MAX 9

/** Voters near a member. */
struct neighbours {
	uint32_t in_region;
	uint32_t in_domain;
};

static struct neighbours count_neighbours_(const struct bw_voter *members,
					   uint32_t count, uint32_t index);
static int compare_(const struct neighbours *a, const struct neighbours *b);
static bool find_loneliest_(const struct bw_voter *members, uint32_t count,
			    uint32_t *index);
static bool find_most_crowded_(const struct bw_voter *members, uint32_t count,
			       uint32_t *index);
static bool improves_(const struct bw_voter *members, uint32_t count,
		      uint32_t promoted, uint32_t demoted);

uint32_t bw_voters_target(uint32_t domains, uint32_t losses)
{
	uint32_t target = 2 * losses + 1;

	if (target < domains)
		target = domains;
	if (target < VOTERS_MIN)
		target = VOTERS_MIN;
	return target < VOTERS_MAX ? target : VOTERS_MAX;
}

struct bw_voter_change bw_voters_next(const struct bw_voter *members,
				      uint32_t count, uint32_t target)
{
	struct bw_voter_change change = { .step = BW_VOTER_KEEP };
	uint32_t promoted = 0;
	uint32_t demoted = 0;
	bool may_promote = find_loneliest_(members, count, &promoted);
	bool may_demote = find_most_crowded_(members, count, &demoted);
	uint32_t votes = 0;
	uint32_t live = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		votes += members[i].votes;
		live += members[i].votes && members[i].live;
	}
	if (votes > target && may_demote) {
		change.step = BW_VOTER_DEMOTE;
		change.index = demoted;
	} else if (votes <= target && may_promote &&
		   (live < target ||
		    (may_demote &&
		     improves_(members, count, promoted, demoted)))) {
		change.step = BW_VOTER_PROMOTE;
		change.index = promoted;
	}
	return change;
}

/* Counts the other live voters in the region and the domain of a member. */
static struct neighbours count_neighbours_(const struct bw_voter *members,
					   uint32_t count, uint32_t index)
{
	struct neighbours result = { 0 };
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (i == index || !members[i].votes || !members[i].live)
			continue;
		result.in_region +=
			!strcmp(members[i].region, members[index].region);
		result.in_domain +=
			!strcmp(members[i].domain, members[index].domain);
	}
	return result;
}

static int compare_(const struct neighbours *a, const struct neighbours *b)
{
	if (a->in_region != b->in_region)
		return a->in_region < b->in_region ? -1 : 1;
	if (a->in_domain != b->in_domain)
		return a->in_domain < b->in_domain ? -1 : 1;
	return 0;
}

/* Finds the live learner with the fewest voters near it; the first of equals.
 */
static bool find_loneliest_(const struct bw_voter *members, uint32_t count,
			    uint32_t *index)
{
	struct neighbours best;
	bool found = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct neighbours near = count_neighbours_(members, count, i);

		if (members[i].votes || !members[i].live ||
		    (found && compare_(&near, &best) >= 0))
			continue;
		best = near;
		*index = i;
		found = true;
	}
	return found;
}

/*
 * Finds a silent voter, else the one with the most voters near it; the last of
 * equals. The leader is never demoted.
 */
static bool find_most_crowded_(const struct bw_voter *members, uint32_t count,
			       uint32_t *index)
{
	struct neighbours best;
	bool found = false;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct neighbours near = count_neighbours_(members, count, i);

		if (!members[i].votes || members[i].leader)
			continue;
		if (!members[i].live) {
			*index = i;
			return true;
		}
		if (found && compare_(&near, &best) < 0)
			continue;
		best = near;
		*index = i;
		found = true;
	}
	return found;
}

/*
 * Returns whether a swap evens out the regions, or the domains of one region. A
 * difference of one is not worth a swap and would be swapped back.
 */
static bool improves_(const struct bw_voter *members, uint32_t count,
		      uint32_t promoted, uint32_t demoted)
{
	struct neighbours to = count_neighbours_(members, count, promoted);
	struct neighbours from = count_neighbours_(members, count, demoted);

	if (strcmp(members[promoted].region, members[demoted].region) != 0)
		return to.in_region < from.in_region;
	return strcmp(members[promoted].domain, members[demoted].domain) != 0 &&
	       to.in_domain < from.in_domain;
}
