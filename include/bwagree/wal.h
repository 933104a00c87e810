/**
 * @file
 * Write-ahead log in segment files.
 *
 * Segments are named `wal-<first index, 16 hex digits>.log`. Record, little
 * endian: u32 payload length, u32 crc32 (of all other fields), u64 term,
 * u64 index, payload.
 */
#ifndef BWAGREE_WAL_H
#define BWAGREE_WAL_H

#include <stdint.h>

#include "bwagree/storage.h"

/** Size of a record header. */
#define BW_WAL_HEADER_BYTES 24

/** Largest payload of a record. */
#define BW_WAL_PAYLOAD_MAX_BYTES (768 * 1024)

/** Default segment size after which a new segment is started. */
#define BW_WAL_SEGMENT_BYTES (1024 * 1024)

/** Size of an error text, terminating zero included. */
#define BW_WAL_ERROR_BYTES 192

/** One log entry in memory. */
struct bw_wal_entry {
	uint64_t term;
	uint8_t *data;
	uint32_t size_bytes;
};

/** One segment file. */
struct bw_wal_segment {
	uint64_t first_index;
	uint64_t size_bytes;
};

/** The log; the entries of all segments are kept in memory, too. */
struct bw_wal {
	struct bw_storage *storage;
	uint32_t segment_bytes;
	struct bw_wal_entry *entries;
	uint64_t first_index; /**< index of entries[0] */
	uint64_t count;
	uint64_t capacity;
	uint64_t synced_index; /**< entries up to it are durable */
	struct bw_wal_segment *segments;
	uint32_t segment_count;
	uint32_t segment_capacity;
	uint64_t size_bytes; /**< size of all segments */
	struct bw_buffer batch; /**< encoded records not yet written */
	uint64_t truncated_bytes; /**< torn bytes that open removed */
	char error[BW_WAL_ERROR_BYTES]; /**< reason of BW_ECORRUPT */
};

/**
 * Opens the log that follows a snapshot. Segments that end before its last
 * entry are removed unread. A torn last record is truncated. A log that does
 * not match the snapshot (after an interrupted installation of a snapshot) is
 * discarded.
 * @param snapshot_index index of the snapshot's last entry, or 0
 * @param snapshot_term term of that entry, or 0
 * @param segment_bytes size after which a new segment is started
 * @return BW_OK; BW_ECORRUPT with wal->error set when a record before the
 *	last one is corrupt or missing; BW_EIO, BW_ENOMEM
 */
enum bw_status bw_wal_open(struct bw_wal *wal, struct bw_storage *storage,
			   uint64_t snapshot_index, uint64_t snapshot_term,
			   uint32_t segment_bytes);

/** Frees the memory; entries that were not synced may be lost. */
void bw_wal_finish(struct bw_wal *wal);

/** Returns the index of the last entry; first_index - 1 when empty. */
uint64_t bw_wal_last_index(const struct bw_wal *wal);

/** Returns the entry, or NULL when the index is not in the log. */
const struct bw_wal_entry *bw_wal_entry(const struct bw_wal *wal,
					uint64_t index);

/** Appends a copy of an entry in memory. @return BW_OK, BW_EINVAL, BW_ENOMEM */
enum bw_status bw_wal_append(struct bw_wal *wal, uint64_t term,
			     const void *data, size_t size_bytes);

/**
 * Writes all appended entries and makes them durable with one sync.
 * @return BW_OK or an error, after which no entry of the log may be
 *	acknowledged
 */
enum bw_status bw_wal_sync(struct bw_wal *wal);

/** Removes the entries from index on and syncs the removal. */
enum bw_status bw_wal_truncate(struct bw_wal *wal, uint64_t index);

/** Removes segments whose entries are all before index. */
enum bw_status bw_wal_compact(struct bw_wal *wal, uint64_t index);

/**
 * Writes the last segment again and makes it durable. After a failed sync the
 * file may read as complete although it is not durable, and a second sync need
 * not report it.
 */
enum bw_status bw_wal_rewrite_last(struct bw_wal *wal);

/** Removes all entries; the next one gets the index next_index. */
enum bw_status bw_wal_reset(struct bw_wal *wal, uint64_t next_index);

#endif
