/**
 * @file
 * Parts of the crash fingerprint table shared by its source files.
 */
#ifndef PRIVATE_POISON_H
#define PRIVATE_POISON_H

#include "bwsteer/poison.h"

/** Part of one crash that falls on one fingerprint. */
struct bw_poison_share {
	uint64_t incarnation;
	uint32_t weight;
	struct bw_time at;
	char host[BW_NAME_MAX]; /**< that saw it first */
};

struct bw_poison_entry {
	struct bw_fingerprint fingerprint;
	struct bw_poison_share crashes[BW_POISON_CRASHES_MAX];
	uint32_t crashes_count;
	uint32_t previous; /**< in order of use, or in the free list */
	uint32_t next;
	bool used;
};

struct bw_poison_suspect {
	struct bw_fingerprint fingerprint;
	uint64_t incarnation;
	uint32_t in_flight;
	struct bw_time lost_at;
	bool confirmed; /**< the server is known to be lost */
	struct bw_time settles_at; /**< valid when confirmed */
};

/** Returns the sum of the parts that have not expired. */
uint32_t bw_poison_entry_weight(const struct bw_poison *poison,
				const struct bw_poison_entry *entry,
				struct bw_time now);

/** Adds a part of a crash; a part known already keeps the smaller weight. */
void bw_poison_add_share(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 const struct bw_poison_share *part,
			 struct bw_time now);

/** Scales the parts of one crash down to BW_POISON_CRASH_WEIGHT in total. */
void bw_poison_scale_crash(struct bw_poison *poison, uint64_t incarnation);

#endif
