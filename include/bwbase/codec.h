/**
 * @file
 * Encoding and bounded decoding of msgpack messages.
 */
#ifndef BWBASE_CODEC_H
#define BWBASE_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "bwbase/buffer.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Maximum nesting depth of arrays that a reader accepts. */
#define BW_CODEC_DEPTH_MAX 8

/** Appends msgpack values to a buffer; appends nothing after a failure. */
struct bw_writer {
	struct bw_buffer *out;
	msgpack_packer packer;
	enum bw_status status; /**< BW_OK or BW_ENOMEM */
};

/** Initialises a writer that appends to out. */
void bw_writer_init(struct bw_writer *writer, struct bw_buffer *out);

/** Writes an array header; exactly count values must follow. */
void bw_write_array(struct bw_writer *writer, uint32_t count);
void bw_write_uint(struct bw_writer *writer, uint64_t value); /**< unsigned */
void bw_write_int(struct bw_writer *writer, int64_t value); /**< signed */
void bw_write_double(struct bw_writer *writer, double value); /**< double */
void bw_write_bool(struct bw_writer *writer, bool value); /**< boolean */
void bw_write_str(struct bw_writer *writer, const char *text); /**< text */
/** Writes a byte string. */
void bw_write_bin(struct bw_writer *writer, const void *data,
		  size_t size_bytes);

/**
 * Reads msgpack values in order. After the first failure every further read
 * fails and returns a zero value, so that a decoder needs one check, at its
 * end. Returned pointers refer to the input, which must outlive their use.
 */
struct bw_reader {
	msgpack_unpacked unpacked;
	struct {
		const msgpack_object *items;
		uint32_t count;
		uint32_t next;
	} level[BW_CODEC_DEPTH_MAX + 1];
	uint32_t depth;
	bool failed;
};

/**
 * Parses data, which must be exactly one value. Counts are checked against the
 * input size before memory is allocated.
 * @return BW_OK or BW_EINVAL; bw_reader_finish is needed in both cases
 */
enum bw_status bw_reader_init(struct bw_reader *reader, const void *data,
			      size_t size_bytes);

/** Frees the reader. */
void bw_reader_finish(struct bw_reader *reader);

/** Returns BW_OK if all reads so far succeeded, else BW_EINVAL. */
enum bw_status bw_reader_status(const struct bw_reader *reader);

/** Enters the next array and returns its count (0 on failure). */
uint32_t bw_read_array(struct bw_reader *reader);

/** Ends the innermost array; values not read are skipped. */
void bw_read_end(struct bw_reader *reader);

uint64_t bw_read_uint(struct bw_reader *reader); /**< 0 on failure */
int64_t bw_read_int(struct bw_reader *reader); /**< 0 on failure */
double bw_read_double(struct bw_reader *reader); /**< 0 on failure */
bool bw_read_bool(struct bw_reader *reader); /**< false on failure */

/**
 * Copies text into an array, which becomes the empty string on failure. Text
 * that contains a NUL byte is rejected.
 * @param text_bytes size of the array; the text must be shorter
 */
void bw_read_text(struct bw_reader *reader, char *text, size_t text_bytes);

/** Copies text of at most BW_NAME_MAX - 1 bytes into name. */
void bw_read_name(struct bw_reader *reader, char name[BW_NAME_MAX]);

/**
 * Reads a text or a byte string.
 * @param size_bytes receives the size
 * @return pointer into the input, or NULL on failure
 */
const uint8_t *bw_read_bin(struct bw_reader *reader, size_t *size_bytes);

/** Returns whether the innermost array has unread values. */
bool bw_read_more(const struct bw_reader *reader);

#endif
