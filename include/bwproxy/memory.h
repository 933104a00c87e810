/**
 * @file
 * The memory of a process that clients and backend servers may take up, and its
 * shares. Each share keeps a part back for what is of ordinary size, so that a
 * crowd of large requests doesn't keep out the others.
 */
#ifndef BWPROXY_MEMORY_H
#define BWPROXY_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "bwproxy/body.h"

struct bw_listener;

/** Budget of a process, owned by it; its listeners and its pool draw on it. */
struct bw_memory {
	struct bw_body_budget requests; /**< bodies of requests */
	struct bw_body_budget responses; /**< bodies of responses, from their
					      server until they are sent */
	/** Heads, requests sent ahead and output of the connections of clients.
	 */
	uint64_t connections_max_bytes;
	uint64_t connections_kept_back_bytes;
	uint64_t connections_used_bytes;
	struct bw_listener *listeners; /**< linked list of those that draw */
};

/**
 * Divides the memory of a process.
 * @param process_bytes what the process may use altogether
 */
void bw_memory_init(struct bw_memory *memory, uint64_t process_bytes);

/**
 * Changes what a connection is charged for, whether or not the budget allows
 * it.
 * @param charged_bytes what it was charged for; receives held_bytes
 */
void bw_memory_charge_connection(struct bw_memory *memory,
				 uint64_t *charged_bytes, uint64_t held_bytes);

/** Returns whether a connection may go on holding this, which is charged. */
bool bw_memory_allows_connection(const struct bw_memory *memory,
				 uint64_t held_bytes);

#endif
