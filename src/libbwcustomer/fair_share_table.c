#include <math.h>
#include <string.h>

#include <glib.h>

#include "private/fair_share.h"

/** Customers in one set of the table. */
#define WAYS 8

/** Sets of the table; a power of two. */
#define SETS (BW_FAIR_CUSTOMERS_MAX / WAYS)

/** Bits of the index of a set. */
#define SET_BITS 9

/** Time after its last job for which a customer is kept. */
#define FORGET_MS 10000

_Static_assert(SETS == 1 << SET_BITS, "the index addresses all sets");

static struct bw_fair_share *find_set_(struct bw_fair_shares *shares,
				       uint64_t customer_hash);
static struct bw_fair_share *replaceable_(struct bw_fair_share *set,
					  struct bw_time now);
static void release_(struct bw_fair_shares *shares,
		     struct bw_fair_share *share);
static void unlink_(struct bw_fair_shares *shares, struct bw_fair_share *share);
static void push_newest_(struct bw_fair_shares *shares,
			 struct bw_fair_share *share);
static uint32_t link_of_(const struct bw_fair_shares *shares,
			 const struct bw_fair_share *share);
static struct bw_fair_share *at_link_(struct bw_fair_shares *shares,
				      uint32_t link);

struct bw_fair_share *fair_table_find(struct bw_fair_shares *shares,
				      uint64_t customer_hash)
{
	struct bw_fair_share *set;
	int i;

	if (!shares->table)
		return NULL;
	set = find_set_(shares, customer_hash);
	for (i = 0; i < WAYS; i++) {
		if (set[i].used && set[i].customer_hash == customer_hash)
			return &set[i];
	}
	return NULL;
}

struct bw_fair_share *fair_table_add(struct bw_fair_shares *shares,
				     uint64_t customer_hash, struct bw_time now)
{
	struct bw_fair_share *share = fair_table_find(shares, customer_hash);

	if (share)
		return share;
	if (!shares->table)
		shares->table =
			g_new0(struct bw_fair_share, BW_FAIR_CUSTOMERS_MAX);
	share = replaceable_(find_set_(shares, customer_hash), now);
	release_(shares, share);
	share->used = true;
	share->customer_hash = customer_hash;
	share->decayed_at = now;
	share->slowness = 1.0;
	return share;
}

void fair_table_touch(struct bw_fair_shares *shares,
		      struct bw_fair_share *share, uint32_t rank,
		      struct bw_time now)
{
	uint8_t bit = (uint8_t)(1U << rank);

	if (share->ranks)
		unlink_(shares, share);
	if (!(share->ranks & bit))
		shares->totals[rank].customers++;
	share->ranks |= bit;
	share->active_at = now;
	push_newest_(shares, share);
}

void fair_table_forget(struct bw_fair_shares *shares, struct bw_time now)
{
	while (shares->oldest) {
		struct bw_fair_share *share = at_link_(shares, shares->oldest);

		if (bw_time_diff_ms(now, share->active_at) < FORGET_MS)
			return;
		if (!share->waiting) {
			release_(shares, share);
			continue;
		}
		share->active_at = now;
		unlink_(shares, share);
		push_newest_(shares, share);
	}
}

double fair_decay(struct bw_time decayed_at, struct bw_time now)
{
	return exp(-(double)bw_time_diff_ms(now, decayed_at) / FAIR_WINDOW_MS);
}

void fair_decay_share(struct bw_fair_share *share, struct bw_time now)
{
	double factor = fair_decay(share->decayed_at, now);

	share->work_ms *= factor;
	share->asked_ms *= factor;
	share->decayed_at = now;
}

/* Hashes need not differ in their low bits. */
static struct bw_fair_share *find_set_(struct bw_fair_shares *shares,
				       uint64_t customer_hash)
{
	uint64_t mixed = customer_hash * 0x9e3779b97f4a7c15ULL;

	return &shares->table[WAYS * (mixed >> (64 - SET_BITS))];
}

/* A customer whose jobs wait is replaced only if that holds for the whole set.
 */
static struct bw_fair_share *replaceable_(struct bw_fair_share *set,
					  struct bw_time now)
{
	struct bw_fair_share *best = NULL;
	int i;

	for (i = 0; i < WAYS; i++) {
		if (!set[i].used)
			return &set[i];
		fair_decay_share(&set[i], now);
		if (!best || (!set[i].waiting && best->waiting) ||
		    (!set[i].waiting == !best->waiting &&
		     set[i].work_ms < best->work_ms))
			best = &set[i];
	}
	return best;
}

static void release_(struct bw_fair_shares *shares, struct bw_fair_share *share)
{
	uint32_t rank;

	if (share->ranks)
		unlink_(shares, share);
	for (rank = 0; rank < BW_FAIR_RANKS; rank++) {
		if (share->ranks & (1U << rank))
			shares->totals[rank].customers--;
	}
	memset(share, 0, sizeof(*share));
}

static void unlink_(struct bw_fair_shares *shares, struct bw_fair_share *share)
{
	if (share->newer)
		at_link_(shares, share->newer)->older = share->older;
	else
		shares->newest = share->older;
	if (share->older)
		at_link_(shares, share->older)->newer = share->newer;
	else
		shares->oldest = share->newer;
	shares->active--;
}

static void push_newest_(struct bw_fair_shares *shares,
			 struct bw_fair_share *share)
{
	uint32_t link = link_of_(shares, share);

	share->newer = 0;
	share->older = shares->newest;
	if (shares->newest)
		at_link_(shares, shares->newest)->newer = link;
	else
		shares->oldest = link;
	shares->newest = link;
	shares->active++;
}

static uint32_t link_of_(const struct bw_fair_shares *shares,
			 const struct bw_fair_share *share)
{
	return (uint32_t)(share - shares->table) + 1;
}

static struct bw_fair_share *at_link_(struct bw_fair_shares *shares,
				      uint32_t link)
{
	return &shares->table[link - 1];
}
