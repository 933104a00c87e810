#include "bwsteer/blocks.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define SHORT_BITS_MIN 8
#define BUCKET_BITS 16
#define DENSE_BITS 24
#define DENSE_WORDS 4

/*
 * Groups are stored as group + 1 in the tables by index, so that 0 means that
 * there is no prefix.
 */
#define ABSENT 0

/*
 * Prefixes of /16 to /32 within one bucket. Most client blocks are /24, so
 * that these have a bitmap and an array of groups (2 bytes a block). All other
 * lengths are odd entries of 4 bytes: 17 bits of length and suffix, 15 bits
 * of group, in ascending order.
 */
struct bw_blocks_bucket {
	uint64_t dense[DENSE_WORDS]; /* which /24 prefixes are present */
	uint32_t lengths; /* bit n: some odd entry is a /(16 + n) */
	uint16_t dense_count;
	uint16_t padding;
	uint32_t odd_count;
	uint32_t odd[]; /* odd_count entries, then dense_count groups */
};

/** Content of a bucket that an update is about to write. */
struct edit {
	const struct bw_blocks_bucket *from;
	struct bw_blocks_bucket *to;
};

static const struct bw_blocks_bucket empty_bucket_;

static bool is_valid_(uint32_t prefix, uint32_t prefix_bits);
static size_t bucket_bytes_(uint32_t odd_count, uint32_t dense_count);
static uint16_t *groups_(struct bw_blocks_bucket *bucket);
static const uint16_t *groups_const_(const struct bw_blocks_bucket *bucket);
static uint32_t dense_rank_(const struct bw_blocks_bucket *bucket,
			    uint32_t index);
static bool dense_has_(const struct bw_blocks_bucket *bucket, uint32_t index);
static uint32_t odd_key_(uint32_t prefix, uint32_t prefix_bits);
static uint32_t odd_position_(const struct bw_blocks_bucket *bucket,
			      uint32_t key);
static enum bw_status edit_begin_(struct bw_blocks *blocks, uint32_t bucket,
				  int odd_change, int dense_change,
				  struct edit *edit);
static void edit_end_(struct bw_blocks *blocks, uint32_t bucket,
		      struct edit *edit);
static void edit_dense_(struct edit *edit, uint32_t index, int change,
			uint16_t group);
static void edit_odd_(struct edit *edit, uint32_t position, int change,
		      uint32_t entry);
static void set_lengths_(struct bw_blocks_bucket *bucket);
static void set_short_(struct bw_blocks *blocks, uint32_t prefix,
		       uint32_t prefix_bits, uint16_t stored);
static uint16_t longest_short_(const struct bw_blocks *blocks, uint32_t bucket);
static uint16_t find_odd_(const struct bw_blocks_bucket *bucket,
			  uint32_t address, uint32_t lengths);

enum bw_status bw_blocks_init(struct bw_blocks *blocks)
{
	memset(blocks, 0, sizeof(*blocks));
	blocks->buckets =
		calloc(BW_BLOCKS_BUCKETS, sizeof(struct bw_blocks_bucket *));
	blocks->short_groups = calloc(BW_BLOCKS_BUCKETS, sizeof(uint16_t));
	blocks->default_groups = calloc(BW_BLOCKS_BUCKETS, sizeof(uint16_t));
	if (!blocks->buckets || !blocks->short_groups ||
	    !blocks->default_groups) {
		bw_blocks_finish(blocks);
		return BW_ENOMEM;
	}
	blocks->size_bytes =
		BW_BLOCKS_BUCKETS *
		(sizeof(struct bw_blocks_bucket *) + 2 * sizeof(uint16_t));
	return BW_OK;
}

void bw_blocks_finish(struct bw_blocks *blocks)
{
	uint32_t i;

	for (i = 0; blocks->buckets && i < BW_BLOCKS_BUCKETS; i++)
		free(blocks->buckets[i]);
	free(blocks->buckets);
	free(blocks->short_groups);
	free(blocks->default_groups);
	memset(blocks, 0, sizeof(*blocks));
}

enum bw_status bw_blocks_insert(struct bw_blocks *blocks, uint32_t prefix,
				uint32_t prefix_bits, uint16_t group)
{
	uint32_t bucket = prefix >> BUCKET_BITS;
	const struct bw_blocks_bucket *old;
	struct edit edit;
	uint32_t index = (prefix >> 8) & 0xff;
	uint32_t key, position;
	bool present;

	if (!is_valid_(prefix, prefix_bits) || group > BW_BLOCKS_GROUP_MAX)
		return BW_EINVAL;
	if (prefix_bits < BUCKET_BITS) {
		set_short_(blocks, prefix, prefix_bits, group + 1);
		return BW_OK;
	}
	old = blocks->buckets[bucket] ? blocks->buckets[bucket]
				      : &empty_bucket_;
	if (prefix_bits == DENSE_BITS) {
		present = dense_has_(old, index);
		if (edit_begin_(blocks, bucket, 0, present ? 0 : 1, &edit) !=
		    BW_OK)
			return BW_ENOMEM;
		edit_dense_(&edit, index, present ? 0 : 1, group);
	} else {
		key = odd_key_(prefix, prefix_bits);
		position = odd_position_(old, key);
		present = position < old->odd_count &&
			  old->odd[position] >> 15 == key;
		if (edit_begin_(blocks, bucket, present ? 0 : 1, 0, &edit) !=
		    BW_OK)
			return BW_ENOMEM;
		edit_odd_(&edit, position, present ? 0 : 1, key << 15 | group);
	}
	blocks->count += present ? 0 : 1;
	edit_end_(blocks, bucket, &edit);
	return BW_OK;
}

enum bw_status bw_blocks_remove(struct bw_blocks *blocks, uint32_t prefix,
				uint32_t prefix_bits)
{
	uint32_t bucket = prefix >> BUCKET_BITS;
	const struct bw_blocks_bucket *old;
	struct edit edit;
	uint32_t index = (prefix >> 8) & 0xff;
	uint32_t key, position;

	if (!is_valid_(prefix, prefix_bits))
		return BW_EINVAL;
	if (prefix_bits < BUCKET_BITS) {
		if (blocks->short_groups[1U << prefix_bits |
					 prefix >> (32 - prefix_bits)] ==
		    ABSENT)
			return BW_ENOTFOUND;
		set_short_(blocks, prefix, prefix_bits, ABSENT);
		return BW_OK;
	}
	old = blocks->buckets[bucket] ? blocks->buckets[bucket]
				      : &empty_bucket_;
	if (prefix_bits == DENSE_BITS) {
		if (!dense_has_(old, index))
			return BW_ENOTFOUND;
		if (edit_begin_(blocks, bucket, 0, -1, &edit) != BW_OK)
			return BW_ENOMEM;
		edit_dense_(&edit, index, -1, 0);
	} else {
		key = odd_key_(prefix, prefix_bits);
		position = odd_position_(old, key);
		if (position == old->odd_count ||
		    old->odd[position] >> 15 != key)
			return BW_ENOTFOUND;
		if (edit_begin_(blocks, bucket, -1, 0, &edit) != BW_OK)
			return BW_ENOMEM;
		edit_odd_(&edit, position, -1, 0);
	}
	blocks->count--;
	edit_end_(blocks, bucket, &edit);
	return BW_OK;
}

uint16_t bw_blocks_find(const struct bw_blocks *blocks, uint32_t address)
{
	const struct bw_blocks_bucket *bucket =
		blocks->buckets[address >> BUCKET_BITS];
	uint32_t index = (address >> 8) & 0xff;
	uint32_t long_mask = ~0U << (DENSE_BITS - BUCKET_BITS);
	uint16_t found;

	if (bucket) {
		found = find_odd_(bucket, address, bucket->lengths & long_mask);
		if (found != BW_BLOCKS_NONE)
			return found;
		if (dense_has_(bucket, index))
			return groups_const_(
				bucket)[dense_rank_(bucket, index)];
		found = find_odd_(bucket, address,
				  bucket->lengths & ~long_mask);
		if (found != BW_BLOCKS_NONE)
			return found;
	}
	/* ABSENT wraps to BW_BLOCKS_NONE. */
	return (uint16_t)(blocks->default_groups[address >> BUCKET_BITS] - 1);
}

static bool is_valid_(uint32_t prefix, uint32_t prefix_bits)
{
	if (prefix_bits < SHORT_BITS_MIN || prefix_bits > 32)
		return false;
	return prefix_bits == 32 || !(prefix & (UINT32_MAX >> prefix_bits));
}

static size_t bucket_bytes_(uint32_t odd_count, uint32_t dense_count)
{
	return sizeof(struct bw_blocks_bucket) + odd_count * sizeof(uint32_t) +
	       dense_count * sizeof(uint16_t);
}

static uint16_t *groups_(struct bw_blocks_bucket *bucket)
{
	return (uint16_t *)(bucket->odd + bucket->odd_count);
}

static const uint16_t *groups_const_(const struct bw_blocks_bucket *bucket)
{
	return (const uint16_t *)(bucket->odd + bucket->odd_count);
}

static bool dense_has_(const struct bw_blocks_bucket *bucket, uint32_t index)
{
	return bucket->dense[index >> 6] >> (index & 63) & 1;
}

static uint32_t dense_rank_(const struct bw_blocks_bucket *bucket,
			    uint32_t index)
{
	uint64_t below = (UINT64_C(1) << (index & 63)) - 1;
	uint32_t word = index >> 6;
	uint32_t rank =
		(uint32_t)__builtin_popcountll(bucket->dense[word] & below);
	uint32_t i;

	for (i = 0; i < word; i++)
		rank += (uint32_t)__builtin_popcountll(bucket->dense[i]);
	return rank;
}

/*
 * Numbers the prefixes of one bucket: a one bit for the length, then the
 * suffix bits. Keys of one length are contiguous and in address order.
 */
static uint32_t odd_key_(uint32_t prefix, uint32_t prefix_bits)
{
	uint32_t suffix = prefix & 0xffff;

	return 1U << (prefix_bits - BUCKET_BITS) | suffix >> (32 - prefix_bits);
}

static uint32_t odd_position_(const struct bw_blocks_bucket *bucket,
			      uint32_t key)
{
	uint32_t low = 0, high = bucket->odd_count, middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (bucket->odd[middle] >> 15 < key)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static enum bw_status edit_begin_(struct bw_blocks *blocks, uint32_t bucket,
				  int odd_change, int dense_change,
				  struct edit *edit)
{
	const struct bw_blocks_bucket *from = blocks->buckets[bucket];
	uint32_t odd_count, dense_count;

	if (!from)
		from = &empty_bucket_;
	odd_count = (uint32_t)((int)from->odd_count + odd_change);
	dense_count = (uint32_t)(from->dense_count + dense_change);
	edit->from = from;
	edit->to = malloc(bucket_bytes_(odd_count, dense_count));
	if (!edit->to)
		return BW_ENOMEM;
	*edit->to = *from;
	edit->to->odd_count = odd_count;
	edit->to->dense_count = (uint16_t)dense_count;
	memcpy(edit->to->odd, from->odd,
	       sizeof(uint32_t) * (odd_count < from->odd_count
					   ? odd_count
					   : from->odd_count));
	memcpy(groups_(edit->to), groups_const_(from),
	       sizeof(uint16_t) * (dense_count < from->dense_count
					   ? dense_count
					   : from->dense_count));
	return BW_OK;
}

static void edit_end_(struct bw_blocks *blocks, uint32_t bucket,
		      struct edit *edit)
{
	struct bw_blocks_bucket *old = blocks->buckets[bucket];

	if (old)
		blocks->size_bytes -=
			bucket_bytes_(old->odd_count, old->dense_count);
	free(old);
	if (!edit->to->odd_count && !edit->to->dense_count) {
		free(edit->to);
		edit->to = NULL;
	}
	blocks->buckets[bucket] = edit->to;
	if (edit->to)
		blocks->size_bytes += bucket_bytes_(edit->to->odd_count,
						    edit->to->dense_count);
}

static void edit_dense_(struct edit *edit, uint32_t index, int change,
			uint16_t group)
{
	const uint16_t *from = groups_const_(edit->from);
	uint16_t *to = groups_(edit->to);
	uint32_t rank = dense_rank_(edit->from, index);
	uint32_t skip = change < 0 ? 1 : 0;
	uint32_t tail = edit->from->dense_count - rank - skip;
	uint64_t bit = UINT64_C(1) << (index & 63);

	if (change < 0) {
		memcpy(to + rank, from + rank + 1, tail * sizeof(*to));
		edit->to->dense[index >> 6] &= ~bit;
		return;
	}
	if (change > 0)
		memcpy(to + rank + 1, from + rank, tail * sizeof(*to));
	to[rank] = group;
	edit->to->dense[index >> 6] |= bit;
}

static void edit_odd_(struct edit *edit, uint32_t position, int change,
		      uint32_t entry)
{
	const uint32_t *from = edit->from->odd;
	uint32_t *to = edit->to->odd;
	uint32_t skip = change < 0 ? 1 : 0;
	uint32_t tail = edit->from->odd_count - position - skip;

	if (change < 0) {
		memcpy(to + position, from + position + 1, tail * sizeof(*to));
	} else {
		if (change > 0)
			memcpy(to + position + 1, from + position,
			       tail * sizeof(*to));
		to[position] = entry;
	}
	set_lengths_(edit->to);
}

static void set_lengths_(struct bw_blocks_bucket *bucket)
{
	uint32_t i;

	bucket->lengths = 0;
	for (i = 0; i < bucket->odd_count; i++)
		bucket->lengths |=
			1U << (31 - __builtin_clz(bucket->odd[i] >> 15));
}

static void set_short_(struct bw_blocks *blocks, uint32_t prefix,
		       uint32_t prefix_bits, uint16_t stored)
{
	uint32_t first = prefix >> BUCKET_BITS;
	uint32_t count = 1U << (BUCKET_BITS - prefix_bits);
	uint16_t *slot = &blocks->short_groups[1U << prefix_bits |
					       prefix >> (32 - prefix_bits)];
	uint32_t i;

	if (*slot == ABSENT && stored != ABSENT)
		blocks->count++;
	if (*slot != ABSENT && stored == ABSENT)
		blocks->count--;
	*slot = stored;
	for (i = first; i < first + count; i++)
		blocks->default_groups[i] = longest_short_(blocks, i);
}

static uint16_t longest_short_(const struct bw_blocks *blocks, uint32_t bucket)
{
	uint32_t bits;
	uint16_t stored;

	for (bits = BUCKET_BITS - 1; bits >= SHORT_BITS_MIN; bits--) {
		stored = blocks->short_groups[1U << bits |
					      bucket >> (BUCKET_BITS - bits)];
		if (stored != ABSENT)
			return stored;
	}
	return ABSENT;
}

static uint16_t find_odd_(const struct bw_blocks_bucket *bucket,
			  uint32_t address, uint32_t lengths)
{
	uint32_t bits, key, position;

	while (lengths) {
		bits = 31 - (uint32_t)__builtin_clz(lengths);
		lengths &= ~(1U << bits);
		key = odd_key_(address, BUCKET_BITS + bits);
		position = odd_position_(bucket, key);
		if (position < bucket->odd_count &&
		    bucket->odd[position] >> 15 == key)
			return bucket->odd[position] & BW_BLOCKS_GROUP_MAX;
	}
	return BW_BLOCKS_NONE;
}
