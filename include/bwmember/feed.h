/**
 * @file
 * Selects the control hosts that an entry host talks to, and the one of them
 * that sends it full detail (the source): backend servers, their loads and the
 * names of control hosts. Each entry host needs one copy, and the nearest
 * control host can send it without traffic between failure domains. The other
 * contacts send only what must not depend on a single host; they are few,
 * however many control hosts there are, and in several regions. A contact that
 * the source does not hear (a partition between the two) sends full detail too.
 * The module has no clock and no sockets.
 */
#ifndef BWMEMBER_FEED_H
#define BWMEMBER_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"

/** Maximum number of control hosts. */
#define BW_FEED_PEERS_MAX 128

/** Number of control hosts that an entry host talks to. */
#define BW_FEED_CONTACTS 4

/**
 * The same while it has no source. All hosts that start know the same three
 * control hosts.
 */
#define BW_FEED_FIRST_CONTACTS 2

/** Maximum number of regions; further ones count as the last. */
#define BW_FEED_REGIONS_MAX 64

/** Distance to a control host; unknown until it has sent its location. */
enum bw_feed_distance {
	BW_FEED_SAME_DOMAIN, /**< same failure domain */
	BW_FEED_SAME_REGION, /**< same region */
	BW_FEED_OTHER_REGION, /**< another region */
	BW_FEED_UNKNOWN
};

/** Why the source was changed. */
enum bw_feed_change {
	BW_FEED_KEPT,
	BW_FEED_FIRST, /**< there was none */
	BW_FEED_SILENT, /**< it no longer responds */
	BW_FEED_OUTDATED, /**< it is outdated, the new one is not */
	BW_FEED_NEARER, /**< the new one is nearer */
	BW_FEED_CHANGE_COUNT
};

/** Texts of enum bw_feed_change, which appear in output. */
extern const char *const bw_feed_change_string[BW_FEED_CHANGE_COUNT];

/** A control host that can be selected as the source. */
struct bw_feed_peer {
	char name[BW_NAME_MAX];
	enum bw_feed_distance distance;
	uint32_t region; /**< index of its region */
	bool alive; /**< a packet arrived recently */
	bool outdated; /**< it is cut off from most voters, or still starts */
	bool avoided; /**< it was a contact and did not respond */
	bool contact; /**< it is a contact */
	bool cut_off; /**< it was a contact and said that it is cut off from
			   most voters */
};

/** State of one entry host. */
struct bw_feed {
	char self[BW_NAME_MAX]; /**< hashed to break ties of distance */
	char source[BW_NAME_MAX]; /**< selected control host; "" none yet */
	struct bw_time started;
	bool has_source_peers; /**< the source has sent its list */
	char source_peers[BW_FEED_PEERS_MAX][BW_NAME_MAX];
	uint32_t source_peer_count;
};

/** Initialises the module without a source. */
void bw_feed_init(struct bw_feed *feed, const char *self, struct bw_time now);

/**
 * Selects the nearest live control host as the source, if possible one that is
 * not outdated. A live source is replaced only by a nearer one, or when it is
 * outdated. A host that has just started waits briefly for a control host of
 * its own failure domain.
 * @return why the source changed
 */
enum bw_feed_change bw_feed_choose(struct bw_feed *feed,
				   const struct bw_feed_peer *peers,
				   uint32_t count, struct bw_time now);

/**
 * Records the control hosts from which the source receives packets, without
 * the source itself. Ignored if source is not the selected one.
 */
void bw_feed_set_source_peers(struct bw_feed *feed, const char *source,
			      const char (*names)[BW_NAME_MAX], uint32_t count);

/**
 * Selects the contacts: the source, a control host that the source does not
 * hear, and others of as many regions as possible, the nearest first. Control
 * hosts that did not respond, or are cut off from most voters, are tried again
 * when there are no others: departures of servers are certain to be known only
 * where most voters are reached. Contacts stay rather than make room for nearer
 * ones.
 * @param contact receives for each peer whether it is a contact
 */
void bw_feed_contacts(const struct bw_feed *feed,
		      const struct bw_feed_peer *peers, uint32_t count,
		      bool *contact);

/** Returns whether the source has listed a control host as one that it hears.
 */
bool bw_feed_is_heard_by_source(const struct bw_feed *feed, const char *name);

/** Returns whether a control host must send this host full detail. */
bool bw_feed_needs_detail(const struct bw_feed *feed,
			  const struct bw_feed_peer *peer);

/** Returns a hash that gives each host its own order of control hosts. */
uint32_t bw_feed_hash(const char *self, const char *name);

#endif
