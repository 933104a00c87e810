#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/clock.h"
#include "bwbase/random.h"
#include "bwsteer/blocks.h"

#define REFERENCE_MAX 256
#define FULL_COUNT 3300000

/* Reference model: a list of prefixes that is searched linearly. */
struct reference {
	uint32_t prefix[REFERENCE_MAX];
	uint32_t bits[REFERENCE_MAX];
	uint16_t group[REFERENCE_MAX];
	uint32_t count;
};

static uint64_t seed_count_(void)
{
	const char *text = getenv("BW_SEEDS");

	return text ? strtoull(text, NULL, 10) : 200;
}

static uint32_t prefix_mask_(uint32_t bits)
{
	return UINT32_MAX << (32 - bits);
}

static uint32_t reference_index_(const struct reference *reference,
				 uint32_t prefix, uint32_t bits)
{
	uint32_t i;

	for (i = 0; i < reference->count; i++) {
		if (reference->prefix[i] == prefix &&
		    reference->bits[i] == bits)
			break;
	}
	return i;
}

static uint16_t reference_find_(const struct reference *reference,
				uint32_t address)
{
	uint16_t group = BW_BLOCKS_NONE;
	uint32_t bits = 0, i;

	for (i = 0; i < reference->count; i++) {
		if (reference->bits[i] > bits &&
		    (address & prefix_mask_(reference->bits[i])) ==
			    reference->prefix[i]) {
			group = reference->group[i];
			bits = reference->bits[i];
		}
	}
	return group;
}

/* Returns one of few addresses, so that prefixes overlap often. */
static uint32_t random_address_(struct bw_random *random)
{
	uint32_t high = (uint32_t)bw_random_below(random, 3);
	uint32_t low = (uint32_t)bw_random_next(random);

	return 0x0a000000 | high << 16 | (low & 0xff070f);
}

static void apply_random_change_(struct bw_blocks *blocks,
				 struct reference *reference,
				 struct bw_random *random)
{
	uint32_t bits = 8 + (uint32_t)bw_random_below(random, 25);
	uint32_t prefix, i;
	uint16_t group = (uint16_t)bw_random_below(random, 9);

	bits = bw_random_below(random, 2) ? bits : 24;
	prefix = random_address_(random) & prefix_mask_(bits);
	i = reference_index_(reference, prefix, bits);
	if (bw_random_below(random, 3) == 0) {
		assert_int_equal(bw_blocks_remove(blocks, prefix, bits),
				 i < reference->count ? BW_OK : BW_ENOTFOUND);
		if (i == reference->count)
			return;
		reference->count--;
		reference->prefix[i] = reference->prefix[reference->count];
		reference->bits[i] = reference->bits[reference->count];
		reference->group[i] = reference->group[reference->count];
		return;
	}
	if (i == REFERENCE_MAX)
		return;
	assert_int_equal(bw_blocks_insert(blocks, prefix, bits, group), BW_OK);
	reference->prefix[i] = prefix;
	reference->bits[i] = bits;
	reference->group[i] = group;
	reference->count += i == reference->count;
}

/* Guards against a look-up or removal that picks a prefix that is not the
 * longest, compared with a linear scan. */
static void test_matches_linear_scan(void **state)
{
	uint64_t seed, seeds = seed_count_();
	uint32_t step, i;

	(void)state;
	for (seed = 1; seed <= seeds; seed++) {
		struct bw_blocks blocks;
		struct reference reference = { .count = 0 };
		struct bw_random random;

		bw_random_init(&random, seed);
		assert_int_equal(bw_blocks_init(&blocks), BW_OK);
		for (step = 0; step < 300; step++) {
			apply_random_change_(&blocks, &reference, &random);
			assert_int_equal(blocks.count, reference.count);
			for (i = 0; i < 4; i++) {
				uint32_t address = random_address_(&random);

				assert_int_equal(
					bw_blocks_find(&blocks, address),
					reference_find_(&reference, address));
			}
		}
		bw_blocks_finish(&blocks);
	}
}

/* Guards against accepting prefixes with host bits set, or an invalid length or
 * group. */
static void test_rejects_malformed_prefixes(void **state)
{
	struct bw_blocks blocks;

	(void)state;
	assert_int_equal(bw_blocks_init(&blocks), BW_OK);
	assert_int_equal(bw_blocks_insert(&blocks, 0, 7, 1), BW_EINVAL);
	assert_int_equal(bw_blocks_insert(&blocks, 0, 33, 1), BW_EINVAL);
	assert_int_equal(bw_blocks_insert(&blocks, 1, 24, 1), BW_EINVAL);
	assert_int_equal(bw_blocks_insert(&blocks, 0, 24, 0x8000), BW_EINVAL);
	assert_int_equal(bw_blocks_remove(&blocks, 0, 24), BW_ENOTFOUND);
	bw_blocks_finish(&blocks);
}

/* Guards against a full table of more than 14 MB (10^6 bytes): 3.3 million
 * blocks, 19 of 20 of them /24, as clustered as announced addresses are. */
static void test_full_table_size(void **state)
{
	struct bw_blocks blocks;
	struct bw_random random;
	uint32_t prefix = 0x01000000, bits, i, sum = 0;
	uint64_t start_us, insert_us;

	(void)state;
	bw_random_init(&random, 1);
	assert_int_equal(bw_blocks_init(&blocks), BW_OK);
	start_us = bw_clock_us();
	while (blocks.count < FULL_COUNT) {
		bits = 24;
		if (bw_random_below(&random, 20) == 0)
			bits = 20 + (uint32_t)bw_random_below(&random, 9);
		assert_int_equal(bw_blocks_insert(&blocks,
						  prefix & prefix_mask_(bits),
						  bits, prefix % 171),
				 BW_OK);
		prefix += 0x100 * (1 + (uint32_t)bw_random_below(&random, 7));
	}
	insert_us = bw_clock_us() - start_us;
	start_us = bw_clock_us();
	for (i = 0; i < 1000000; i++)
		sum += bw_blocks_find(&blocks,
				      (uint32_t)bw_random_next(&random));
	print_message("blocks %u, bytes %zu, bytes a block %.2f, insert us "
		      "%.2f, 1M look-ups us %u (checksum %u)\n",
		      blocks.count, blocks.size_bytes,
		      (double)blocks.size_bytes / blocks.count,
		      (double)insert_us / blocks.count,
		      (uint32_t)(bw_clock_us() - start_us), sum);
	assert_true(blocks.size_bytes + 16 * BW_BLOCKS_BUCKETS < 14000000);
	bw_blocks_finish(&blocks);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_matches_linear_scan),
		cmocka_unit_test(test_rejects_malformed_prefixes),
		cmocka_unit_test(test_full_table_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
