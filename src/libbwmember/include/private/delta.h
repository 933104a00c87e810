/**
 * @file
 * Delta encoding of a content: ranges copied from the old content and inserted
 * bytes.
 */
#ifndef PRIVATE_DELTA_H
#define PRIVATE_DELTA_H

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/**
 * Appends the delta from old to new: a flat msgpack array of triples
 * (offset of copied range in old, its length, bytes inserted after it).
 * @return BW_OK; BW_EFULL when it would exceed limit_bytes; BW_ENOMEM
 */
enum bw_status delta_encode(const uint8_t *old_bytes, uint32_t old_size,
			    const uint8_t *new_bytes, uint32_t new_size,
			    size_t limit_bytes, struct bw_buffer *out);

/**
 * Appends the content that results from a delta.
 * @return BW_OK; BW_EINVAL when the delta is malformed, refers to bytes
 *	outside old or does not produce exactly new_size bytes; BW_ENOMEM
 */
enum bw_status delta_apply(const uint8_t *old_bytes, uint32_t old_size,
			   const uint8_t *delta, size_t delta_bytes,
			   uint32_t new_size, struct bw_buffer *out);

#endif
