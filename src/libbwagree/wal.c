#include "bwagree/wal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "private/bytes.h"

#define INITIAL_ENTRIES 64
#define INITIAL_SEGMENTS 8
#define CRC_OFFSET 4
#define TERM_OFFSET 8
#define INDEX_OFFSET 16

static void segment_name_(char name[BW_FILE_NAME_MAX], uint64_t first_index);
static bool parse_segment_name_(const char *name, uint64_t *first_index);
static enum bw_status list_segments_(struct bw_wal *wal);
static enum bw_status add_segment_(struct bw_wal *wal, uint64_t first_index);
static enum bw_status read_segments_(struct bw_wal *wal, uint64_t skip_before);
static enum bw_status read_segment_(struct bw_wal *wal, uint32_t number,
				    struct bw_buffer *bytes);
static uint32_t record_size_(const uint8_t *data, size_t size_bytes);
static uint32_t record_crc_(const uint8_t *record, uint32_t payload_bytes);
static bool intact_record_follows_(const struct bw_buffer *bytes, size_t from,
				   uint64_t after_index);
static enum bw_status report_corruption_(struct bw_wal *wal, uint64_t segment,
					 size_t offset, const char *what);
static enum bw_status push_entry_(struct bw_wal *wal, uint64_t term,
				  const void *data, size_t size_bytes);
static bool matches_snapshot_(const struct bw_wal *wal, uint64_t index,
			      uint64_t term);
static void free_entries_from_(struct bw_wal *wal, uint64_t index);
static enum bw_status remove_last_segment_(struct bw_wal *wal);
static uint64_t sum_record_bytes_(const struct bw_wal *wal, uint64_t from,
				  uint64_t to);

enum bw_status bw_wal_open(struct bw_wal *wal, struct bw_storage *storage,
			   uint64_t snapshot_index, uint64_t snapshot_term,
			   uint32_t segment_bytes)
{
	enum bw_status status;

	memset(wal, 0, sizeof(*wal));
	wal->storage = storage;
	wal->segment_bytes = segment_bytes;
	wal->first_index = snapshot_index + 1;
	status = list_segments_(wal);
	if (status == BW_OK)
		status = read_segments_(wal, snapshot_index);
	if (status != BW_OK)
		return status;
	wal->synced_index = bw_wal_last_index(wal);
	if (wal->first_index > snapshot_index + 1)
		return report_corruption_(wal, wal->first_index, 0,
					  "records between the snapshot and "
					  "this segment are missing");
	if (!matches_snapshot_(wal, snapshot_index, snapshot_term))
		return bw_wal_reset(wal, snapshot_index + 1);
	return BW_OK;
}

void bw_wal_finish(struct bw_wal *wal)
{
	free_entries_from_(wal, wal->first_index);
	free(wal->entries);
	free(wal->segments);
	bw_buffer_finish(&wal->batch);
	wal->entries = NULL;
	wal->segments = NULL;
}

uint64_t bw_wal_last_index(const struct bw_wal *wal)
{
	return wal->first_index + wal->count - 1;
}

const struct bw_wal_entry *bw_wal_entry(const struct bw_wal *wal,
					uint64_t index)
{
	if (index < wal->first_index || index - wal->first_index >= wal->count)
		return NULL;
	return &wal->entries[index - wal->first_index];
}

enum bw_status bw_wal_append(struct bw_wal *wal, uint64_t term,
			     const void *data, size_t size_bytes)
{
	uint8_t header[BW_WAL_HEADER_BYTES] = { 0 };
	size_t start = wal->batch.size_bytes;
	enum bw_status status;

	if (size_bytes > BW_WAL_PAYLOAD_MAX_BYTES)
		return BW_EINVAL;
	bytes_put32(header, (uint32_t)size_bytes);
	bytes_put64(header + TERM_OFFSET, term);
	bytes_put64(header + INDEX_OFFSET, bw_wal_last_index(wal) + 1);
	status = bw_buffer_append(&wal->batch, header, sizeof(header));
	if (status == BW_OK)
		status = bw_buffer_append(&wal->batch, data, size_bytes);
	if (status == BW_OK)
		status = push_entry_(wal, term, data, size_bytes);
	if (status != BW_OK) {
		wal->batch.size_bytes = start;
		return status;
	}
	bytes_put32(wal->batch.data + start + CRC_OFFSET,
		    record_crc_(wal->batch.data + start, (uint32_t)size_bytes));
	return BW_OK;
}

enum bw_status bw_wal_sync(struct bw_wal *wal)
{
	char name[BW_FILE_NAME_MAX];
	struct bw_wal_segment *segment;
	enum bw_status status = BW_OK;
	bool segment_created = false;

	if (!wal->batch.size_bytes)
		return BW_OK;
	if (!wal->segment_count ||
	    wal->segments[wal->segment_count - 1].size_bytes >=
		    wal->segment_bytes) {
		status = add_segment_(wal, wal->synced_index + 1);
		segment_created = true;
	}
	if (status != BW_OK)
		return status;
	segment = &wal->segments[wal->segment_count - 1];
	segment_name_(name, segment->first_index);
	status = bw_storage_append(wal->storage, name, wal->batch.data,
				   wal->batch.size_bytes);
	if (status == BW_OK)
		status = bw_storage_sync(wal->storage, name);
	if (status == BW_OK && segment_created)
		status = bw_storage_sync_folder(wal->storage);
	if (status != BW_OK)
		return status;
	segment->size_bytes += wal->batch.size_bytes;
	wal->size_bytes += wal->batch.size_bytes;
	bw_buffer_clear(&wal->batch);
	wal->synced_index = bw_wal_last_index(wal);
	return BW_OK;
}

enum bw_status bw_wal_truncate(struct bw_wal *wal, uint64_t index)
{
	char name[BW_FILE_NAME_MAX];
	struct bw_wal_segment *segment;
	enum bw_status status = bw_wal_sync(wal);
	uint64_t removed;

	while (status == BW_OK && wal->segment_count &&
	       wal->segments[wal->segment_count - 1].first_index >= index)
		status = remove_last_segment_(wal);
	if (status == BW_OK)
		status = bw_storage_sync_folder(wal->storage);
	if (status == BW_OK && wal->segment_count) {
		segment = &wal->segments[wal->segment_count - 1];
		removed =
			segment->size_bytes -
			sum_record_bytes_(wal, segment->first_index, index - 1);
		segment_name_(name, segment->first_index);
		segment->size_bytes -= removed;
		wal->size_bytes -= removed;
		status = bw_storage_truncate(wal->storage, name,
					     segment->size_bytes);
		/* Removed records must not reappear after new ones. */
		if (status == BW_OK)
			status = bw_storage_sync(wal->storage, name);
	}
	free_entries_from_(wal, index);
	wal->synced_index = bw_wal_last_index(wal);
	return status;
}

enum bw_status bw_wal_compact(struct bw_wal *wal, uint64_t index)
{
	char name[BW_FILE_NAME_MAX];
	enum bw_status status = BW_OK;
	uint32_t removed_count = 0;
	uint64_t entries;
	uint64_t i;

	while (removed_count + 1 < wal->segment_count &&
	       wal->segments[removed_count + 1].first_index <= index &&
	       status == BW_OK) {
		segment_name_(name, wal->segments[removed_count].first_index);
		status = bw_storage_remove(wal->storage, name);
		wal->size_bytes -= wal->segments[removed_count].size_bytes;
		removed_count++;
	}
	if (!removed_count || status != BW_OK)
		return status;
	entries = wal->segments[removed_count].first_index - wal->first_index;
	for (i = 0; i < entries; i++)
		free(wal->entries[i].data);
	memmove(wal->entries, wal->entries + entries,
		(wal->count - entries) * sizeof(*wal->entries));
	memmove(wal->segments, wal->segments + removed_count,
		(wal->segment_count - removed_count) * sizeof(*wal->segments));
	wal->count -= entries;
	wal->first_index += entries;
	wal->segment_count -= removed_count;
	return bw_storage_sync_folder(wal->storage);
}

/*
 * Segments are removed from the newest to the oldest: a crash then leaves a
 * prefix of the log, with the entry that bw_wal_open compares with the
 * snapshot.
 */
enum bw_status bw_wal_reset(struct bw_wal *wal, uint64_t next_index)
{
	enum bw_status status = BW_OK;

	while (wal->segment_count && status == BW_OK)
		status = remove_last_segment_(wal);
	if (status == BW_OK)
		status = bw_storage_sync_folder(wal->storage);
	free_entries_from_(wal, wal->first_index);
	bw_buffer_clear(&wal->batch);
	wal->first_index = next_index;
	wal->synced_index = next_index - 1;
	wal->size_bytes = 0;
	return status;
}

enum bw_status bw_wal_rewrite_last(struct bw_wal *wal)
{
	char name[BW_FILE_NAME_MAX];
	struct bw_buffer bytes;
	enum bw_status status;

	if (!wal->segment_count)
		return bw_storage_sync_folder(wal->storage);
	segment_name_(name, wal->segments[wal->segment_count - 1].first_index);
	bw_buffer_init(&bytes);
	status = bw_storage_read(wal->storage, name, &bytes);
	if (status == BW_OK)
		status = bw_storage_replace(wal->storage, name, bytes.data,
					    bytes.size_bytes);
	bw_buffer_finish(&bytes);
	return status;
}

static void segment_name_(char name[BW_FILE_NAME_MAX], uint64_t first_index)
{
	snprintf(name, BW_FILE_NAME_MAX, "wal-%016" PRIx64 ".log", first_index);
}

static bool parse_segment_name_(const char *name, uint64_t *first_index)
{
	char expected[BW_FILE_NAME_MAX];

	if (strncmp(name, "wal-", 4))
		return false;
	*first_index = strtoull(name + 4, NULL, 16);
	segment_name_(expected, *first_index);
	return !strcmp(name, expected);
}

static enum bw_status list_segments_(struct bw_wal *wal)
{
	struct bw_storage_names names;
	enum bw_status status = bw_storage_list(wal->storage, &names);
	uint64_t first_index;
	uint32_t i;

	if (status != BW_OK)
		return status;
	for (i = 0; i < names.count && status == BW_OK; i++) {
		if (parse_segment_name_(names.names[i], &first_index))
			status = add_segment_(wal, first_index);
	}
	bw_storage_names_finish(&names);
	return status;
}

static enum bw_status add_segment_(struct bw_wal *wal, uint64_t first_index)
{
	uint32_t capacity = wal->segment_capacity ? wal->segment_capacity * 2
						  : INITIAL_SEGMENTS;
	struct bw_wal_segment *segments;

	if (wal->segment_count == wal->segment_capacity) {
		segments = realloc(wal->segments, capacity * sizeof(*segments));
		if (!segments)
			return BW_ENOMEM;
		wal->segments = segments;
		wal->segment_capacity = capacity;
	}
	wal->segments[wal->segment_count].first_index = first_index;
	wal->segments[wal->segment_count].size_bytes = 0;
	wal->segment_count++;
	return BW_OK;
}

/*
 * Segments that end before the snapshot's last entry are not read but removed:
 * after a later reset they would look like a gap in the log.
 */
static enum bw_status read_segments_(struct bw_wal *wal, uint64_t skip_before)
{
	struct bw_buffer bytes;
	char name[BW_FILE_NAME_MAX];
	enum bw_status status = BW_OK;
	uint32_t i = 0;

	while (i + 1 < wal->segment_count && status == BW_OK &&
	       wal->segments[i + 1].first_index <= skip_before) {
		segment_name_(name, wal->segments[i].first_index);
		status = bw_storage_remove(wal->storage, name);
		i++;
	}
	if (i && status == BW_OK)
		status = bw_storage_sync_folder(wal->storage);
	if (i) {
		memmove(wal->segments, wal->segments + i,
			(wal->segment_count - i) * sizeof(*wal->segments));
		wal->segment_count -= i;
	}
	if (wal->segment_count)
		wal->first_index = wal->segments[0].first_index;
	bw_buffer_init(&bytes);
	for (i = 0; i < wal->segment_count && status == BW_OK; i++) {
		bw_buffer_clear(&bytes);
		status = read_segment_(wal, i, &bytes);
	}
	bw_buffer_finish(&bytes);
	return status;
}

static enum bw_status read_segment_(struct bw_wal *wal, uint32_t number,
				    struct bw_buffer *bytes)
{
	uint64_t first = wal->segments[number].first_index;
	char name[BW_FILE_NAME_MAX];
	enum bw_status status;
	size_t offset = 0;

	if (first != bw_wal_last_index(wal) + 1)
		return report_corruption_(wal, first, 0,
					  "previous records are missing");
	segment_name_(name, first);
	status = bw_storage_read(wal->storage, name, bytes);
	while (status == BW_OK && offset < bytes->size_bytes) {
		const uint8_t *record = bytes->data + offset;
		uint32_t size =
			record_size_(record, bytes->size_bytes - offset);

		if (!size)
			break;
		if (bytes_get64(record + INDEX_OFFSET) !=
		    bw_wal_last_index(wal) + 1)
			return report_corruption_(wal, first, offset,
						  "index out of order");
		status = push_entry_(wal, bytes_get64(record + TERM_OFFSET),
				     record + BW_WAL_HEADER_BYTES,
				     size - BW_WAL_HEADER_BYTES);
		offset += size;
	}
	if (status != BW_OK)
		return status;
	wal->segments[number].size_bytes = offset;
	wal->size_bytes += offset;
	if (offset == bytes->size_bytes)
		return BW_OK;
	if (number + 1 < wal->segment_count ||
	    intact_record_follows_(bytes, offset + 1, bw_wal_last_index(wal)))
		return report_corruption_(wal, first, offset, "damaged record");
	wal->truncated_bytes = bytes->size_bytes - offset;
	status = bw_storage_truncate(wal->storage, name, offset);
	return status == BW_OK ? bw_storage_sync(wal->storage, name) : status;
}

/* Returns the size of the record at data, or 0 when it is not intact. */
static uint32_t record_size_(const uint8_t *data, size_t size_bytes)
{
	uint32_t payload_bytes;

	if (size_bytes < BW_WAL_HEADER_BYTES)
		return 0;
	payload_bytes = bytes_get32(data);
	if (payload_bytes > BW_WAL_PAYLOAD_MAX_BYTES ||
	    payload_bytes > size_bytes - BW_WAL_HEADER_BYTES)
		return 0;
	if (bytes_get32(data + CRC_OFFSET) != record_crc_(data, payload_bytes))
		return 0;
	return BW_WAL_HEADER_BYTES + payload_bytes;
}

static uint32_t record_crc_(const uint8_t *record, uint32_t payload_bytes)
{
	uLong crc = crc32_z(0, record, CRC_OFFSET);

	crc = crc32_z(crc, record + TERM_OFFSET,
		      BW_WAL_HEADER_BYTES - TERM_OFFSET + payload_bytes);
	return (uint32_t)crc;
}

/*
 * A corrupt record that is followed by an intact later one is not a torn last
 * record: its entry may have been acknowledged.
 */
static bool intact_record_follows_(const struct bw_buffer *bytes, size_t from,
				   uint64_t after_index)
{
	for (; from + BW_WAL_HEADER_BYTES <= bytes->size_bytes; from++) {
		const uint8_t *record = bytes->data + from;
		uint64_t index = bytes_get64(record + INDEX_OFFSET);

		if (index <= after_index ||
		    index - after_index > bytes->size_bytes)
			continue;
		if (record_size_(record, bytes->size_bytes - from))
			return true;
	}
	return false;
}

static enum bw_status report_corruption_(struct bw_wal *wal, uint64_t segment,
					 size_t offset, const char *what)
{
	snprintf(wal->error, sizeof(wal->error),
		 "wal-%016" PRIx64 ".log offset %zu: %s", segment, offset,
		 what);
	return BW_ECORRUPT;
}

static enum bw_status push_entry_(struct bw_wal *wal, uint64_t term,
				  const void *data, size_t size_bytes)
{
	uint64_t capacity = wal->capacity ? wal->capacity * 2 : INITIAL_ENTRIES;
	struct bw_wal_entry *entries;
	uint8_t *copy;

	if (wal->count == wal->capacity) {
		entries = realloc(wal->entries, capacity * sizeof(*entries));
		if (!entries)
			return BW_ENOMEM;
		wal->entries = entries;
		wal->capacity = capacity;
	}
	copy = malloc(size_bytes ? size_bytes : 1);
	if (!copy)
		return BW_ENOMEM;
	if (size_bytes)
		memcpy(copy, data, size_bytes);
	wal->entries[wal->count].term = term;
	wal->entries[wal->count].data = copy;
	wal->entries[wal->count].size_bytes = (uint32_t)size_bytes;
	wal->count++;
	return BW_OK;
}

static bool matches_snapshot_(const struct bw_wal *wal, uint64_t index,
			      uint64_t term)
{
	const struct bw_wal_entry *entry = bw_wal_entry(wal, index);

	if (entry)
		return entry->term == term;
	return wal->first_index == index + 1;
}

static void free_entries_from_(struct bw_wal *wal, uint64_t index)
{
	while (wal->count && bw_wal_last_index(wal) >= index)
		free(wal->entries[--wal->count].data);
}

static enum bw_status remove_last_segment_(struct bw_wal *wal)
{
	struct bw_wal_segment *segment = &wal->segments[wal->segment_count - 1];
	char name[BW_FILE_NAME_MAX];

	segment_name_(name, segment->first_index);
	wal->size_bytes -= segment->size_bytes;
	wal->segment_count--;
	return bw_storage_remove(wal->storage, name);
}

static uint64_t sum_record_bytes_(const struct bw_wal *wal, uint64_t from,
				  uint64_t to)
{
	uint64_t bytes = 0;

	for (; from <= to; from++) {
		const struct bw_wal_entry *entry = bw_wal_entry(wal, from);

		assert(entry);
		bytes += BW_WAL_HEADER_BYTES + entry->size_bytes;
	}
	return bytes;
}
