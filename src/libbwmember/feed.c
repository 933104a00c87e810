#include "bwmember/feed.h"

#include <string.h>

/** Time that a started host waits for a source in its failure domain. */
#define SAME_DOMAIN_WAIT_MS 800

static const struct bw_feed_peer *find_peer_(const struct bw_feed_peer *peers,
					     uint32_t count, const char *name);
static bool is_better_source_(const struct bw_feed *feed,
			      const struct bw_feed_peer *a,
			      const struct bw_feed_peer *b);
static enum bw_feed_change change_to_(const struct bw_feed_peer *current,
				      const struct bw_feed_peer *best);
static const struct bw_feed_peer *
best_contact_(const struct bw_feed *feed, const struct bw_feed_peer *peers,
	      uint32_t count, const bool *contact, bool unheard_only);
static bool is_better_contact_(const struct bw_feed *feed,
			       const struct bw_feed_peer *a,
			       const struct bw_feed_peer *b,
			       const uint32_t *in_region, bool unheard);

const char *const bw_feed_change_string[BW_FEED_CHANGE_COUNT] = {
	[BW_FEED_KEPT] = "kept",     [BW_FEED_FIRST] = "first",
	[BW_FEED_SILENT] = "silent", [BW_FEED_OUTDATED] = "outdated",
	[BW_FEED_NEARER] = "nearer",
};

void bw_feed_init(struct bw_feed *feed, const char *self, struct bw_time now)
{
	memset(feed, 0, sizeof(*feed));
	bw_name_set(feed->self, self);
	feed->started = now;
}

enum bw_feed_change bw_feed_choose(struct bw_feed *feed,
				   const struct bw_feed_peer *peers,
				   uint32_t count, struct bw_time now)
{
	const struct bw_feed_peer *current =
		find_peer_(peers, count, feed->source);
	const struct bw_feed_peer *best = NULL;
	enum bw_feed_change change;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (peers[i].alive &&
		    (!best || is_better_source_(feed, &peers[i], best)))
			best = &peers[i];
	}
	if (!best || best == current)
		return BW_FEED_KEPT;
	change = feed->source[0] ? change_to_(current, best) : BW_FEED_FIRST;
	if (change == BW_FEED_KEPT)
		return change;
	if (change == BW_FEED_FIRST && best->distance != BW_FEED_SAME_DOMAIN &&
	    bw_time_diff_ms(now, feed->started) < SAME_DOMAIN_WAIT_MS)
		return BW_FEED_KEPT;
	bw_name_set(feed->source, best->name);
	feed->has_source_peers = false;
	feed->source_peer_count = 0;
	return change;
}

void bw_feed_set_source_peers(struct bw_feed *feed, const char *source,
			      const char (*names)[BW_NAME_MAX], uint32_t count)
{
	uint32_t i;

	if (strcmp(source, feed->source) != 0)
		return;
	feed->has_source_peers = true;
	feed->source_peer_count = 0;
	for (i = 0; i < count && i < BW_FEED_PEERS_MAX; i++)
		bw_name_set(feed->source_peers[feed->source_peer_count++],
			    names[i]);
}

void bw_feed_contacts(const struct bw_feed *feed,
		      const struct bw_feed_peer *peers, uint32_t count,
		      bool *contact)
{
	uint32_t limit = feed->source[0] ? BW_FEED_CONTACTS
					 : BW_FEED_FIRST_CONTACTS;
	const struct bw_feed_peer *next =
		find_peer_(peers, count, feed->source);

	memset(contact, 0, count * sizeof(*contact));
	if (next) {
		contact[next - peers] = true;
		limit--;
		next = best_contact_(feed, peers, count, contact, true);
	}
	while (limit--) {
		if (!next)
			next = best_contact_(feed, peers, count, contact,
					     false);
		if (!next)
			return;
		contact[next - peers] = true;
		next = NULL;
	}
}

bool bw_feed_is_heard_by_source(const struct bw_feed *feed, const char *name)
{
	uint32_t i;

	for (i = 0; i < feed->source_peer_count; i++) {
		if (!strcmp(name, feed->source_peers[i]))
			return true;
	}
	return false;
}

bool bw_feed_needs_detail(const struct bw_feed *feed,
			  const struct bw_feed_peer *peer)
{
	if (!feed->source[0])
		return false;
	if (!strcmp(peer->name, feed->source))
		return true;
	return feed->has_source_peers && peer->alive &&
	       !bw_feed_is_heard_by_source(feed, peer->name);
}

/* FNV-1a over both names. */
uint32_t bw_feed_hash(const char *self, const char *name)
{
	uint32_t hash = 2166136261U;
	const char *c;

	for (c = self; *c; c++)
		hash = (hash ^ (uint8_t)*c) * 16777619U;
	for (c = name; *c; c++)
		hash = (hash ^ (uint8_t)*c) * 16777619U;
	return hash;
}

static const struct bw_feed_peer *find_peer_(const struct bw_feed_peer *peers,
					     uint32_t count, const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!strcmp(peers[i].name, name))
			return &peers[i];
	}
	return NULL;
}

static bool is_better_source_(const struct bw_feed *feed,
			      const struct bw_feed_peer *a,
			      const struct bw_feed_peer *b)
{
	if (a->outdated != b->outdated)
		return b->outdated;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return bw_feed_hash(feed->self, a->name) <
	       bw_feed_hash(feed->self, b->name);
}

/* @param current NULL when it is not known any more */
static enum bw_feed_change change_to_(const struct bw_feed_peer *current,
				      const struct bw_feed_peer *best)
{
	if (!current || !current->alive)
		return BW_FEED_SILENT;
	if (current->outdated > best->outdated)
		return BW_FEED_OUTDATED;
	if (current->distance > best->distance)
		return BW_FEED_NEARER;
	return BW_FEED_KEPT;
}

/*
 * Returns the best control host that is not a contact yet.
 * @param unheard_only only one that responds, or may respond, to this host but
 *	not to the source
 */
static const struct bw_feed_peer *
best_contact_(const struct bw_feed *feed, const struct bw_feed_peer *peers,
	      uint32_t count, const bool *contact, bool unheard_only)
{
	uint32_t in_region[BW_FEED_REGIONS_MAX] = { 0 };
	const struct bw_feed_peer *best = NULL;
	uint32_t i;

	for (i = 0; i < count; i++)
		in_region[peers[i].region % BW_FEED_REGIONS_MAX] += contact[i];
	for (i = 0; i < count; i++) {
		if (contact[i])
			continue;
		if (unheard_only &&
		    (!feed->has_source_peers || peers[i].avoided ||
		     bw_feed_is_heard_by_source(feed, peers[i].name)))
			continue;
		if (!best || is_better_contact_(feed, &peers[i], best,
						in_region, unheard_only))
			best = &peers[i];
	}
	return best;
}

/* @param unheard both are unknown to the source, which may be why they are cut
 * off; each change of this contact costs a comparison of all servers */
static bool is_better_contact_(const struct bw_feed *feed,
			       const struct bw_feed_peer *a,
			       const struct bw_feed_peer *b,
			       const uint32_t *in_region, bool unheard)
{
	uint32_t in_region_a = in_region[a->region % BW_FEED_REGIONS_MAX];
	uint32_t in_region_b = in_region[b->region % BW_FEED_REGIONS_MAX];

	if (a->avoided != b->avoided)
		return b->avoided;
	if (!unheard && a->cut_off != b->cut_off)
		return b->cut_off;
	if (feed->source[0] && in_region_a != in_region_b)
		return in_region_a < in_region_b;
	if (feed->source[0] && a->contact != b->contact)
		return a->contact;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return bw_feed_hash(feed->self, a->name) <
	       bw_feed_hash(feed->self, b->name);
}
