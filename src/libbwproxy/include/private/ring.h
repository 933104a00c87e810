/**
 * @file
 * Fixed-size ring buffer of bytes.
 */
#ifndef PRIVATE_RING_H
#define PRIVATE_RING_H

#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"

/** A ring buffer; all zero is a valid ring buffer of capacity 0. */
struct bw_ring {
	uint8_t *data;
	size_t capacity_bytes;
	size_t read_index; /**< index of the oldest byte in data */
	size_t size_bytes; /**< bytes stored */
};

/** Allocates a ring buffer. @return BW_OK or BW_ENOMEM */
enum bw_status bw_ring_init(struct bw_ring *ring, size_t capacity_bytes);

/** Frees the memory. */
void bw_ring_finish(struct bw_ring *ring);

/** Appends as many bytes as fit. @return bytes appended */
size_t bw_ring_write(struct bw_ring *ring, const void *data, size_t size_bytes);

/** Removes up to size_bytes bytes into data. @return bytes removed */
size_t bw_ring_read(struct bw_ring *ring, void *data, size_t size_bytes);

#endif
