/**
 * @file
 * Storage of one data folder: in the file system, or in memory with fault
 * injection.
 */
#ifndef BWAGREE_STORAGE_H
#define BWAGREE_STORAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/random.h"
#include "bwbase/status.h"

/** Size of a file name, terminating zero included. */
#define BW_FILE_NAME_MAX 48

/** Maximum number of files of one storage. */
#define BW_STORAGE_FILES_MAX 4096

/** Kinds of storage. */
enum bw_storage_kind {
	BW_STORAGE_FOLDER, /**< a folder of the file system */
	BW_STORAGE_MEMORY /**< memory with a durable and a volatile copy */
};

/** One file in memory. An empty name means that there is no such file. */
struct bw_memory_file {
	char name[BW_FILE_NAME_MAX]; /**< as seen by the running process */
	char durable_name[BW_FILE_NAME_MAX]; /**< as it is after a crash */
	struct bw_buffer live;
	struct bw_buffer durable;
	size_t synced_prefix_bytes; /**< equal in live and durable */
	bool sync_lost; /**< a sync failed; later ones have no effect */
};

/** Memory storage and its injected faults. */
struct bw_memory_storage {
	struct bw_memory_file **files;
	uint32_t count;
	uint64_t capacity_bytes; /**< disk size; 0 unlimited */
	uint32_t syncs_until_failure; /**< the n-th next sync fails; 0 none */
	bool failed; /**< writes and syncs fail until a crash */
};

/** A storage; kind selects the member of the union. */
struct bw_storage {
	enum bw_storage_kind kind;
	uint64_t bytes_read; /**< by bw_storage_read */
	uint64_t bytes_written;
	uint64_t sync_count; /**< successful syncs of files */
	union {
		struct {
			int fd; /**< descriptor of the folder */
			int file_fd; /**< last file opened for writing, or -1 */
			char file_name[BW_FILE_NAME_MAX];
		} folder;
		struct bw_memory_storage memory;
	} u;
};

/** List of file names in byte order. */
struct bw_storage_names {
	char (*names)[BW_FILE_NAME_MAX];
	uint32_t count;
};

/**
 * Opens a folder; creates it when it is missing.
 * @return BW_OK or BW_EIO
 */
enum bw_status bw_storage_init_folder(struct bw_storage *storage,
				      const char *path);

/** Initialises an empty memory storage without faults. */
void bw_storage_init_memory(struct bw_storage *storage);

/** Closes the storage; a folder keeps its files. */
void bw_storage_finish(struct bw_storage *storage);

/**
 * Appends the content of a file to out.
 * @return BW_OK, BW_ENOTFOUND, BW_ENOMEM or BW_EIO
 */
enum bw_status bw_storage_read(struct bw_storage *storage, const char *name,
			       struct bw_buffer *out);

/**
 * Appends to a file; creates it when it is missing. The data is durable after
 * bw_storage_sync, and a new name after bw_storage_sync_folder.
 * @return BW_OK, BW_EFULL (part of the data may have been written), BW_ENOMEM
 *	or BW_EIO
 */
enum bw_status bw_storage_append(struct bw_storage *storage, const char *name,
				 const void *data, size_t size_bytes);

/** Truncates a file. @return BW_OK, BW_ENOTFOUND or BW_EIO */
enum bw_status bw_storage_truncate(struct bw_storage *storage, const char *name,
				   uint64_t size_bytes);

/** Makes the content of a file durable. @return BW_OK or an error */
enum bw_status bw_storage_sync(struct bw_storage *storage, const char *name);

/** Makes creations, renames and removals durable. */
enum bw_status bw_storage_sync_folder(struct bw_storage *storage);

/** Renames a file, replacing to. @return BW_OK, BW_ENOTFOUND, BW_EIO */
enum bw_status bw_storage_rename(struct bw_storage *storage, const char *from,
				 const char *to);

/** Removes a file; a missing one is no error. @return BW_OK or BW_EIO */
enum bw_status bw_storage_remove(struct bw_storage *storage, const char *name);

/** Lists the files in byte order; free with bw_storage_names_finish. */
enum bw_status bw_storage_list(struct bw_storage *storage,
			       struct bw_storage_names *names);

/** Frees a list of file names. */
void bw_storage_names_finish(struct bw_storage_names *names);

/**
 * Replaces a file atomically: temporary file, sync, rename, folder sync.
 * @return BW_OK or the first error
 */
enum bw_status bw_storage_replace(struct bw_storage *storage, const char *name,
				  const void *data, size_t size_bytes);

/**
 * Simulates a crash of a memory storage: discards data that was not synced and
 * clears the injected faults.
 * @param torn when not NULL, a random prefix of the unsynced appended data is
 *	kept, and its last byte may be corrupted
 */
void bw_storage_crash(struct bw_storage *storage, struct bw_random *torn);

/** Simulates the loss of a disk: removes all files of a memory storage. */
void bw_storage_wipe(struct bw_storage *storage);

#endif
