/**
 * @file
 * Table that maps IPv4 client blocks to client groups, longest prefix first.
 */
#ifndef BWSTEER_BLOCKS_H
#define BWSTEER_BLOCKS_H

#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"
#include "bwsteer/sheet.h"

/** Result of a look-up that matches no block. */
#define BW_BLOCKS_NONE UINT16_MAX

/** Largest group number. */
#define BW_BLOCKS_GROUP_MAX 0x7fff

/** Number of buckets, one for each value of the upper 16 address bits. */
#define BW_BLOCKS_BUCKETS 65536

struct bw_blocks_bucket;

/** A block table. An update touches the buckets that its prefix covers. */
struct bw_blocks {
	struct bw_blocks_bucket **buckets; /**< BW_BLOCKS_BUCKETS entries */
	uint16_t *short_groups; /**< prefixes /8 to /15 by bits and value */
	uint16_t
		*default_groups; /**< by bucket: its longest prefix under /16 */
	uint32_t count; /**< prefixes in the table */
	size_t size_bytes; /**< memory in use, without allocator overhead */
};

/**
 * Initialises an empty table.
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_blocks_init(struct bw_blocks *blocks);

/** Frees the table. */
void bw_blocks_finish(struct bw_blocks *blocks);

/**
 * Inserts a prefix or replaces its group.
 * @param prefix host byte order; bits beyond prefix_bits are zero
 * @param prefix_bits 8 to 32
 * @param group 0 to BW_BLOCKS_GROUP_MAX
 * @return BW_OK, BW_EINVAL, or BW_ENOMEM with the table unchanged
 */
enum bw_status bw_blocks_insert(struct bw_blocks *blocks, uint32_t prefix,
				uint32_t prefix_bits, uint16_t group);

/**
 * Removes a prefix.
 * @return BW_OK, BW_EINVAL, BW_ENOTFOUND, or BW_ENOMEM with the table
 *	unchanged
 */
enum bw_status bw_blocks_remove(struct bw_blocks *blocks, uint32_t prefix,
				uint32_t prefix_bits);

/**
 * Finds the group of an address by its longest prefix.
 * @param address host byte order
 * @return the group, or BW_BLOCKS_NONE
 */
uint16_t bw_blocks_find(const struct bw_blocks *blocks, uint32_t address);

/**
 * Brings a table from the client blocks of one sheet to those of the next.
 * Only blocks that differ are touched; the group of a block is the index of
 * its region.
 * @param from sheet whose blocks are in the table; NULL: the table is empty
 * @param to checked sheet, whose blocks do not overlap
 * @param changed receives the number of blocks inserted, replaced or removed
 * @return BW_OK; BW_ENOMEM or BW_EINVAL with the table partly updated, after
 *	which it must be built anew
 */
enum bw_status bw_blocks_apply(struct bw_blocks *blocks,
			       const struct bw_sheet *from,
			       const struct bw_sheet *to, uint32_t *changed);

#endif
