/**
 * @file
 * Growable byte buffer.
 */
#ifndef BWBASE_BUFFER_H
#define BWBASE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"

/** Growable byte array. A zero-initialised buffer is valid and empty. */
struct bw_buffer {
	uint8_t *data; /**< NULL while capacity_bytes is 0 */
	size_t size_bytes; /**< bytes in use */
	size_t capacity_bytes; /**< bytes allocated */
	bool incomplete; /**< something was not appended for lack of memory
			      since the buffer was initialised or cleared */
};

/** Initialises an empty buffer. */
void bw_buffer_init(struct bw_buffer *buffer);

/** Frees the memory of the buffer and leaves it empty. */
void bw_buffer_finish(struct bw_buffer *buffer);

/** Empties the buffer and keeps its memory. */
void bw_buffer_clear(struct bw_buffer *buffer);

/**
 * Allocates exactly capacity_bytes, unless the buffer already has them.
 * Appending up to this size does not allocate again.
 * @return BW_OK, or BW_ENOMEM with the buffer unchanged
 */
enum bw_status bw_buffer_reserve(struct bw_buffer *buffer,
				 size_t capacity_bytes);

/**
 * Appends bytes.
 * @return BW_OK, or BW_ENOMEM with the content unchanged, and incomplete
 */
enum bw_status bw_buffer_append(struct bw_buffer *buffer, const void *data,
				size_t size_bytes);

/**
 * Appends the content of another buffer. If that is incomplete, so is this one.
 * @return BW_OK, or BW_ENOMEM if the buffer is incomplete now
 */
enum bw_status bw_buffer_append_buffer(struct bw_buffer *buffer,
				       const struct bw_buffer *other);

/**
 * Appends formatted text without the terminating NUL.
 * @return BW_OK, or BW_ENOMEM with the content unchanged, and incomplete
 */
enum bw_status bw_buffer_printf(struct bw_buffer *buffer, const char *format,
				...) __attribute__((format(printf, 2, 3)));

/** Removes the first size_bytes bytes, at most the size of the buffer. */
void bw_buffer_consume(struct bw_buffer *buffer, size_t size_bytes);

#endif
