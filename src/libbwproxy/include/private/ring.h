/**
 * @file
 * Fixed-size ring of bytes.
 */
#ifndef PRIVATE_RING_H
#define PRIVATE_RING_H

#include <stddef.h>
#include <stdint.h>

#include "bwbase/status.h"

/** A ring; all zero is a valid ring of capacity 0. */
struct bw_ring {
	uint8_t *data;
	size_t capacity_bytes;
	size_t at; /**< index of the first byte */
	size_t size_bytes; /**< bytes held */
};

/** Allocates a ring. @return BW_OK or BW_ENOMEM */
enum bw_status bw_ring_init(struct bw_ring *ring, size_t capacity_bytes);

/** Frees the memory. */
void bw_ring_finish(struct bw_ring *ring);

/** Copies in as many bytes as fit. @return bytes taken */
size_t bw_ring_write(struct bw_ring *ring, const void *data, size_t size_bytes);

/** Moves up to size_bytes bytes out. @return bytes moved */
size_t bw_ring_read(struct bw_ring *ring, void *data, size_t size_bytes);

#endif
