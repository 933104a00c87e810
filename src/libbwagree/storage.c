#include "bwagree/storage.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "private/memory_storage.h"

#define READ_BLOCK_BYTES (64 * 1024)
#define FILE_MODE 0640
#define FOLDER_MODE 0750

static enum bw_status status_from_errno_(void);
static enum bw_status folder_open_file_(struct bw_storage *storage,
					const char *name);
static void folder_close_file_(struct bw_storage *storage);
static enum bw_status folder_read_(struct bw_storage *storage, const char *name,
				   struct bw_buffer *out);
static enum bw_status folder_append_(struct bw_storage *storage,
				     const char *name, const uint8_t *data,
				     size_t size_bytes);
static enum bw_status folder_truncate_(struct bw_storage *storage,
				       const char *name, uint64_t size_bytes);
static enum bw_status folder_sync_(struct bw_storage *storage,
				   const char *name);
static enum bw_status folder_list_(struct bw_storage *storage,
				   struct bw_storage_names *names);
static int compare_names_(const void *a, const void *b);

enum bw_status bw_storage_init_folder(struct bw_storage *storage,
				      const char *path)
{
	memset(storage, 0, sizeof(*storage));
	storage->kind = BW_STORAGE_FOLDER;
	storage->u.folder.file_fd = -1;
	if (mkdir(path, FOLDER_MODE) && errno != EEXIST)
		return BW_EIO;
	storage->u.folder.fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	return storage->u.folder.fd < 0 ? BW_EIO : BW_OK;
}

void bw_storage_init_memory(struct bw_storage *storage)
{
	memset(storage, 0, sizeof(*storage));
	storage->kind = BW_STORAGE_MEMORY;
}

void bw_storage_finish(struct bw_storage *storage)
{
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		folder_close_file_(storage);
		if (storage->u.folder.fd >= 0)
			close(storage->u.folder.fd);
		storage->u.folder.fd = -1;
		break;
	case BW_STORAGE_MEMORY:
		memory_storage_finish(&storage->u.memory);
		break;
	}
}

enum bw_status bw_storage_read(struct bw_storage *storage, const char *name,
			       struct bw_buffer *out)
{
	size_t before = out->size_bytes;
	enum bw_status status = BW_EINVAL;

	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		status = folder_read_(storage, name, out);
		break;
	case BW_STORAGE_MEMORY:
		status = memory_storage_read(&storage->u.memory, name, out);
		break;
	}
	storage->bytes_read += out->size_bytes - before;
	return status;
}

enum bw_status bw_storage_append(struct bw_storage *storage, const char *name,
				 const void *data, size_t size_bytes)
{
	storage->bytes_written += size_bytes;
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		return folder_append_(storage, name, data, size_bytes);
	case BW_STORAGE_MEMORY:
		return memory_storage_append(&storage->u.memory, name, data,
					     size_bytes);
	}
	return BW_EINVAL;
}

enum bw_status bw_storage_truncate(struct bw_storage *storage, const char *name,
				   uint64_t size_bytes)
{
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		return folder_truncate_(storage, name, size_bytes);
	case BW_STORAGE_MEMORY:
		return memory_storage_truncate(&storage->u.memory, name,
					       size_bytes);
	}
	return BW_EINVAL;
}

enum bw_status bw_storage_sync(struct bw_storage *storage, const char *name)
{
	enum bw_status status = BW_EINVAL;

	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		status = folder_sync_(storage, name);
		break;
	case BW_STORAGE_MEMORY:
		status = memory_storage_sync(&storage->u.memory, name);
		break;
	}
	if (status == BW_OK)
		storage->sync_count++;
	return status;
}

enum bw_status bw_storage_sync_folder(struct bw_storage *storage)
{
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		return fsync(storage->u.folder.fd) ? BW_EIO : BW_OK;
	case BW_STORAGE_MEMORY:
		return memory_storage_sync_folder(&storage->u.memory);
	}
	return BW_EINVAL;
}

enum bw_status bw_storage_rename(struct bw_storage *storage, const char *from,
				 const char *to)
{
	int fd;

	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		folder_close_file_(storage);
		fd = storage->u.folder.fd;
		return renameat(fd, from, fd, to) ? status_from_errno_()
						  : BW_OK;
	case BW_STORAGE_MEMORY:
		return memory_storage_rename(&storage->u.memory, from, to);
	}
	return BW_EINVAL;
}

enum bw_status bw_storage_remove(struct bw_storage *storage, const char *name)
{
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		folder_close_file_(storage);
		if (unlinkat(storage->u.folder.fd, name, 0) && errno != ENOENT)
			return BW_EIO;
		return BW_OK;
	case BW_STORAGE_MEMORY:
		return memory_storage_remove(&storage->u.memory, name);
	}
	return BW_EINVAL;
}

enum bw_status bw_storage_list(struct bw_storage *storage,
			       struct bw_storage_names *names)
{
	enum bw_status status = BW_EINVAL;

	memset(names, 0, sizeof(*names));
	switch (storage->kind) {
	case BW_STORAGE_FOLDER:
		status = folder_list_(storage, names);
		break;
	case BW_STORAGE_MEMORY:
		status = memory_storage_list(&storage->u.memory, names);
		break;
	}
	if (status != BW_OK) {
		bw_storage_names_finish(names);
		return status;
	}
	if (names->count)
		qsort(names->names, names->count, BW_FILE_NAME_MAX,
		      compare_names_);
	return BW_OK;
}

void bw_storage_names_finish(struct bw_storage_names *names)
{
	free(names->names);
	memset(names, 0, sizeof(*names));
}

enum bw_status bw_storage_replace(struct bw_storage *storage, const char *name,
				  const void *data, size_t size_bytes)
{
	char temporary_name[BW_FILE_NAME_MAX + 4];
	enum bw_status status;

	snprintf(temporary_name, sizeof(temporary_name), "%s.tmp", name);
	status = bw_storage_remove(storage, temporary_name);
	if (status == BW_OK)
		status = bw_storage_append(storage, temporary_name, data,
					   size_bytes);
	if (status == BW_OK)
		status = bw_storage_sync(storage, temporary_name);
	if (status == BW_OK)
		status = bw_storage_rename(storage, temporary_name, name);
	if (status == BW_OK)
		return bw_storage_sync_folder(storage);
	/* On a full disk, the part that was written would take up room. The
	 * first error is the one to report. */
	(void)bw_storage_remove(storage, temporary_name);
	return status;
}

void bw_storage_crash(struct bw_storage *storage, struct bw_random *torn)
{
	if (storage->kind == BW_STORAGE_MEMORY)
		memory_storage_crash(&storage->u.memory, torn);
}

void bw_storage_wipe(struct bw_storage *storage)
{
	if (storage->kind != BW_STORAGE_MEMORY)
		return;
	memory_storage_finish(&storage->u.memory);
	memset(&storage->u.memory, 0, sizeof(storage->u.memory));
}

enum bw_status storage_names_add(struct bw_storage_names *names,
				 const char *name)
{
	size_t length = strlen(name);
	char(*resized)[BW_FILE_NAME_MAX];

	if (length >= BW_FILE_NAME_MAX)
		return BW_OK; /* too long for a file of the storage */
	if (names->count == BW_STORAGE_FILES_MAX)
		return BW_EFULL;
	resized = realloc(names->names, (names->count + 1) * sizeof(*resized));
	if (!resized)
		return BW_ENOMEM;
	names->names = resized;
	memset(resized[names->count], 0, BW_FILE_NAME_MAX);
	memcpy(resized[names->count++], name, length);
	return BW_OK;
}

static enum bw_status status_from_errno_(void)
{
	switch (errno) {
	case ENOENT:
		return BW_ENOTFOUND;
	case ENOSPC:
	case EDQUOT:
	case EFBIG:
		return BW_EFULL;
	default:
		return BW_EIO;
	}
}

/* Keeps the file open, so that an append takes one write and one sync. */
static enum bw_status folder_open_file_(struct bw_storage *storage,
					const char *name)
{
	int fd;

	if (storage->u.folder.file_fd >= 0 &&
	    !strcmp(storage->u.folder.file_name, name))
		return BW_OK;
	folder_close_file_(storage);
	fd = openat(storage->u.folder.fd, name,
		    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
	if (fd < 0)
		return status_from_errno_();
	storage->u.folder.file_fd = fd;
	snprintf(storage->u.folder.file_name, BW_FILE_NAME_MAX, "%s", name);
	return BW_OK;
}

static void folder_close_file_(struct bw_storage *storage)
{
	if (storage->u.folder.file_fd >= 0)
		close(storage->u.folder.file_fd);
	storage->u.folder.file_fd = -1;
}

static enum bw_status folder_read_(struct bw_storage *storage, const char *name,
				   struct bw_buffer *out)
{
	uint8_t *block;
	enum bw_status status = BW_OK;
	ssize_t read_bytes = 1;
	int fd = openat(storage->u.folder.fd, name, O_RDONLY | O_CLOEXEC);

	if (fd < 0)
		return status_from_errno_();
	block = malloc(READ_BLOCK_BYTES);
	if (!block)
		status = BW_ENOMEM;
	while (status == BW_OK && read_bytes) {
		read_bytes = read(fd, block, READ_BLOCK_BYTES);
		if (read_bytes > 0)
			status = bw_buffer_append(out, block,
						  (size_t)read_bytes);
		else if (read_bytes < 0 && errno != EINTR)
			status = BW_EIO;
	}
	free(block);
	close(fd);
	return status;
}

static enum bw_status folder_append_(struct bw_storage *storage,
				     const char *name, const uint8_t *data,
				     size_t size_bytes)
{
	enum bw_status status = folder_open_file_(storage, name);
	size_t offset = 0;

	if (status != BW_OK)
		return status;
	while (offset < size_bytes) {
		ssize_t written_bytes = write(storage->u.folder.file_fd,
					      data + offset,
					      size_bytes - offset);

		if (written_bytes < 0 && errno == EINTR)
			continue;
		if (written_bytes < 0)
			return status_from_errno_();
		offset += (size_t)written_bytes;
	}
	return BW_OK;
}

static enum bw_status folder_truncate_(struct bw_storage *storage,
				       const char *name, uint64_t size_bytes)
{
	enum bw_status status = folder_open_file_(storage, name);

	if (status != BW_OK)
		return status;
	if (ftruncate(storage->u.folder.file_fd, (off_t)size_bytes))
		return status_from_errno_();
	return BW_OK;
}

static enum bw_status folder_sync_(struct bw_storage *storage, const char *name)
{
	enum bw_status status = folder_open_file_(storage, name);

	if (status != BW_OK)
		return status;
	return fdatasync(storage->u.folder.file_fd) ? BW_EIO : BW_OK;
}

static enum bw_status folder_list_(struct bw_storage *storage,
				   struct bw_storage_names *names)
{
	enum bw_status status = BW_OK;
	struct dirent *entry;
	DIR *dir;
	int fd = openat(storage->u.folder.fd, ".", O_RDONLY | O_DIRECTORY);

	if (fd < 0)
		return BW_EIO;
	dir = fdopendir(fd);
	if (!dir) {
		close(fd);
		return BW_EIO;
	}
	while (status == BW_OK && (entry = readdir(dir))) {
		if (entry->d_name[0] != '.')
			status = storage_names_add(names, entry->d_name);
	}
	closedir(dir);
	return status;
}

static int compare_names_(const void *a, const void *b)
{
	return strcmp(a, b);
}
