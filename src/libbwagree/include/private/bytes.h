/**
 * @file
 * Encoding of little-endian integers in files.
 */
#ifndef PRIVATE_BYTES_H
#define PRIVATE_BYTES_H

#include <endian.h>
#include <stdint.h>
#include <string.h>

static inline void bytes_put32(uint8_t *out, uint32_t value)
{
	value = htole32(value);
	memcpy(out, &value, sizeof(value));
}

static inline void bytes_put64(uint8_t *out, uint64_t value)
{
	value = htole64(value);
	memcpy(out, &value, sizeof(value));
}

static inline uint32_t bytes_get32(const uint8_t *data)
{
	uint32_t value;

	memcpy(&value, data, sizeof(value));
	return le32toh(value);
}

static inline uint64_t bytes_get64(const uint8_t *data)
{
	uint64_t value;

	memcpy(&value, data, sizeof(value));
	return le64toh(value);
}

#endif
