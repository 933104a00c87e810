/**
 * @file
 * Storage in memory: the implementation of BW_STORAGE_MEMORY.
 */
#ifndef PRIVATE_MEMORY_STORAGE_H
#define PRIVATE_MEMORY_STORAGE_H

#include "bwagree/storage.h"

/* Each function implements the bw_storage function of the same name. */
void memory_storage_finish(struct bw_memory_storage *memory);
enum bw_status memory_storage_read(struct bw_memory_storage *memory,
				   const char *name, struct bw_buffer *out);
enum bw_status memory_storage_append(struct bw_memory_storage *memory,
				     const char *name, const void *data,
				     size_t size_bytes);
enum bw_status memory_storage_truncate(struct bw_memory_storage *memory,
				       const char *name, uint64_t size_bytes);
enum bw_status memory_storage_sync(struct bw_memory_storage *memory,
				   const char *name);
enum bw_status memory_storage_sync_folder(struct bw_memory_storage *memory);
enum bw_status memory_storage_rename(struct bw_memory_storage *memory,
				     const char *from, const char *to);
enum bw_status memory_storage_remove(struct bw_memory_storage *memory,
				     const char *name);
enum bw_status memory_storage_list(const struct bw_memory_storage *memory,
				   struct bw_storage_names *names);
void memory_storage_crash(struct bw_memory_storage *memory,
			  struct bw_random *torn);

/**
 * Appends a file name to a list; skips names that are too long.
 * @return BW_OK, BW_EFULL or BW_ENOMEM
 */
enum bw_status storage_names_add(struct bw_storage_names *names,
				 const char *name);

#endif
