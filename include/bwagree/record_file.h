/**
 * @file
 * File of records that are appended and read back at the start.
 *
 * Record, little endian: u32 payload length, u32 crc32 of the payload, payload.
 * An unfinished record at the end, as a crash leaves it, is dropped.
 */
#ifndef BWAGREE_RECORD_FILE_H
#define BWAGREE_RECORD_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "bwagree/storage.h"

/** Largest payload of a record. */
#define BW_RECORD_MAX_BYTES 4096

/** The file; its records are not kept in memory. */
struct bw_record_file {
	struct bw_storage *storage;
	char name[BW_FILE_NAME_MAX];
	uint64_t size_bytes; /**< durable */
	uint64_t dropped_bytes; /**< damaged end that open found */
	struct bw_buffer batch; /**< records that are not durable yet */
	bool replace; /**< the next sync replaces the file by the batch */
};

/** Called for each record of a file. */
typedef void bw_record_visit_fn(void *context, const uint8_t *data,
				uint32_t size_bytes);

/**
 * Opens a file and visits its records; a missing file is empty. If
 * dropped_bytes is set, the next sync replaces the file: the caller appends all
 * records that it keeps before.
 * @param storage must outlive the file
 * @return BW_OK, BW_EIO or BW_ENOMEM
 */
enum bw_status bw_record_file_open(struct bw_record_file *file,
				   struct bw_storage *storage, const char *name,
				   bw_record_visit_fn *visit, void *context);

/** Frees the memory; records that are not durable are lost. */
void bw_record_file_finish(struct bw_record_file *file);

/** Appends a record in memory. @return BW_OK, BW_EINVAL or BW_ENOMEM */
enum bw_status bw_record_file_append(struct bw_record_file *file,
				     const void *data, uint32_t size_bytes);

/** Drops all records; those appended from now on replace the file. */
void bw_record_file_clear(struct bw_record_file *file);

/** Returns whether records are not durable yet. */
bool bw_record_file_is_dirty(const struct bw_record_file *file);

/**
 * Makes the appended records durable with one sync. After an error, the content
 * of the file is not known: the caller clears it and appends all records again.
 * @return BW_OK, BW_EFULL, BW_ENOMEM or BW_EIO
 */
enum bw_status bw_record_file_sync(struct bw_record_file *file);

#endif
