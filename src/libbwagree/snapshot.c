#include "bwagree/snapshot.h"

#include <string.h>

#include <zlib.h>

#include "private/bytes.h"

#define MAGIC 0x31735742u /* "BWs1" */
#define CRC_START 8 /* the checksum covers all bytes after it */

void bw_snapshot_init(struct bw_snapshot *snapshot)
{
	memset(snapshot, 0, sizeof(*snapshot));
}

void bw_snapshot_finish(struct bw_snapshot *snapshot)
{
	bw_buffer_finish(&snapshot->payload);
	snapshot->index = 0;
	snapshot->term = 0;
}

enum bw_status bw_snapshot_save(struct bw_storage *storage,
				const struct bw_snapshot *snapshot)
{
	uint8_t header[BW_SNAPSHOT_HEADER_BYTES] = { 0 };
	struct bw_buffer file;
	enum bw_status status;

	bw_buffer_init(&file);
	bytes_put32(header, MAGIC);
	bytes_put64(header + 8, snapshot->index);
	bytes_put64(header + 16, snapshot->term);
	status = bw_buffer_append(&file, header, sizeof(header));
	if (status == BW_OK)
		status = bw_buffer_append(&file, snapshot->payload.data,
					  snapshot->payload.size_bytes);
	if (status == BW_OK) {
		bytes_put32(file.data + 4,
			    (uint32_t)crc32_z(0, file.data + CRC_START,
					      file.size_bytes - CRC_START));
		status = bw_storage_replace(storage, BW_SNAPSHOT_FILE,
					    file.data, file.size_bytes);
	}
	bw_buffer_finish(&file);
	return status;
}

enum bw_status bw_snapshot_load(struct bw_storage *storage,
				struct bw_snapshot *snapshot)
{
	struct bw_buffer *file = &snapshot->payload;
	enum bw_status status;

	bw_buffer_clear(file);
	snapshot->index = 0;
	snapshot->term = 0;
	status = bw_storage_read(storage, BW_SNAPSHOT_FILE, file);
	if (status == BW_ENOTFOUND)
		return BW_OK;
	if (status != BW_OK)
		return status;
	if (file->size_bytes < BW_SNAPSHOT_HEADER_BYTES ||
	    bytes_get32(file->data) != MAGIC ||
	    bytes_get32(file->data + 4) !=
		    (uint32_t)crc32_z(0, file->data + CRC_START,
				      file->size_bytes - CRC_START))
		return BW_ECORRUPT;
	snapshot->index = bytes_get64(file->data + 8);
	snapshot->term = bytes_get64(file->data + 16);
	bw_buffer_consume(file, BW_SNAPSHOT_HEADER_BYTES);
	return BW_OK;
}
