/**
 * @file
 * Bodies of requests and responses, and the memory that all of them may use
 * together.
 */
#ifndef BWPROXY_BODY_H
#define BWPROXY_BODY_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"

/** Memory for bodies, shared by all connections of a process. */
struct bw_body_budget {
	uint64_t max_bytes;
	uint64_t used_bytes;
	uint64_t kept_back_bytes; /**< only for bodies of ordinary size */
	uint64_t ordinary_max_bytes; /**< largest such body */
	/** One body at a time may exceed max_bytes, so that bodies that wait
	 * for memory don't wait for each other without end. */
	bool allows_overdraft;
	bool overdrawn;
};

/** A body with its charge to a budget; zero-initialised, it is empty. */
struct bw_body {
	struct bw_buffer bytes;
	struct bw_body_budget *budget; /**< NULL: not limited */
	uint64_t charged_bytes;
	bool overdraws; /**< it is the body that exceeds the budget */
};

/**
 * Raises the charge of a body, never lowers it.
 * @param total_bytes size that the body has, or will have
 * @return whether the budget allows it; otherwise the charge is unchanged
 */
bool bw_body_charge(struct bw_body *body, uint64_t total_bytes);

/** Moves the bytes and their charge; from stays usable and is empty. */
void bw_body_move(struct bw_body *to, struct bw_body *from);

/** Frees the bytes and releases the charge; the body stays usable. */
void bw_body_finish(struct bw_body *body);

#endif
