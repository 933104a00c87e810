#include "private/delta.h"

#include <stdlib.h>
#include <string.h>

#include "bwbase/codec.h"

/** Shortest range that is found as a copy. */
#define BLOCK_BYTES 32

/** Multiplier of the rolling hash. */
#define HASH_FACTOR 0x01000193u

/** Index of the blocks of the old content by rolling hash. */
struct index {
	uint32_t *slots; /**< block offset + 1, or 0 */
	uint32_t mask;
};

/** A delta that is being written. */
struct maker {
	const uint8_t *old_bytes;
	uint32_t old_size;
	const uint8_t *new_bytes;
	uint32_t new_size;
	struct bw_buffer ops;
	struct bw_writer writer;
	uint32_t op_count;
	uint32_t copy_offset; /**< open operation: range of old */
	uint32_t copy_size;
	uint32_t insert_start; /**< open operation: bytes of new after it */
};

static enum bw_status index_init_(struct index *index, const uint8_t *bytes,
				  uint32_t size);
static uint32_t hash_(const uint8_t *bytes);
static uint32_t slot_(const struct index *index, uint32_t hash);
static void scan_(struct maker *maker, const struct index *index,
		  size_t limit_bytes);
static uint32_t expected_(const struct maker *maker, uint32_t position);
static uint32_t match_(const struct maker *maker, uint32_t offset,
		       uint32_t position);
static void close_op_(struct maker *maker, uint32_t insert_end);

enum bw_status delta_encode(const uint8_t *old_bytes, uint32_t old_size,
			    const uint8_t *new_bytes, uint32_t new_size,
			    size_t limit_bytes, struct bw_buffer *out)
{
	struct maker maker = { .old_bytes = old_bytes,
			       .old_size = old_size,
			       .new_bytes = new_bytes,
			       .new_size = new_size };
	struct index index;
	struct bw_writer writer;
	enum bw_status status = index_init_(&index, old_bytes, old_size);

	if (status != BW_OK)
		return status;
	bw_writer_init(&maker.writer, &maker.ops);
	/* Most changes touch one place: the common start needs no search. */
	while (maker.copy_size < old_size && maker.copy_size < new_size &&
	       old_bytes[maker.copy_size] == new_bytes[maker.copy_size])
		maker.copy_size++;
	maker.insert_start = maker.copy_size;
	scan_(&maker, &index, limit_bytes);
	close_op_(&maker, new_size);
	free(index.slots);
	status = maker.writer.status;
	if (status == BW_OK && maker.ops.size_bytes > limit_bytes)
		status = BW_EFULL;
	if (status == BW_OK) {
		bw_writer_init(&writer, out);
		bw_write_array(&writer, maker.op_count * 3);
		status = writer.status;
	}
	if (status == BW_OK)
		status = bw_buffer_append(out, maker.ops.data,
					  maker.ops.size_bytes);
	bw_buffer_finish(&maker.ops);
	return status;
}

enum bw_status delta_apply(const uint8_t *old_bytes, uint32_t old_size,
			   const uint8_t *delta, size_t delta_bytes,
			   uint32_t new_size, struct bw_buffer *out)
{
	struct bw_reader reader;
	enum bw_status status = bw_reader_init(&reader, delta, delta_bytes);
	const uint8_t *insert;
	size_t insert_size;
	size_t start = out->size_bytes;
	uint64_t offset;
	uint64_t size;

	bw_read_array(&reader);
	while (status == BW_OK && bw_read_more(&reader)) {
		offset = bw_read_uint(&reader);
		size = bw_read_uint(&reader);
		insert = bw_read_bin(&reader, &insert_size);
		if (reader.failed || offset > old_size ||
		    size > old_size - offset ||
		    out->size_bytes - start + size + insert_size > new_size) {
			status = BW_EINVAL;
			break;
		}
		if (size)
			status =
				bw_buffer_append(out, old_bytes + offset, size);
		if (status == BW_OK)
			status = bw_buffer_append(out, insert, insert_size);
	}
	if (status == BW_OK)
		status = bw_reader_status(&reader);
	if (status == BW_OK && out->size_bytes - start != new_size)
		status = BW_EINVAL;
	bw_reader_finish(&reader);
	return status;
}

static enum bw_status index_init_(struct index *index, const uint8_t *bytes,
				  uint32_t size)
{
	uint32_t slots = 64;
	uint32_t offset;

	while (slots < size / BLOCK_BYTES * 2)
		slots *= 2;
	index->mask = slots - 1;
	index->slots = calloc(slots, sizeof(*index->slots));
	if (!index->slots)
		return BW_ENOMEM;
	for (offset = 0; offset + BLOCK_BYTES <= size; offset += BLOCK_BYTES)
		index->slots[slot_(index, hash_(bytes + offset))] = offset + 1;
	return BW_OK;
}

static uint32_t hash_(const uint8_t *bytes)
{
	uint32_t hash = 0;
	uint32_t i;

	for (i = 0; i < BLOCK_BYTES; i++)
		hash = hash * HASH_FACTOR + bytes[i] + 1;
	return hash;
}

static uint32_t slot_(const struct index *index, uint32_t hash)
{
	return (hash ^ (hash >> 15)) & index->mask;
}

static void scan_(struct maker *maker, const struct index *index,
		  size_t limit_bytes)
{
	uint32_t position = maker->insert_start;
	uint32_t leaving_factor = 1;
	uint32_t hash = 0;
	uint32_t found;
	uint32_t offset;
	uint32_t size;
	bool valid = false;
	uint32_t i;

	for (i = 0; i < BLOCK_BYTES; i++)
		leaving_factor *= HASH_FACTOR;
	while (position + BLOCK_BYTES <= maker->new_size &&
	       maker->ops.size_bytes <= limit_bytes) {
		if (!valid)
			hash = hash_(maker->new_bytes + position);
		valid = true;
		/* The place after the last copy first: repeated blocks of the
		 * old content have only one slot. */
		offset = expected_(maker, position);
		size = match_(maker, offset, position);
		found = index->slots[slot_(index, hash)];
		if (size < BLOCK_BYTES && found) {
			offset = found - 1;
			size = match_(maker, offset, position);
		}
		if (size >= BLOCK_BYTES) {
			close_op_(maker, position);
			maker->copy_offset = offset;
			maker->copy_size = size;
			position += size;
			maker->insert_start = position;
			valid = false;
			continue;
		}
		if (position + BLOCK_BYTES < maker->new_size)
			hash = hash * HASH_FACTOR +
			       maker->new_bytes[position + BLOCK_BYTES] + 1 -
			       leaving_factor *
				       (maker->new_bytes[position] + 1u);
		position++;
	}
}

/* Place in old of a position in new when nothing moved since the last copy. */
static uint32_t expected_(const struct maker *maker, uint32_t position)
{
	return maker->copy_offset + maker->copy_size +
	       (position - maker->insert_start);
}

static uint32_t match_(const struct maker *maker, uint32_t offset,
		       uint32_t position)
{
	uint32_t size = 0;

	while (offset + size < maker->old_size &&
	       position + size < maker->new_size &&
	       maker->old_bytes[offset + size] ==
		       maker->new_bytes[position + size])
		size++;
	return size;
}

static void close_op_(struct maker *maker, uint32_t insert_end)
{
	if (!maker->copy_size && maker->insert_start == insert_end)
		return;
	bw_write_uint(&maker->writer, maker->copy_offset);
	bw_write_uint(&maker->writer, maker->copy_size);
	bw_write_bin(&maker->writer, maker->new_bytes + maker->insert_start,
		     insert_end - maker->insert_start);
	maker->op_count++;
	maker->copy_size = 0;
}
