#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/blocks.h"

#define SEEDS 200
#define REVISIONS 10
#define BLOCKS_MAX 300
#define REGIONS 3

/* Fills a sheet with distinct /20 blocks, in random order. */
static void make_blocks_(struct bw_random *random, struct bw_sheet *sheet)
{
	bool used[1024] = { false };
	uint32_t attempts = (uint32_t)bw_random_below(random, BLOCKS_MAX);
	uint32_t i;

	sheet->client_blocks_count = 0;
	for (i = 0; i < attempts; i++) {
		uint32_t number = (uint32_t)bw_random_below(random, 1024);
		struct bw_sheet_block *block;

		if (used[number])
			continue;
		used[number] = true;
		block = &sheet->client_blocks[sheet->client_blocks_count++];
		block->prefix = (10u << 24) | (number << 12);
		block->prefix_bits = 20;
		block->region_index =
			(uint32_t)bw_random_below(random, REGIONS);
	}
}

static void check_equal_(const struct bw_blocks *updated,
			 const struct bw_sheet *sheet)
{
	struct bw_blocks built;
	uint32_t changed;
	uint32_t i;

	assert_int_equal(bw_blocks_init(&built), BW_OK);
	assert_int_equal(bw_blocks_apply(&built, NULL, sheet, &changed), BW_OK);
	assert_int_equal(changed, sheet->client_blocks_count);
	assert_int_equal(updated->count, built.count);
	for (i = 0; i < 1024; i++) {
		uint32_t address = (10u << 24) | (i << 12) | 5;

		assert_int_equal(bw_blocks_find(updated, address),
				 bw_blocks_find(&built, address));
	}
	bw_blocks_finish(&built);
}

/* Guards against an update that leaves old blocks or old groups behind. */
static void test_update_equals_rebuild(void **state)
{
	struct bw_sheet_block storage[2][BLOCKS_MAX];
	struct bw_sheet sheets[2];
	struct bw_blocks blocks;
	struct bw_random random;
	uint32_t changed;
	uint64_t seed;
	int revision;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(sheets, 0, sizeof(sheets));
		sheets[0].client_blocks = storage[0];
		sheets[1].client_blocks = storage[1];
		bw_random_init(&random, seed);
		assert_int_equal(bw_blocks_init(&blocks), BW_OK);
		make_blocks_(&random, &sheets[0]);
		assert_int_equal(bw_blocks_apply(&blocks, NULL, &sheets[0],
						 &changed),
				 BW_OK);
		for (revision = 1; revision < REVISIONS; revision++) {
			struct bw_sheet *from = &sheets[(revision - 1) % 2];
			struct bw_sheet *to = &sheets[revision % 2];

			make_blocks_(&random, to);
			assert_int_equal(bw_blocks_apply(&blocks, from, to,
							 &changed),
					 BW_OK);
			check_equal_(&blocks, to);
		}
		bw_blocks_finish(&blocks);
	}
}

/* Guards against a small update whose cost grows with the table. */
static void test_unchanged_blocks_are_left_alone(void **state)
{
	struct bw_sheet_block storage[2][BLOCKS_MAX];
	struct bw_sheet from = { .client_blocks = storage[0] };
	struct bw_sheet to = { .client_blocks = storage[1] };
	struct bw_blocks blocks;
	struct bw_random random;
	uint32_t changed;

	(void)state;
	bw_random_init(&random, 7);
	do {
		make_blocks_(&random, &from);
	} while (from.client_blocks_count < 10);
	memcpy(storage[1], storage[0], sizeof(storage[0]));
	to.client_blocks_count = from.client_blocks_count;
	to.client_blocks[3].region_index =
		(to.client_blocks[3].region_index + 1) % REGIONS;
	assert_int_equal(bw_blocks_init(&blocks), BW_OK);
	assert_int_equal(bw_blocks_apply(&blocks, NULL, &from, &changed),
			 BW_OK);
	assert_int_equal(bw_blocks_apply(&blocks, &from, &to, &changed), BW_OK);
	assert_int_equal(changed, 1);
	bw_blocks_finish(&blocks);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_update_equals_rebuild),
		cmocka_unit_test(test_unchanged_blocks_are_left_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
