/**
 * @file
 * Decides when an entry host fetches a newer configuration, and from which
 * control host. The transfer itself, in pieces, is that of bwmember/distribute.
 * One fetch at a time is enough: answers queue behind each other on a slow
 * link, and behind them the statuses that show control hosts to be alive. The
 * module has no clock and no sockets.
 *
 * Load: the leader announces a version to all entry hosts at once, and they
 * fetch it from their feeds, which announce it after one heartbeat (80 ms).
 * Only a host whose feed doesn't announce it in time asks another control host,
 * at first often the leader. Most control hosts have the version, so these are
 * fewer than half of the entry hosts.
 */
#ifndef BWMEMBER_FETCH_H
#define BWMEMBER_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwmember/feed.h"

/** Time for which the feed may lag behind the first announcement. */
#define BW_FETCH_FEED_WAIT_MS 200

/** Shortest and longest time until a fetch is repeated. */
#define BW_FETCH_TIMEOUT_MIN_MS 300
#define BW_FETCH_TIMEOUT_MAX_MS 2400

/** A control host that can be asked. */
struct bw_fetch_peer {
	const char *name;
	enum bw_feed_distance distance;
	bool alive; /**< a packet arrived recently */
	bool feed; /**< it sends this host full detail */
	uint64_t version; /**< that it offers; 0: none */
};

/** State of one entry host. */
struct bw_fetch {
	char self[BW_NAME_MAX]; /**< hashed to break ties */
	bool behind; /**< a newer version is offered */
	struct bw_time behind_since;
	char asked[BW_NAME_MAX]; /**< by the last fetch; "" none yet */
	struct bw_time asked_at; /**< time of the last fetch */
	struct bw_time first_asked_at; /**< of those without an answer */
	uint32_t unanswered; /**< fetches without an answer */
	uint32_t timeout_ms; /**< of the last fetch */
};

/** Initialises the module. */
void bw_fetch_init(struct bw_fetch *fetch, const char *self);

/**
 * Notes what control hosts offer, and decides whether to send a fetch now;
 * called after each event and from a timer.
 * @param version in force here; 0: none
 * @return the control host to ask, which counts as asked; NULL: none
 */
const struct bw_fetch_peer *bw_fetch_next(struct bw_fetch *fetch,
					  const struct bw_fetch_peer *peers,
					  uint32_t count, uint64_t version,
					  struct bw_time now);

/**
 * Notes that a part of a text arrived: the time-out starts again, and the next
 * request goes to the same control host.
 */
void bw_fetch_progressed(struct bw_fetch *fetch, struct bw_time now);

/**
 * Notes that a text arrived.
 * @param newer whether it is newer than the version that was in force
 */
void bw_fetch_received(struct bw_fetch *fetch, bool newer, struct bw_time now);

#endif
