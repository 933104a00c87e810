#include "bwagree/record_file.h"

#include <stdio.h>
#include <string.h>

#include <zlib.h>

#include "private/bytes.h"

#define HEADER_BYTES 8
#define CRC_OFFSET 4

static uint64_t visit_records_(const struct bw_buffer *bytes,
			       bw_record_visit_fn *visit, void *context);

enum bw_status bw_record_file_open(struct bw_record_file *file,
				   struct bw_storage *storage, const char *name,
				   bw_record_visit_fn *visit, void *context)
{
	struct bw_buffer bytes;
	enum bw_status status;

	memset(file, 0, sizeof(*file));
	file->storage = storage;
	snprintf(file->name, sizeof(file->name), "%s", name);
	bw_buffer_init(&file->batch);
	bw_buffer_init(&bytes);
	status = bw_storage_read(storage, name, &bytes);
	if (status == BW_OK)
		file->size_bytes = visit_records_(&bytes, visit, context);
	if (status == BW_ENOTFOUND)
		status = BW_OK;
	file->dropped_bytes = bytes.size_bytes - file->size_bytes;
	/* A new file gets its name durable, a damaged one loses its end. */
	file->replace = !file->size_bytes || file->dropped_bytes;
	bw_buffer_finish(&bytes);
	return status;
}

void bw_record_file_finish(struct bw_record_file *file)
{
	bw_buffer_finish(&file->batch);
}

enum bw_status bw_record_file_append(struct bw_record_file *file,
				     const void *data, uint32_t size_bytes)
{
	size_t start = file->batch.size_bytes;
	uint8_t header[HEADER_BYTES];
	enum bw_status status;

	if (size_bytes > BW_RECORD_MAX_BYTES)
		return BW_EINVAL;
	bytes_put32(header, size_bytes);
	bytes_put32(header + CRC_OFFSET,
		    (uint32_t)crc32_z(0, data, size_bytes));
	status = bw_buffer_append(&file->batch, header, sizeof(header));
	if (status == BW_OK)
		status = bw_buffer_append(&file->batch, data, size_bytes);
	if (status != BW_OK)
		file->batch.size_bytes = start;
	return status;
}

void bw_record_file_clear(struct bw_record_file *file)
{
	bw_buffer_clear(&file->batch);
	file->replace = true;
}

bool bw_record_file_is_dirty(const struct bw_record_file *file)
{
	return file->batch.size_bytes > 0;
}

enum bw_status bw_record_file_sync(struct bw_record_file *file)
{
	enum bw_status status;

	if (file->replace) {
		status = bw_storage_replace(file->storage, file->name,
					    file->batch.data,
					    file->batch.size_bytes);
		if (status == BW_OK)
			file->size_bytes = 0;
	} else {
		status = bw_storage_append(file->storage, file->name,
					   file->batch.data,
					   file->batch.size_bytes);
		if (status == BW_OK)
			status = bw_storage_sync(file->storage, file->name);
	}
	if (status != BW_OK)
		return status;
	file->replace = false;
	file->size_bytes += file->batch.size_bytes;
	bw_buffer_clear(&file->batch);
	return BW_OK;
}

/* @return the size of the intact records */
static uint64_t visit_records_(const struct bw_buffer *bytes,
			       bw_record_visit_fn *visit, void *context)
{
	size_t offset = 0;

	while (bytes->size_bytes - offset >= HEADER_BYTES) {
		const uint8_t *header = bytes->data + offset;
		uint32_t size_bytes = bytes_get32(header);

		if (size_bytes > BW_RECORD_MAX_BYTES ||
		    size_bytes > bytes->size_bytes - offset - HEADER_BYTES ||
		    bytes_get32(header + CRC_OFFSET) !=
			    (uint32_t)crc32_z(0, header + HEADER_BYTES,
					      size_bytes))
			break;
		visit(context, header + HEADER_BYTES, size_bytes);
		offset += HEADER_BYTES + size_bytes;
	}
	return offset;
}
