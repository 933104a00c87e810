/**
 * @file
 * Chooses the control host from which an entry host gets details: backend
 * servers, their loads and the names of control hosts. Each entry host needs
 * them once, and the nearest control host can pass them on without bytes
 * between failure domains. All other control hosts tell it only what must not
 * depend on one host. Where the chosen control host does not hear another one
 * that this host hears, because they are cut off from each other, that one
 * tells its details too. The module has no clock and no sockets.
 */
#ifndef BWMEMBER_FEED_H
#define BWMEMBER_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"

/** Most control hosts. */
#define BW_FEED_PEERS_MAX 32

/** How far a control host is; unknown until it has said where it is. */
enum bw_feed_distance {
	BW_FEED_SAME_DOMAIN, /**< same failure domain */
	BW_FEED_SAME_REGION, /**< same region */
	BW_FEED_OTHER_REGION, /**< another region */
	BW_FEED_UNKNOWN
};

/** A control host that may be the source. */
struct bw_feed_peer {
	char name[BW_NAME_MAX];
	enum bw_feed_distance distance;
	bool alive; /**< heard lately */
};

/** State of one entry host. */
struct bw_feed {
	char self[BW_NAME_MAX]; /**< spreads hosts over equally near peers */
	char source[BW_NAME_MAX]; /**< chosen control host; "" none yet */
	struct bw_time started;
	bool has_source_peers; /**< the source has said whom it hears */
	char source_peers[BW_FEED_PEERS_MAX][BW_NAME_MAX]; /**< by the source */
	uint32_t source_peer_count;
};

/** Initialises the module without a source. */
void bw_feed_init(struct bw_feed *feed, const char *self, struct bw_time now);

/**
 * Chooses the source anew: the nearest live control host. A present source
 * stays while no other is nearer. A host that has just started waits a moment
 * for a control host of its own failure domain.
 * @return whether the source changed
 */
bool bw_feed_choose(struct bw_feed *feed, const struct bw_feed_peer *peers,
		    uint32_t count, struct bw_time now);

/** Records which control hosts the source hears, itself left out. */
void bw_feed_set_source_peers(struct bw_feed *feed, const char *source,
			      const char (*names)[BW_NAME_MAX], uint32_t count);

/** Returns whether a control host has to tell details. */
bool bw_feed_needs_detail(const struct bw_feed *feed,
			  const struct bw_feed_peer *peer);

#endif
