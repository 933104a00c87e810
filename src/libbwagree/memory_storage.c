#include "private/memory_storage.h"

#include <stdlib.h>
#include <string.h>

static struct bw_memory_file *find_file_(const struct bw_memory_storage *memory,
					 const char *name);
static struct bw_memory_file *create_file_(struct bw_memory_storage *memory,
					   const char *name);
static void free_removed_files_(struct bw_memory_storage *memory);
static uint64_t used_bytes_(const struct bw_memory_storage *memory);
static bool sync_fails_(struct bw_memory_storage *memory);
static void crash_file_(struct bw_memory_file *file, struct bw_random *torn);
static void append_torn_write_(struct bw_memory_file *file,
			       struct bw_random *random);

void memory_storage_finish(struct bw_memory_storage *memory)
{
	uint32_t i;

	for (i = 0; i < memory->count; i++) {
		bw_buffer_finish(&memory->files[i]->live);
		bw_buffer_finish(&memory->files[i]->durable);
		free(memory->files[i]);
	}
	free(memory->files);
	memory->files = NULL;
	memory->count = 0;
}

enum bw_status memory_storage_read(struct bw_memory_storage *memory,
				   const char *name, struct bw_buffer *out)
{
	struct bw_memory_file *file = find_file_(memory, name);

	if (!file)
		return BW_ENOTFOUND;
	return bw_buffer_append(out, file->live.data, file->live.size_bytes);
}

enum bw_status memory_storage_append(struct bw_memory_storage *memory,
				     const char *name, const void *data,
				     size_t size_bytes)
{
	struct bw_memory_file *file = find_file_(memory, name);
	uint64_t used_bytes = used_bytes_(memory);

	if (memory->failed)
		return BW_EIO;
	if (!file)
		file = create_file_(memory, name);
	if (!file)
		return BW_ENOMEM;
	if (memory->capacity_bytes &&
	    used_bytes + size_bytes > memory->capacity_bytes) {
		/* A full disk stores as much of the data as fits. */
		if (memory->capacity_bytes > used_bytes)
			bw_buffer_append(&file->live, data,
					 memory->capacity_bytes - used_bytes);
		return BW_EFULL;
	}
	return bw_buffer_append(&file->live, data, size_bytes);
}

enum bw_status memory_storage_truncate(struct bw_memory_storage *memory,
				       const char *name, uint64_t size_bytes)
{
	struct bw_memory_file *file = find_file_(memory, name);

	if (!file)
		return BW_ENOTFOUND;
	if (memory->failed)
		return BW_EIO;
	if (size_bytes < file->live.size_bytes)
		file->live.size_bytes = size_bytes;
	if (size_bytes < file->synced_prefix_bytes)
		file->synced_prefix_bytes = size_bytes;
	return BW_OK;
}

enum bw_status memory_storage_sync(struct bw_memory_storage *memory,
				   const char *name)
{
	struct bw_memory_file *file = find_file_(memory, name);
	size_t from;

	if (!file)
		return BW_ENOTFOUND;
	if (sync_fails_(memory)) {
		file->sync_lost = true;
		return BW_EIO;
	}
	if (file->sync_lost)
		return BW_OK;
	from = file->synced_prefix_bytes;
	file->durable.size_bytes = from;
	file->synced_prefix_bytes = file->live.size_bytes;
	if (file->live.size_bytes == from)
		return BW_OK;
	return bw_buffer_append(&file->durable, file->live.data + from,
				file->live.size_bytes - from);
}

enum bw_status memory_storage_sync_folder(struct bw_memory_storage *memory)
{
	uint32_t i;

	if (sync_fails_(memory))
		return BW_EIO;
	for (i = 0; i < memory->count; i++)
		memcpy(memory->files[i]->durable_name, memory->files[i]->name,
		       BW_FILE_NAME_MAX);
	free_removed_files_(memory);
	return BW_OK;
}

enum bw_status memory_storage_rename(struct bw_memory_storage *memory,
				     const char *from, const char *to)
{
	struct bw_memory_file *file = find_file_(memory, from);
	struct bw_memory_file *replaced = find_file_(memory, to);

	if (!file)
		return BW_ENOTFOUND;
	if (memory->failed)
		return BW_EIO;
	if (replaced)
		replaced->name[0] = '\0';
	strncpy(file->name, to, BW_FILE_NAME_MAX - 1);
	return BW_OK;
}

enum bw_status memory_storage_remove(struct bw_memory_storage *memory,
				     const char *name)
{
	struct bw_memory_file *file = find_file_(memory, name);

	if (memory->failed)
		return BW_EIO;
	if (file)
		file->name[0] = '\0';
	free_removed_files_(memory);
	return BW_OK;
}

enum bw_status memory_storage_list(const struct bw_memory_storage *memory,
				   struct bw_storage_names *names)
{
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < memory->count && status == BW_OK; i++) {
		if (memory->files[i]->name[0])
			status = storage_names_add(names,
						   memory->files[i]->name);
	}
	return status;
}

void memory_storage_crash(struct bw_memory_storage *memory,
			  struct bw_random *torn)
{
	uint32_t i;

	for (i = 0; i < memory->count; i++)
		crash_file_(memory->files[i], torn);
	free_removed_files_(memory);
	memory->failed = false;
	memory->syncs_until_failure = 0;
	memory->capacity_bytes = 0;
}

static struct bw_memory_file *find_file_(const struct bw_memory_storage *memory,
					 const char *name)
{
	uint32_t i;

	for (i = 0; i < memory->count; i++) {
		if (!strcmp(memory->files[i]->name, name))
			return memory->files[i];
	}
	return NULL;
}

static struct bw_memory_file *create_file_(struct bw_memory_storage *memory,
					   const char *name)
{
	struct bw_memory_file **files;
	struct bw_memory_file *file = calloc(1, sizeof(*file));

	if (!file)
		return NULL;
	files = realloc(memory->files, (memory->count + 1) * sizeof(*files));
	if (!files) {
		free(file);
		return NULL;
	}
	memory->files = files;
	files[memory->count++] = file;
	strncpy(file->name, name, BW_FILE_NAME_MAX - 1);
	return file;
}

static void free_removed_files_(struct bw_memory_storage *memory)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < memory->count; i++) {
		struct bw_memory_file *file = memory->files[i];

		if (file->name[0] || file->durable_name[0]) {
			memory->files[kept++] = file;
			continue;
		}
		bw_buffer_finish(&file->live);
		bw_buffer_finish(&file->durable);
		free(file);
	}
	memory->count = kept;
}

static uint64_t used_bytes_(const struct bw_memory_storage *memory)
{
	uint64_t used_bytes = 0;
	uint32_t i;

	for (i = 0; i < memory->count; i++)
		used_bytes += memory->files[i]->live.size_bytes;
	return used_bytes;
}

static bool sync_fails_(struct bw_memory_storage *memory)
{
	if (memory->syncs_until_failure && !--memory->syncs_until_failure)
		memory->failed = true;
	return memory->failed;
}

static void crash_file_(struct bw_memory_file *file, struct bw_random *torn)
{
	size_t synced_prefix = file->synced_prefix_bytes;

	memcpy(file->name, file->durable_name, BW_FILE_NAME_MAX);
	if (!file->name[0])
		return;
	/* Torn writes are simulated for appended data only. */
	if (torn && synced_prefix == file->durable.size_bytes &&
	    file->live.size_bytes > synced_prefix)
		append_torn_write_(file, torn);
	file->live.size_bytes = 0;
	bw_buffer_append(&file->live, file->durable.data,
			 file->durable.size_bytes);
	file->synced_prefix_bytes = file->durable.size_bytes;
	file->sync_lost = false;
}

static void append_torn_write_(struct bw_memory_file *file,
			       struct bw_random *random)
{
	size_t from = file->durable.size_bytes;
	size_t kept = bw_random_below(random, file->live.size_bytes - from + 1);

	bw_buffer_append(&file->durable, file->live.data + from, kept);
	if (kept && bw_random_below(random, 2))
		file->durable.data[from + kept - 1] ^= 0x5a;
}
