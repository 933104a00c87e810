#include "bwbase/buffer.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY_BYTES 64

static enum bw_status reserve_(struct bw_buffer *buffer, size_t extra_bytes);

void bw_buffer_init(struct bw_buffer *buffer)
{
	memset(buffer, 0, sizeof(*buffer));
}

void bw_buffer_finish(struct bw_buffer *buffer)
{
	free(buffer->data);
	memset(buffer, 0, sizeof(*buffer));
}

void bw_buffer_clear(struct bw_buffer *buffer)
{
	buffer->size_bytes = 0;
	buffer->incomplete = false;
}

enum bw_status bw_buffer_reserve(struct bw_buffer *buffer,
				 size_t capacity_bytes)
{
	uint8_t *data;

	if (capacity_bytes <= buffer->capacity_bytes)
		return BW_OK;
	data = realloc(buffer->data, capacity_bytes);
	if (!data)
		return BW_ENOMEM;
	buffer->data = data;
	buffer->capacity_bytes = capacity_bytes;
	return BW_OK;
}

enum bw_status bw_buffer_append(struct bw_buffer *buffer, const void *data,
				size_t size_bytes)
{
	enum bw_status status;

	if (!size_bytes)
		return BW_OK;
	status = reserve_(buffer, size_bytes);
	if (status != BW_OK) {
		buffer->incomplete = true;
		return status;
	}
	memcpy(buffer->data + buffer->size_bytes, data, size_bytes);
	buffer->size_bytes += size_bytes;
	return BW_OK;
}

enum bw_status bw_buffer_append_buffer(struct bw_buffer *buffer,
				       const struct bw_buffer *other)
{
	if (other->incomplete)
		buffer->incomplete = true;
	bw_buffer_append(buffer, other->data, other->size_bytes);
	return buffer->incomplete ? BW_ENOMEM : BW_OK;
}

enum bw_status bw_buffer_printf(struct bw_buffer *buffer, const char *format,
				...)
{
	va_list args;
	int length;
	enum bw_status status;

	va_start(args, format);
	length = vsnprintf(NULL, 0, format, args);
	va_end(args);
	assert(length >= 0);
	status = reserve_(buffer, (size_t)length + 1);
	if (status != BW_OK) {
		buffer->incomplete = true;
		return status;
	}
	va_start(args, format);
	vsnprintf((char *)buffer->data + buffer->size_bytes, (size_t)length + 1,
		  format, args);
	va_end(args);
	buffer->size_bytes += (size_t)length;
	return BW_OK;
}

void bw_buffer_consume(struct bw_buffer *buffer, size_t size_bytes)
{
	assert(size_bytes <= buffer->size_bytes);
	if (!size_bytes)
		return;
	memmove(buffer->data, buffer->data + size_bytes,
		buffer->size_bytes - size_bytes);
	buffer->size_bytes -= size_bytes;
}

static enum bw_status reserve_(struct bw_buffer *buffer, size_t extra_bytes)
{
	size_t needed = buffer->size_bytes + extra_bytes;
	size_t capacity = buffer->capacity_bytes;

	if (needed < extra_bytes)
		return BW_ENOMEM;
	if (needed <= capacity)
		return BW_OK;
	if (capacity < MIN_CAPACITY_BYTES)
		capacity = MIN_CAPACITY_BYTES;
	while (capacity < needed)
		capacity += capacity / 2;
	return bw_buffer_reserve(buffer, capacity);
}
