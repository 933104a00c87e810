#include "private/delta.h"

#include <stdlib.h>
#include <string.h>

#include "bwbase/codec.h"

/** Minimum size of a copied range, in bytes. */
#define BLOCK_BYTES 32

/** Multiplier of the rolling hash. */
#define HASH_FACTOR 0x01000193u

/** Hash table of the blocks of the old content, by rolling hash. */
struct block_index {
	uint32_t *slots; /**< block offset + 1, or 0 */
	uint32_t mask;
};

/** State of delta encoding. */
struct encoder {
	const uint8_t *old_bytes;
	uint32_t old_size;
	const uint8_t *new_bytes;
	uint32_t new_size;
	struct bw_buffer ops;
	struct bw_writer writer;
	uint32_t op_count;
	uint32_t copy_offset; /**< pending operation: range of old */
	uint32_t copy_size;
	uint32_t insert_start; /**< pending operation: inserted bytes of new */
};

static enum bw_status index_init_(struct block_index *index,
				  const uint8_t *bytes, uint32_t size);
static uint32_t hash_block_(const uint8_t *bytes);
static uint32_t slot_index_(const struct block_index *index, uint32_t hash);
static void write_ops_(struct encoder *encoder, const struct block_index *index,
		       size_t limit_bytes);
static uint32_t expected_offset_(const struct encoder *encoder,
				 uint32_t position);
static uint32_t match_size_(const struct encoder *encoder, uint32_t offset,
			    uint32_t position);
static void write_op_(struct encoder *encoder, uint32_t insert_end);

enum bw_status delta_encode(const uint8_t *old_bytes, uint32_t old_size,
			    const uint8_t *new_bytes, uint32_t new_size,
			    size_t limit_bytes, struct bw_buffer *out)
{
	struct encoder encoder = { .old_bytes = old_bytes,
				   .old_size = old_size,
				   .new_bytes = new_bytes,
				   .new_size = new_size };
	struct block_index index;
	struct bw_writer writer;
	enum bw_status status = index_init_(&index, old_bytes, old_size);

	if (status != BW_OK)
		return status;
	bw_writer_init(&encoder.writer, &encoder.ops);
	/* Most changes affect one range: the common prefix needs no search. */
	while (encoder.copy_size < old_size && encoder.copy_size < new_size &&
	       old_bytes[encoder.copy_size] == new_bytes[encoder.copy_size])
		encoder.copy_size++;
	encoder.insert_start = encoder.copy_size;
	write_ops_(&encoder, &index, limit_bytes);
	write_op_(&encoder, new_size);
	free(index.slots);
	status = encoder.writer.status;
	if (status == BW_OK && encoder.ops.size_bytes > limit_bytes)
		status = BW_EFULL;
	if (status == BW_OK) {
		bw_writer_init(&writer, out);
		bw_write_array(&writer, encoder.op_count * 3);
		status = writer.status;
	}
	if (status == BW_OK)
		status = bw_buffer_append(out, encoder.ops.data,
					  encoder.ops.size_bytes);
	bw_buffer_finish(&encoder.ops);
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

static enum bw_status index_init_(struct block_index *index,
				  const uint8_t *bytes, uint32_t size)
{
	uint32_t slot_count = 64;
	uint32_t offset;

	while (slot_count < size / BLOCK_BYTES * 2)
		slot_count *= 2;
	index->mask = slot_count - 1;
	index->slots = calloc(slot_count, sizeof(*index->slots));
	if (!index->slots)
		return BW_ENOMEM;
	for (offset = 0; offset + BLOCK_BYTES <= size; offset += BLOCK_BYTES)
		index->slots[slot_index_(index, hash_block_(bytes + offset))] =
			offset + 1;
	return BW_OK;
}

static uint32_t hash_block_(const uint8_t *bytes)
{
	uint32_t hash = 0;
	uint32_t i;

	for (i = 0; i < BLOCK_BYTES; i++)
		hash = hash * HASH_FACTOR + bytes[i] + 1;
	return hash;
}

static uint32_t slot_index_(const struct block_index *index, uint32_t hash)
{
	return (hash ^ (hash >> 15)) & index->mask;
}

static void write_ops_(struct encoder *encoder, const struct block_index *index,
		       size_t limit_bytes)
{
	uint32_t position = encoder->insert_start;
	uint32_t outgoing_factor = 1;
	uint32_t hash = 0;
	uint32_t slot;
	uint32_t offset;
	uint32_t size;
	bool hash_valid = false;
	uint32_t i;

	/* Weight in the rolling hash of the byte that leaves the block. */
	for (i = 0; i < BLOCK_BYTES; i++)
		outgoing_factor *= HASH_FACTOR;
	while (position + BLOCK_BYTES <= encoder->new_size &&
	       encoder->ops.size_bytes <= limit_bytes) {
		if (!hash_valid)
			hash = hash_block_(encoder->new_bytes + position);
		hash_valid = true;
		/* Tries the position after the last copy first, as equal
		 * blocks of the old content share one slot. */
		offset = expected_offset_(encoder, position);
		size = match_size_(encoder, offset, position);
		slot = index->slots[slot_index_(index, hash)];
		if (size < BLOCK_BYTES && slot) {
			offset = slot - 1;
			size = match_size_(encoder, offset, position);
		}
		if (size >= BLOCK_BYTES) {
			write_op_(encoder, position);
			encoder->copy_offset = offset;
			encoder->copy_size = size;
			position += size;
			encoder->insert_start = position;
			hash_valid = false;
			continue;
		}
		if (position + BLOCK_BYTES < encoder->new_size)
			hash = hash * HASH_FACTOR +
			       encoder->new_bytes[position + BLOCK_BYTES] + 1 -
			       outgoing_factor *
				       (encoder->new_bytes[position] + 1u);
		position++;
	}
}

/* Returns the offset in old of a position in new if only bytes were replaced
 * since the last copy. */
static uint32_t expected_offset_(const struct encoder *encoder,
				 uint32_t position)
{
	return encoder->copy_offset + encoder->copy_size +
	       (position - encoder->insert_start);
}

static uint32_t match_size_(const struct encoder *encoder, uint32_t offset,
			    uint32_t position)
{
	uint32_t size = 0;

	while (offset + size < encoder->old_size &&
	       position + size < encoder->new_size &&
	       encoder->old_bytes[offset + size] ==
		       encoder->new_bytes[position + size])
		size++;
	return size;
}

static void write_op_(struct encoder *encoder, uint32_t insert_end)
{
	if (!encoder->copy_size && encoder->insert_start == insert_end)
		return;
	bw_write_uint(&encoder->writer, encoder->copy_offset);
	bw_write_uint(&encoder->writer, encoder->copy_size);
	bw_write_bin(&encoder->writer,
		     encoder->new_bytes + encoder->insert_start,
		     insert_end - encoder->insert_start);
	encoder->op_count++;
	encoder->copy_size = 0;
}
