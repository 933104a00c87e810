/*
 * Tests the spread of demand over failure domains. Guards against a domain with
 * few servers that keeps all of its demand while others have spare capacity,
 * and against unnecessary traffic between regions.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "bwsteer/spread.h"

#define ASSERT_NEAR(a, b) assert_true(fabs((a) - (b)) < 1e-6)

static void test_enough_at_home(void **state)
{
	struct bw_spread_domain domains[3] = { { 0, 10, 4 },
					       { 0, 10, 1 },
					       { 1, 10, 1 } };
	double fractions[3];

	(void)state;
	bw_spread(domains, 3, 0, fractions);
	ASSERT_NEAR(fractions[0], 1.0);
	ASSERT_NEAR(fractions[1] + fractions[2], 0.0);
}

static void test_region_before_far(void **state)
{
	struct bw_spread_domain domains[3] = { { 0, 10, 7 },
					       { 0, 10, 1 },
					       { 1, 100, 1 } };
	double fractions[3];

	(void)state;
	bw_spread(domains, 3, 0, fractions);
	assert_true(fractions[0] > 0.5);
	assert_true(fractions[1] > 0.1);
	ASSERT_NEAR(fractions[2], 0.0);
}

static void test_overload_is_shared(void **state)
{
	/* Two domains with one server of nine slots each, demand 12 slots. */
	struct bw_spread_domain domains[4] = {
		{ 0, 9, 12 }, { 0, 9, 12 }, { 1, 36, 12 }, { 1, 36, 12 }
	};
	double load[4] = { 0 };
	double fractions[4];
	uint32_t own;
	uint32_t i;

	(void)state;
	for (own = 0; own < 4; own++) {
		bw_spread(domains, 4, own, fractions);
		ASSERT_NEAR(fractions[0] + fractions[1] + fractions[2] +
				    fractions[3],
			    1.0);
		for (i = 0; i < 4; i++)
			load[i] += 12 * fractions[i] / domains[i].slots;
	}
	/* 48 of 90 slots: no domain is loaded far above that. */
	for (i = 0; i < 4; i++)
		assert_true(load[i] < 48.0 / 90.0 * 1.1);
}

static void test_no_servers(void **state)
{
	struct bw_spread_domain domains[2] = { { 0, 0, 5 }, { 1, 0, 5 } };
	double fractions[2];

	(void)state;
	bw_spread(domains, 2, 0, fractions);
	ASSERT_NEAR(fractions[0] + fractions[1], 0.0);
	domains[1].slots = 1;
	bw_spread(domains, 2, 0, fractions);
	ASSERT_NEAR(fractions[1], 1.0);
	domains[0].demand_slots = 0;
	domains[1].demand_slots = 0;
	bw_spread(domains, 2, 0, fractions);
	ASSERT_NEAR(fractions[1], 1.0);
}

/*
 * Guards against fractions that are negative or do not add up to 1, and against
 * a domain that is loaded above the limit of the service.
 */
static void test_random(void **state)
{
	struct bw_random random;
	int run;

	(void)state;
	bw_random_init(&random, 11);
	for (run = 0; run < 2000; run++) {
		struct bw_spread_domain domains[8];
		double load[8] = { 0 };
		double fractions[8];
		double demand = 0;
		double slots = 0;
		uint32_t count = 2 + (uint32_t)bw_random_below(&random, 7);
		uint32_t own;
		uint32_t i;

		for (i = 0; i < count; i++) {
			domains[i].region = i / 2;
			domains[i].slots = (double)bw_random_below(&random, 50);
			domains[i].demand_slots =
				1 + (double)bw_random_below(&random, 40);
			demand += domains[i].demand_slots;
			slots += domains[i].slots;
		}
		if (slots <= 0)
			continue;
		for (own = 0; own < count; own++) {
			double sum = 0;

			bw_spread(domains, count, own, fractions);
			for (i = 0; i < count; i++) {
				assert_true(fractions[i] >= -1e-9);
				sum += fractions[i];
				load[i] += fractions[i] *
					   domains[own].demand_slots;
			}
			ASSERT_NEAR(sum, 1.0);
		}
		for (i = 0; i < count; i++)
			assert_true(
				load[i] <=
				domains[i].slots * fmax(0.65,
							1.06 * demand / slots) +
					1e-6);
	}
}

/*
 * Guards against an object that runs cold in each domain of its region because
 * their hosts weigh the servers differently.
 */
static void test_region_weighs_servers_alike(void **state)
{
	struct bw_spread_domain domains[4] = {
		{ 0, 64, 40 }, { 0, 16, 40 }, { 1, 40, 20 }, { 1, 10, 20 }
	};
	double first[4];
	double second[4];
	uint32_t i;

	(void)state;
	bw_spread_by_region(domains, 4, 0, first);
	bw_spread_by_region(domains, 4, 1, second);
	for (i = 0; i < 4; i++)
		ASSERT_NEAR(first[i], second[i]);
	ASSERT_NEAR(first[0], 4.0 * first[1]);
	ASSERT_NEAR(first[2], 4.0 * first[3]);
	ASSERT_NEAR(first[0] + first[1] + first[2] + first[3], 1.0);
}

/* Guards against traffic between regions while the region has room. */
static void test_region_keeps_its_requests(void **state)
{
	struct bw_spread_domain domains[4] = {
		{ 0, 64, 20 }, { 0, 16, 20 }, { 1, 40, 1 }, { 1, 10, 1 }
	};
	double fractions[4];

	(void)state;
	bw_spread_by_region(domains, 4, 1, fractions);
	ASSERT_NEAR(fractions[0] + fractions[1], 1.0);
	ASSERT_NEAR(fractions[2] + fractions[3], 0.0);
}

/* Guards against requests for a region whose servers are all gone. */
static void test_region_without_servers(void **state)
{
	struct bw_spread_domain domains[3] = { { 0, 0, 5 },
					       { 0, 0, 5 },
					       { 1, 9, 5 } };
	double fractions[3];

	(void)state;
	bw_spread_by_region(domains, 3, 0, fractions);
	ASSERT_NEAR(fractions[0] + fractions[1], 0.0);
	ASSERT_NEAR(fractions[2], 1.0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_enough_at_home),
		cmocka_unit_test(test_region_before_far),
		cmocka_unit_test(test_overload_is_shared),
		cmocka_unit_test(test_no_servers),
		cmocka_unit_test(test_random),
		cmocka_unit_test(test_region_weighs_servers_alike),
		cmocka_unit_test(test_region_keeps_its_requests),
		cmocka_unit_test(test_region_without_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
