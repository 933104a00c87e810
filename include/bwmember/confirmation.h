/**
 * @file
 * Decides whether an entry host may tell a client for good that something does
 * not exist. The host has to know that no newer configuration is in force,
 * which most voters of the control group together can tell: a version is in
 * force once it is in the log of most of them, and each announces it once it
 * has applied it, about one heartbeat of the leader later. Control hosts ask
 * the voters, and tell their entry hosts the result with its age, so that an
 * entry host needs few control hosts, however many there are. The module has no
 * clock and no sockets.
 */
#ifndef BWMEMBER_CONFIRMATION_H
#define BWMEMBER_CONFIRMATION_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"

/** What a control host announced last. */
struct bw_announcement {
	uint64_t version; /**< 0: none */
	bool current; /**< its state is not older than its start */
	struct bw_time as_of; /**< it announced the version at this time or
				   later; 0 ms: unknown */
	struct bw_time majority_as_of; /**< most voters had no newer version at
					    this time, which is earlier than
					    as_of; 0 ms: not confirmed */
};

/**
 * Replaces the known announcement of a control host by a later one. Keeps the
 * time of the latest confirmation by most voters, unless that was of a version
 * which the host no longer has.
 */
void bw_announcement_replace(struct bw_announcement *known,
			     const struct bw_announcement *later);

/**
 * Returns for how long most voters have not confirmed what a control host
 * announces; INT64_MAX if they never have. A single announcement that they
 * don't confirm says little: the control host may be a few milliseconds behind
 * a change.
 */
int64_t
bw_announcement_unconfirmed_ms(const struct bw_announcement *announcement,
			       struct bw_time now);

/** What the announcements of all known control hosts say together. */
struct bw_confirmation {
	bool confirmed; /**< no newer version was in force recently */
	uint64_t newest_version; /**< announced by any control host */
	uint32_t confirmed_by; /**< control hosts with a recent announcement of
				    no newer version */
	uint32_t controls; /**< known control hosts */
	struct bw_time as_of; /**< if confirmed: no version was newer at that
				   time */
};

/** Maximum number of announcements. */
#define BW_ANNOUNCEMENTS_MAX 128

/**
 * Checks a version against the last announcement of each known control host,
 * whatever its age if it is newer. It is confirmed by most of them, or by one
 * that has asked most voters.
 * @param version in force here; 0: none, which is never confirmed
 * @param age_max_ms age at which an announcement no longer confirms
 */
struct bw_confirmation bw_confirm(const struct bw_announcement *announcements,
				  uint32_t count, uint64_t version,
				  uint32_t age_max_ms, struct bw_time now);

/** Longest wait of a starting host for most control hosts to confirm. */
#define BW_START_WAIT_MS 1500

/** Longest wait of a starting host for a newer version that it knows of. */
#define BW_START_BEHIND_WAIT_MS 4000

/**
 * Returns whether a starting host may serve: at once when its version is
 * confirmed; else it waits, longer when a newer version was announced.
 * @param version in force here; 0: none, without which it never serves
 * @param waited_ms since its start
 */
bool bw_may_start(const struct bw_confirmation *confirmation, uint64_t version,
		  int64_t waited_ms);

#endif
