#include "private/ring.h"

#include <stdlib.h>
#include <string.h>

static size_t min_(size_t a, size_t b);

enum bw_status bw_ring_init(struct bw_ring *ring, size_t capacity_bytes)
{
	memset(ring, 0, sizeof(*ring));
	ring->data = malloc(capacity_bytes);
	if (!ring->data)
		return BW_ENOMEM;
	ring->capacity_bytes = capacity_bytes;
	return BW_OK;
}

void bw_ring_finish(struct bw_ring *ring)
{
	free(ring->data);
	memset(ring, 0, sizeof(*ring));
}

size_t bw_ring_write(struct bw_ring *ring, const void *data, size_t size_bytes)
{
	size_t count =
		min_(size_bytes, ring->capacity_bytes - ring->size_bytes);
	size_t write_index;
	size_t bytes_before_wrap;

	if (!count)
		return 0;
	write_index =
		(ring->read_index + ring->size_bytes) % ring->capacity_bytes;
	bytes_before_wrap = min_(count, ring->capacity_bytes - write_index);
	memcpy(ring->data + write_index, data, bytes_before_wrap);
	memcpy(ring->data, (const uint8_t *)data + bytes_before_wrap,
	       count - bytes_before_wrap);
	ring->size_bytes += count;
	return count;
}

size_t bw_ring_read(struct bw_ring *ring, void *data, size_t size_bytes)
{
	size_t count = min_(size_bytes, ring->size_bytes);
	size_t bytes_before_wrap;

	if (!count)
		return 0;
	bytes_before_wrap =
		min_(count, ring->capacity_bytes - ring->read_index);
	memcpy(data, ring->data + ring->read_index, bytes_before_wrap);
	memcpy((uint8_t *)data + bytes_before_wrap, ring->data,
	       count - bytes_before_wrap);
	ring->read_index = (ring->read_index + count) % ring->capacity_bytes;
	ring->size_bytes -= count;
	return count;
}

static size_t min_(size_t a, size_t b)
{
	return a < b ? a : b;
}
