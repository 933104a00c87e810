#include "bwmember/fetch.h"

#include <string.h>

static void note_offers_(struct bw_fetch *fetch,
			 const struct bw_fetch_peer *peers, uint32_t count,
			 uint64_t version, struct bw_time now);
static bool is_asked_lost_(const struct bw_fetch *fetch,
			   const struct bw_fetch_peer *peers, uint32_t count);
static bool may_ask_(struct bw_fetch *fetch, struct bw_time now);
static const struct bw_fetch_peer *
choose_peer_(const struct bw_fetch *fetch, const struct bw_fetch_peer *peers,
	     uint32_t count, uint64_t version, bool feed_only);
static bool is_better_(const struct bw_fetch *fetch,
		       const struct bw_fetch_peer *a,
		       const struct bw_fetch_peer *b);
static uint32_t clamp_timeout_ms_(int64_t timeout_ms);

void bw_fetch_init(struct bw_fetch *fetch, const char *self)
{
	memset(fetch, 0, sizeof(*fetch));
	bw_name_set(fetch->self, self);
	fetch->timeout_ms = BW_FETCH_TIMEOUT_MIN_MS;
}

const struct bw_fetch_peer *bw_fetch_next(struct bw_fetch *fetch,
					  const struct bw_fetch_peer *peers,
					  uint32_t count, uint64_t version,
					  struct bw_time now)
{
	const struct bw_fetch_peer *peer;
	bool lost = is_asked_lost_(fetch, peers, count);
	bool feed_only;

	note_offers_(fetch, peers, count, version, now);
	if (lost) {
		fetch->unanswered = 0;
		fetch->timeout_ms = BW_FETCH_TIMEOUT_MIN_MS;
	}
	if (!may_ask_(fetch, now) || !fetch->behind)
		return NULL;
	feed_only = version && !lost && !fetch->unanswered &&
		    bw_time_diff_ms(now, fetch->behind_since) <
			    BW_FETCH_FEED_WAIT_MS;
	peer = choose_peer_(fetch, peers, count, version, feed_only);
	if (!peer)
		return NULL;
	if (fetch->unanswered)
		fetch->timeout_ms = clamp_timeout_ms_(2 * fetch->timeout_ms);
	else
		fetch->first_asked_at = now;
	fetch->unanswered++;
	fetch->asked_at = now;
	bw_name_set(fetch->asked, peer->name);
	return peer;
}

void bw_fetch_progressed(struct bw_fetch *fetch, struct bw_time now)
{
	if (!fetch->unanswered)
		return;
	fetch->unanswered = 1;
	fetch->asked_at = now;
}

/*
 * The next fetch is repeated no sooner than after twice the time that this one
 * took. Texts that aren't newer are copies, or come from a control host that
 * lost its state; they allow a fetch no sooner than its time-out would.
 */
void bw_fetch_received(struct bw_fetch *fetch, bool newer, struct bw_time now)
{
	if (!fetch->unanswered ||
	    (!newer &&
	     bw_time_diff_ms(now, fetch->asked_at) < BW_FETCH_TIMEOUT_MIN_MS))
		return;
	fetch->unanswered--;
	if (newer)
		fetch->timeout_ms = clamp_timeout_ms_(
			2 * bw_time_diff_ms(now, fetch->first_asked_at));
}

/* A host that is behind stays so until it has the newest version offered. */
static void note_offers_(struct bw_fetch *fetch,
			 const struct bw_fetch_peer *peers, uint32_t count,
			 uint64_t version, struct bw_time now)
{
	bool behind = false;
	uint32_t i;

	for (i = 0; i < count; i++)
		behind = behind || peers[i].version > version;
	if (behind && !fetch->behind)
		fetch->behind_since = now;
	fetch->behind = behind;
}

/* Returns whether the control host that was asked can't answer any more. */
static bool is_asked_lost_(const struct bw_fetch *fetch,
			   const struct bw_fetch_peer *peers, uint32_t count)
{
	uint32_t i;

	if (!fetch->unanswered)
		return false;
	for (i = 0; i < count; i++) {
		if (!strcmp(peers[i].name, fetch->asked))
			return !peers[i].alive;
	}
	return true;
}

/* Returns whether no answer is on its way as far as this host can know. */
static bool may_ask_(struct bw_fetch *fetch, struct bw_time now)
{
	if (!fetch->unanswered)
		return true;
	if (bw_time_diff_ms(now, fetch->asked_at) < (int64_t)fetch->timeout_ms)
		return false;
	if (!fetch->behind)
		fetch->unanswered = 0;
	return true;
}

/*
 * The feed is preferred. A control host that didn't answer in time is asked
 * again only if no other has the version.
 */
static const struct bw_fetch_peer *
choose_peer_(const struct bw_fetch *fetch, const struct bw_fetch_peer *peers,
	     uint32_t count, uint64_t version, bool feed_only)
{
	const struct bw_fetch_peer *best = NULL;
	const struct bw_fetch_peer *silent = NULL;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct bw_fetch_peer *peer = &peers[i];

		if (!peer->alive || peer->version <= version)
			continue;
		if (fetch->unanswered && !strcmp(peer->name, fetch->asked)) {
			silent = peer;
			continue;
		}
		if (peer->feed)
			return peer;
		if (!feed_only && (!best || is_better_(fetch, peer, best)))
			best = peer;
	}
	return best ? best : silent;
}

static bool is_better_(const struct bw_fetch *fetch,
		       const struct bw_fetch_peer *a,
		       const struct bw_fetch_peer *b)
{
	if (a->version != b->version)
		return a->version > b->version;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return bw_feed_hash(fetch->self, a->name) <
	       bw_feed_hash(fetch->self, b->name);
}

static uint32_t clamp_timeout_ms_(int64_t timeout_ms)
{
	if (timeout_ms < BW_FETCH_TIMEOUT_MIN_MS)
		return BW_FETCH_TIMEOUT_MIN_MS;
	if (timeout_ms > BW_FETCH_TIMEOUT_MAX_MS)
		return BW_FETCH_TIMEOUT_MAX_MS;
	return (uint32_t)timeout_ms;
}
