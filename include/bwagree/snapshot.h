/**
 * @file
 * Snapshot file: the encoded replicated state with a checksum.
 *
 * Layout, little endian: u32 magic, u32 crc32 (of all bytes after it), u64
 * index, u64 term, payload.
 */
#ifndef BWAGREE_SNAPSHOT_H
#define BWAGREE_SNAPSHOT_H

#include <stdint.h>

#include "bwagree/storage.h"

/** Name of the snapshot file. */
#define BW_SNAPSHOT_FILE "snapshot"

/** Size of the file header. */
#define BW_SNAPSHOT_HEADER_BYTES 24

/** A snapshot in memory. */
struct bw_snapshot {
	uint64_t index; /**< log index of the last entry included; 0 none */
	uint64_t term; /**< term of that entry */
	struct bw_buffer payload;
};

/** Initialises an empty snapshot. */
void bw_snapshot_init(struct bw_snapshot *snapshot);

/** Frees the payload. */
void bw_snapshot_finish(struct bw_snapshot *snapshot);

/** Replaces the snapshot file atomically and durably. */
enum bw_status bw_snapshot_save(struct bw_storage *storage,
				const struct bw_snapshot *snapshot);

/**
 * Reads the snapshot file into an initialised snapshot.
 * @return BW_OK (index 0 when there is no file), BW_ECORRUPT, BW_EIO,
 *	BW_ENOMEM
 */
enum bw_status bw_snapshot_load(struct bw_storage *storage,
				struct bw_snapshot *snapshot);

#endif
