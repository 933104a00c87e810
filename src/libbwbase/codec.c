#include "bwbase/codec.h"

#include <assert.h>
#include <string.h>

/** Position of the header check that precedes the parsing of a message. */
struct scan {
	const uint8_t *data;
	size_t size_bytes;
	size_t offset;
};

static int write_bytes_(void *out, const char *data, size_t size_bytes);
static const msgpack_object *next_object_(struct bw_reader *reader);
static bool scan_value_(struct scan *scan, uint32_t depth);
static bool scan_size_(struct scan *scan, uint32_t width_bytes, uint64_t *size);
static bool scan_skip_(struct scan *scan, uint64_t size_bytes);
static bool scan_items_(struct scan *scan, uint64_t count, uint32_t depth);

void bw_writer_init(struct bw_writer *writer, struct bw_buffer *out)
{
	writer->out = out;
	writer->status = BW_OK;
	msgpack_packer_init(&writer->packer, writer, write_bytes_);
}

void bw_write_array(struct bw_writer *writer, uint32_t count)
{
	msgpack_pack_array(&writer->packer, count);
}

void bw_write_uint(struct bw_writer *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void bw_write_int(struct bw_writer *writer, int64_t value)
{
	msgpack_pack_int64(&writer->packer, value);
}

void bw_write_double(struct bw_writer *writer, double value)
{
	msgpack_pack_double(&writer->packer, value);
}

void bw_write_bool(struct bw_writer *writer, bool value)
{
	if (value)
		msgpack_pack_true(&writer->packer);
	else
		msgpack_pack_false(&writer->packer);
}

void bw_write_str(struct bw_writer *writer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(&writer->packer, length);
	msgpack_pack_str_body(&writer->packer, text, length);
}

void bw_write_bin(struct bw_writer *writer, const void *data, size_t size_bytes)
{
	msgpack_pack_bin(&writer->packer, size_bytes);
	if (size_bytes)
		msgpack_pack_bin_body(&writer->packer, data, size_bytes);
}

enum bw_status bw_reader_init(struct bw_reader *reader, const void *data,
			      size_t size_bytes)
{
	struct scan scan = { data, size_bytes, 0 };
	size_t offset = 0;

	memset(reader, 0, sizeof(*reader));
	msgpack_unpacked_init(&reader->unpacked);
	if (!scan_value_(&scan, 0) || scan.offset != size_bytes ||
	    msgpack_unpack_next(&reader->unpacked, data, size_bytes, &offset) !=
		    MSGPACK_UNPACK_SUCCESS) {
		reader->failed = true;
		return BW_EINVAL;
	}
	reader->level[0].items = &reader->unpacked.data;
	reader->level[0].count = 1;
	return BW_OK;
}

void bw_reader_finish(struct bw_reader *reader)
{
	msgpack_unpacked_destroy(&reader->unpacked);
}

enum bw_status bw_reader_status(const struct bw_reader *reader)
{
	return reader->failed ? BW_EINVAL : BW_OK;
}

uint32_t bw_read_array(struct bw_reader *reader)
{
	const msgpack_object *object = next_object_(reader);

	if (!object)
		return 0;
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    reader->depth == BW_CODEC_DEPTH_MAX) {
		reader->failed = true;
		return 0;
	}
	reader->depth++;
	reader->level[reader->depth].items = object->via.array.ptr;
	reader->level[reader->depth].count = object->via.array.size;
	reader->level[reader->depth].next = 0;
	return object->via.array.size;
}

void bw_read_end(struct bw_reader *reader)
{
	if (reader->failed)
		return;
	assert(reader->depth > 0);
	reader->depth--;
}

uint64_t bw_read_uint(struct bw_reader *reader)
{
	const msgpack_object *object = next_object_(reader);

	if (!object)
		return 0;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		reader->failed = true;
		return 0;
	}
	return object->via.u64;
}

int64_t bw_read_int(struct bw_reader *reader)
{
	const msgpack_object *object = next_object_(reader);

	if (!object)
		return 0;
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return object->via.i64;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX) {
		reader->failed = true;
		return 0;
	}
	return (int64_t)object->via.u64;
}

double bw_read_double(struct bw_reader *reader)
{
	const msgpack_object *object = next_object_(reader);

	if (!object)
		return 0;
	if (object->type != MSGPACK_OBJECT_FLOAT64) {
		reader->failed = true;
		return 0;
	}
	return object->via.f64;
}

bool bw_read_bool(struct bw_reader *reader)
{
	const msgpack_object *object = next_object_(reader);

	if (!object)
		return false;
	if (object->type != MSGPACK_OBJECT_BOOLEAN) {
		reader->failed = true;
		return false;
	}
	return object->via.boolean;
}

void bw_read_text(struct bw_reader *reader, char *text, size_t text_bytes)
{
	size_t size_bytes = 0;
	const uint8_t *data = bw_read_bin(reader, &size_bytes);

	memset(text, 0, text_bytes);
	if (!size_bytes)
		return;
	if (size_bytes >= text_bytes || memchr(data, 0, size_bytes)) {
		reader->failed = true;
		return;
	}
	memcpy(text, data, size_bytes);
}

void bw_read_name(struct bw_reader *reader, char name[BW_NAME_MAX])
{
	bw_read_text(reader, name, BW_NAME_MAX);
}

const uint8_t *bw_read_bin(struct bw_reader *reader, size_t *size_bytes)
{
	const msgpack_object *object = next_object_(reader);

	*size_bytes = 0;
	if (!object)
		return NULL;
	switch (object->type) {
	case MSGPACK_OBJECT_STR:
		*size_bytes = object->via.str.size;
		return (const uint8_t *)object->via.str.ptr;
	case MSGPACK_OBJECT_BIN:
		*size_bytes = object->via.bin.size;
		return (const uint8_t *)object->via.bin.ptr;
	default:
		reader->failed = true;
		return NULL;
	}
}

bool bw_read_more(const struct bw_reader *reader)
{
	return !reader->failed && reader->level[reader->depth].next <
					  reader->level[reader->depth].count;
}

static int write_bytes_(void *out, const char *data, size_t size_bytes)
{
	struct bw_writer *writer = out;

	if (writer->status == BW_OK)
		writer->status =
			bw_buffer_append(writer->out, data, size_bytes);
	return writer->status == BW_OK ? 0 : -1;
}

static const msgpack_object *next_object_(struct bw_reader *reader)
{
	if (!bw_read_more(reader)) {
		reader->failed = true;
		return NULL;
	}
	return &reader->level[reader->depth]
			.items[reader->level[reader->depth].next++];
}

/*
 * Checks the headers of one value. msgpack allocates an array by the count in
 * its header, so a count larger than the input must be rejected before
 * parsing. Maps, extensions and 32-bit floats are not used and are rejected.
 */
static bool scan_value_(struct scan *scan, uint32_t depth)
{
	uint8_t tag;
	uint64_t size = 0;

	if (scan->offset >= scan->size_bytes || depth > BW_CODEC_DEPTH_MAX)
		return false;
	tag = scan->data[scan->offset++];
	if (tag <= 0x7f || tag >= 0xe0) /* fixint */
		return true;
	if (tag >= 0xa0 && tag <= 0xbf) /* fixstr */
		return scan_skip_(scan, tag & 0x1f);
	if (tag >= 0x90 && tag <= 0x9f) /* fixarray */
		return scan_items_(scan, tag & 0x0f, depth);
	switch (tag) {
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xc4: /* bin 8 */
	case 0xd9: /* str 8 */
		return scan_size_(scan, 1, &size) && scan_skip_(scan, size);
	case 0xc5: /* bin 16 */
	case 0xda: /* str 16 */
		return scan_size_(scan, 2, &size) && scan_skip_(scan, size);
	case 0xc6: /* bin 32 */
	case 0xdb: /* str 32 */
		return scan_size_(scan, 4, &size) && scan_skip_(scan, size);
	case 0xcc: /* uint 8 */
	case 0xd0: /* int 8 */
		return scan_skip_(scan, 1);
	case 0xcd: /* uint 16 */
	case 0xd1: /* int 16 */
		return scan_skip_(scan, 2);
	case 0xce: /* uint 32 */
	case 0xd2: /* int 32 */
		return scan_skip_(scan, 4);
	case 0xcb: /* float 64 */
	case 0xcf: /* uint 64 */
	case 0xd3: /* int 64 */
		return scan_skip_(scan, 8);
	case 0xdc: /* array 16 */
		return scan_size_(scan, 2, &size) &&
		       scan_items_(scan, size, depth);
	case 0xdd: /* array 32 */
		return scan_size_(scan, 4, &size) &&
		       scan_items_(scan, size, depth);
	default:
		return false;
	}
}

static bool scan_size_(struct scan *scan, uint32_t width_bytes, uint64_t *size)
{
	uint32_t i;

	if (scan->size_bytes - scan->offset < width_bytes)
		return false;
	*size = 0;
	for (i = 0; i < width_bytes; i++)
		*size = (*size << 8) | scan->data[scan->offset++];
	return true;
}

static bool scan_skip_(struct scan *scan, uint64_t size_bytes)
{
	if (scan->size_bytes - scan->offset < size_bytes)
		return false;
	scan->offset += size_bytes;
	return true;
}

static bool scan_items_(struct scan *scan, uint64_t count, uint32_t depth)
{
	uint64_t i;

	/* Every value takes at least one byte. */
	if (scan->size_bytes - scan->offset < count)
		return false;
	for (i = 0; i < count; i++) {
		if (!scan_value_(scan, depth + 1))
			return false;
	}
	return true;
}
