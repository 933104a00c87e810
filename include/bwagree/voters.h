/**
 * @file
 * Which members of a group vote. A group has a fixed number of voters, however
 * many members it has, so that the cost of a commit does not grow with the
 * fleet. The voters are spread over regions and failure domains, so that the
 * loss of any one of these leaves a majority. The others are learners: they
 * have the log, and one of them takes the place of a voter that is lost. The
 * module has no clock and no sockets.
 */
#ifndef BWAGREE_VOTERS_H
#define BWAGREE_VOTERS_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/packet.h"

/** A member of the group, as its leader sees it. */
struct bw_voter {
	char host[BW_NAME_MAX];
	char domain[BW_NAME_MAX]; /**< failure domain; "" when unknown */
	char region[BW_NAME_MAX]; /**< "" when unknown */
	bool votes; /**< is a voter, or becomes one once it has caught up */
	bool live; /**< responds, or has been silent for a short time only */
	bool leader;
};

/** Kinds of change. */
enum bw_voter_step {
	BW_VOTER_KEEP,
	BW_VOTER_PROMOTE, /**< make a learner a voter */
	BW_VOTER_DEMOTE /**< make a voter a learner */
};

/** The next change of a group. */
struct bw_voter_change {
	enum bw_voter_step step;
	uint32_t index; /**< of the member; undefined for BW_VOTER_KEEP */
};

/**
 * Returns the number of voters that a group should have: one in each failure
 * domain, enough to lose some with their disks, and no more than the cost of a
 * commit allows.
 * @param domains number of failure domains
 * @param losses members that may be lost at the same time with their disks
 */
uint32_t bw_voters_target(uint32_t domains, uint32_t losses);

/**
 * Chooses the next change. A lost voter is demoted only after a live member was
 * promoted in its place, so that the number of live voters never falls because
 * of a change. Repeated calls reach a state without further changes.
 * @param target number of voters, see bw_voters_target
 */
struct bw_voter_change bw_voters_next(const struct bw_voter *members,
				      uint32_t count, uint32_t target);

#endif
