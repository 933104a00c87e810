/**
 * @file
 * Ledger of the traffic that the shifts of one service moved.
 *
 * The amount of a shift is the total variation of the service's shares,
 * weighted by the demand of the caller regions: the sum over the regions r of
 * weight(r) * 1/2 * sum over the domains d of |new(r, d) - old(r, d)|, in
 * millionths of the service's traffic.
 *
 * Callers cache answers for their time to live, so that a shift takes full
 * effect only that time after it was made. The sum of all shifts made within
 * the window plus the time to live therefore bounds the traffic that moves
 * within any window.
 */
#ifndef BWSTEER_SHIFT_LEDGER_H
#define BWSTEER_SHIFT_LEDGER_H

#include <stdint.h>

/** Amount that stands for the whole traffic of a service, in millionths. */
#define BW_SHIFT_ALL_TRAFFIC 1000000

/** Most entries of one ledger. */
#define BW_SHIFT_ENTRIES_MAX 8

/** Limits on the shifts of a service. */
struct bw_shift_limits {
	uint32_t cap; /**< millionths of the traffic in one window */
	uint32_t window_ms;
	uint32_t ttl_ms; /**< time to live of look-up answers */
};

/** One shift, or several that were merged under the time of the latest. */
struct bw_shift_entry {
	int64_t at_ms;
	uint32_t amount; /**< millionths of the traffic */
};

/** The shifts of one service, oldest first. All zero is an empty ledger. */
struct bw_shift_ledger {
	struct bw_shift_entry entries[BW_SHIFT_ENTRIES_MAX];
	uint32_t count;
};

/**
 * Returns the sum of the shifts that count at now_ms: those of the last window
 * plus time to live.
 */
uint32_t bw_shift_ledger_used(const struct bw_shift_ledger *ledger,
			      const struct bw_shift_limits *limits,
			      int64_t now_ms);

/** Returns the amount that may be moved at now_ms. */
uint32_t bw_shift_ledger_available(const struct bw_shift_ledger *ledger,
				   const struct bw_shift_limits *limits,
				   int64_t now_ms);

/**
 * Records a shift. A full ledger drops its oldest entry when that lies
 * outside the window, else merges the two oldest under the later time.
 * @param now_ms not before the latest entry
 */
void bw_shift_ledger_add(struct bw_shift_ledger *ledger,
			 const struct bw_shift_limits *limits, int64_t now_ms,
			 uint32_t amount);

/**
 * Lowers the amount of the latest shift, which was recorded with an upper
 * bound. Does nothing when the latest shift was not made at at_ms or has a
 * lower amount.
 */
void bw_shift_ledger_lower(struct bw_shift_ledger *ledger, int64_t at_ms,
			   uint32_t amount);

/** Returns the stricter of two limits, member by member. */
struct bw_shift_limits bw_shift_limits_merge(struct bw_shift_limits a,
					     struct bw_shift_limits b);

#endif
