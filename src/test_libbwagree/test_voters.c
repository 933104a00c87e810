/*
 * Choice of the voters of a control group. Guards against a group that loses
 * its majority with one region, with one failure domain or with two hosts, that
 * keeps a lost voter, or that goes on changing its voters.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwagree/voters.h"
#include "bwbase/random.h"

#define HOSTS_MAX 54
#define CHANGES_MAX 64
#define TARGET 9

/** Hosts evenly in three regions with three failure domains each. */
struct group {
	struct bw_voter hosts[HOSTS_MAX];
	uint32_t count;
};

static void fill_(struct group *group, uint32_t count)
{
	uint32_t i;

	memset(group, 0, sizeof(*group));
	group->count = count;
	for (i = 0; i < count; i++) {
		struct bw_voter *host = &group->hosts[i];

		snprintf(host->host, sizeof(host->host), "h%02u", i);
		snprintf(host->domain, sizeof(host->domain), "d%u", i % 9);
		snprintf(host->region, sizeof(host->region), "r%u", i % 3);
		host->live = true;
	}
	/* Three seeds begin the group; the first of them leads. */
	for (i = 0; i < 3; i++)
		group->hosts[i].votes = true;
	group->hosts[0].leader = true;
}

static uint32_t count_(const struct group *group, bool live_only)
{
	uint32_t votes = 0;
	uint32_t i;

	for (i = 0; i < group->count; i++)
		votes += group->hosts[i].votes &&
			 (group->hosts[i].live || !live_only);
	return votes;
}

/* Applies changes until there are none. @return their number */
static uint32_t settle_(struct group *group)
{
	uint32_t changes;

	for (changes = 0; changes < CHANGES_MAX; changes++) {
		uint32_t live = count_(group, true);
		struct bw_voter_change change =
			bw_voters_next(group->hosts, group->count, TARGET);

		if (change.step == BW_VOTER_KEEP)
			return changes;
		group->hosts[change.index].votes = change.step ==
						   BW_VOTER_PROMOTE;
		/* A change never takes the last voters needed. */
		if (count_(group, true) < live)
			assert_true(count_(group, true) >= TARGET);
		assert_true(count_(group, false) <= TARGET + 1);
	}
	fail_msg("the voters change without end");
	return changes;
}

static void lose_(struct group *group, const char *region, const char *domain)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if ((region && !strcmp(group->hosts[i].region, region)) ||
		    (domain && !strcmp(group->hosts[i].domain, domain)))
			group->hosts[i].live = false;
	}
}

/* The leader may be lost; then another voter leads. */
static void elect_(struct group *group)
{
	bool found = false;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		struct bw_voter *host = &group->hosts[i];

		host->leader = !found && host->votes && host->live;
		found = found || host->leader;
	}
	assert_true(found);
}

static void assert_majority_lives_(const struct group *group)
{
	assert_true(2 * count_(group, true) > count_(group, false));
}

static void test_any_region_or_domain_may_be_lost(void **state)
{
	static const uint32_t counts[] = { 9, 27, 54 };
	struct group group;
	char name[16];
	uint32_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < 3; i++) {
		for (k = 0; k < 12; k++) {
			fill_(&group, counts[i]);
			settle_(&group);
			assert_int_equal(count_(&group, false), TARGET);
			snprintf(name, sizeof(name), k < 3 ? "r%u" : "d%u",
				 k < 3 ? k : k - 3);
			lose_(&group, k < 3 ? name : NULL, k < 3 ? NULL : name);
			assert_majority_lives_(&group);
			assert_true(count_(&group, true) >= (k < 3 ? 6 : 8));
		}
	}
}

/* Guards against a lost voter that keeps its vote beside its successor. */
static void test_lost_voters_are_replaced(void **state)
{
	struct group group;
	uint32_t i;

	(void)state;
	fill_(&group, 27);
	settle_(&group);
	lose_(&group, "r1", NULL);
	elect_(&group);
	settle_(&group);
	assert_int_equal(count_(&group, true), TARGET);
	assert_int_equal(count_(&group, false), TARGET);
	/* The region returns, and gets its share again. */
	for (i = 0; i < group.count; i++)
		group.hosts[i].live = true;
	settle_(&group);
	lose_(&group, "r0", NULL);
	assert_majority_lives_(&group);
}

/* Guards against a group without spare hosts that gives up a voter which
 * restarts slowly. */
static void test_voter_without_successor_stays(void **state)
{
	struct group group;

	(void)state;
	fill_(&group, 9);
	settle_(&group);
	group.hosts[4].live = false;
	assert_int_equal(settle_(&group), 0);
	assert_true(group.hosts[4].votes);
}

static void test_settled_groups_do_not_change(void **state)
{
	struct group group;

	(void)state;
	fill_(&group, 54);
	assert_true(settle_(&group) > 0);
	assert_int_equal(settle_(&group), 0);
}

/* Hosts are lost and return at random, as many as may be lost at once. */
static void test_random_losses(void **state)
{
	struct bw_random random;
	struct group group;
	uint32_t seeds = getenv("BW_SEEDS") ? (uint32_t)atoi(getenv("BW_SEEDS"))
					    : 200;
	uint32_t seed;
	uint32_t step;
	uint32_t i;

	(void)state;
	for (seed = 1; seed <= seeds; seed++) {
		bw_random_init(&random, seed);
		fill_(&group, seed % 2 ? 27 : 54);
		settle_(&group);
		for (step = 0; step < 20; step++) {
			char name[16];

			for (i = 0; i < group.count; i++)
				group.hosts[i].live = true;
			settle_(&group);
			snprintf(name, sizeof(name), "%c%u",
				 step % 3 == 0 ? 'r' : 'd',
				 (uint32_t)bw_random_below(&random, 3));
			if (step % 3 == 2) {
				for (i = 0; i < 2; i++)
					group
						.hosts[bw_random_below(
							&random, group.count)]
						.live = false;
			} else {
				lose_(&group, step % 3 == 0 ? name : NULL,
				      step % 3 == 0 ? NULL : name);
			}
			assert_majority_lives_(&group);
			elect_(&group);
			settle_(&group);
			assert_int_equal(count_(&group, true), TARGET);
		}
	}
}

static void test_target_follows_losses_and_domains(void **state)
{
	(void)state;
	assert_int_equal(bw_voters_target(1, 0), 3);
	assert_int_equal(bw_voters_target(2, 2), 5);
	assert_int_equal(bw_voters_target(6, 2), 6);
	assert_int_equal(bw_voters_target(9, 2), 9);
	assert_int_equal(bw_voters_target(216, 2), 9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_region_or_domain_may_be_lost),
		cmocka_unit_test(test_lost_voters_are_replaced),
		cmocka_unit_test(test_voter_without_successor_stays),
		cmocka_unit_test(test_settled_groups_do_not_change),
		cmocka_unit_test(test_random_losses),
		cmocka_unit_test(test_target_follows_losses_and_domains),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
