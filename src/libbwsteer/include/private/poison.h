/**
 * @file
 * Internals of the crash fingerprint table.
 */
#ifndef PRIVATE_POISON_H
#define PRIVATE_POISON_H

#include "bwsteer/poison.h"

/** Share of the weight of one crash attributed to one fingerprint. */
struct bw_poison_share {
	uint64_t incarnation;
	uint32_t weight;
	struct bw_time at; /**< time of attribution */
	char host[BW_NAME_MAX]; /**< host that recorded the crash first */
};

/** Fingerprint with its shares of the crashes. */
struct bw_poison_entry {
	struct bw_fingerprint fingerprint;
	struct bw_poison_share crashes[BW_POISON_CRASHES_MAX];
	uint32_t crashes_count;
	uint32_t previous; /**< previous entry in the LRU list */
	uint32_t next; /**< next entry in the LRU list or the free list */
	bool used; /**< false if in the free list */
};

/** Request whose connection was lost and that may have crashed the server. */
struct bw_poison_suspect {
	struct bw_fingerprint fingerprint;
	uint64_t incarnation;
	uint32_t in_flight;
	struct bw_time lost_at;
	bool confirmed; /**< the loss of the server is known */
	struct bw_time settles_at; /**< time of attribution, if confirmed */
};

/** Returns the sum of the shares that have not expired. */
uint32_t bw_poison_entry_weight(const struct bw_poison *poison,
				const struct bw_poison_entry *entry,
				struct bw_time now);

/** Adds a share. If the fingerprint has a share of this crash already, the
 * smaller weight is kept. */
void bw_poison_add_share(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 const struct bw_poison_share *share,
			 struct bw_time now);

/** Scales the shares of one crash down to BW_POISON_CRASH_WEIGHT in total. */
void bw_poison_scale_crash(struct bw_poison *poison, uint64_t incarnation);

#endif
