/**
 * @file
 * Hash index of fixed capacity from 64-bit hashes to array positions.
 */
#ifndef PRIVATE_INDEX_H
#define PRIVATE_INDEX_H

#include <stddef.h>
#include <stdint.h>

/** No position. */
#define BW_INDEX_NONE UINT32_MAX

/** Open-addressing hash table; several positions may have the same hash. */
struct bw_index;

/** State of a search. */
struct bw_index_cursor {
	uint64_t hash;
	uint32_t slot;
};

/**
 * Allocates an index.
 * @param items_max maximum number of positions
 * @return the index, or NULL when memory is exhausted
 */
struct bw_index *bw_index_new(uint32_t items_max);

/** Frees an index; NULL is ignored. */
void bw_index_free(struct bw_index *index);

/** Returns a hash of bytes. */
uint64_t bw_index_hash(const void *data, size_t size_bytes);

/** Returns a hash of text. */
uint64_t bw_index_hash_text(const char *text);

/**
 * Starts a search; the caller compares the key at each position returned.
 * @return first position with this hash, or BW_INDEX_NONE
 */
uint32_t bw_index_first(const struct bw_index *index, uint64_t hash,
			struct bw_index_cursor *cursor);

/** Continues a search. */
uint32_t bw_index_next(const struct bw_index *index,
		       struct bw_index_cursor *cursor);

/** Adds a position; at most items_max may be held. */
void bw_index_add(struct bw_index *index, uint64_t hash, uint32_t position);

/** Removes a position that was added with this hash. */
void bw_index_remove(struct bw_index *index, uint64_t hash, uint32_t position);

#endif
