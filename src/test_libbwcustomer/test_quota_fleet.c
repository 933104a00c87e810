/*
 * Plays load of one customer at the entry hosts of a fleet. Guards against a
 * window in which all hosts together admit more than the users' rule allows
 * (in calm, in a cut, after restarts, after a change of the host that grants,
 * after a lowered quota), and against requests within the quota that are
 * refused, wherever the callers sit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "quota_fleet.h"

/** Entry hosts of the fleet, and of one of its failure domains. */
#define HOSTS 73
#define DOMAIN_HOSTS 13

/** A hot customer sends this many times its quota. */
#define HOT 8.0

/** A customer of usual load sends this part of its quota. */
#define USUAL 0.625

/** Seeds of the callers with which each load is played. */
#define SEEDS 10

static uint64_t seed_;

/** Of all seeds, in a cut; few requests of a small customer meet one. */
static uint64_t cut_asked_[4];
static uint64_t cut_admitted_[4];

static const double rates[] = { 3, 10, 40, 600 };

static void assert_within_(const struct fleet *fleet, const char *when)
{
	const struct bw_quota *quota = &fleet->hosts[0].quota;
	uint32_t most = fleet_window_max(fleet, 0);
	double bound = fleet_bound(fleet, quota->rate_per_s, quota->burst);

	print_message("%s, %.0f/s: %u of at most %.1f in a window; %u of %lu "
		      "served\n",
		      when, quota->rate_per_s, most, bound,
		      fleet_admitted(fleet), (unsigned long)fleet->asked_count);
	assert_true(most <= bound);
}

/* Returns the part of what was due that was served. */
static double served_(const struct fleet *fleet, double due)
{
	return fleet_admitted(fleet) / due;
}

static void test_hot_customer_at_all_hosts(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, USUAL * rates[i], 0, HOSTS);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		assert_within_(&fleet, "hot at all hosts");
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		assert_true(served_(&fleet, 20 * rates[i]) >= 0.9);
		fleet_finish(&fleet);
	}
}

static void test_hot_customer_without_history(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], 0);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		assert_within_(&fleet, "hot from the start, no burst");
		fleet_finish(&fleet);
	}
}

static void test_usual_load_at_all_hosts(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "usual, first 10 s");
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 30000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "usual, next 30 s");
		if (rates[i] >= 40)
			assert_true(served_(&fleet,
					    (double)fleet.asked_count) >= 0.98);
		fleet_finish(&fleet);
	}
}

static void test_callers_in_one_domain(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, 0.9 * rates[i], 0, DOMAIN_HOSTS);
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 30000, 0.9 * rates[i], 0, DOMAIN_HOSTS);
		assert_within_(&fleet, "in one domain, 0.9 of the quota");
		if (rates[i] >= 40)
			assert_true(served_(&fleet,
					    (double)fleet.asked_count) >= 0.95);
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 30000, HOT * rates[i], 0, DOMAIN_HOSTS);
		assert_within_(&fleet, "in one domain, hot");
		assert_true(served_(&fleet, 30 * rates[i]) >= 0.9);
		fleet_finish(&fleet);
	}
}

/* Callers move from one domain to another, as after the loss of a domain. */
static void test_callers_move(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, HOT * rates[i], 0, DOMAIN_HOSTS);
		fleet_run(&fleet, 10000, HOT * rates[i], 40, DOMAIN_HOSTS);
		fleet_run(&fleet, 10000, HOT * rates[i], 20, DOMAIN_HOSTS);
		assert_within_(&fleet, "callers that move");
		fleet_finish(&fleet);
	}
}

static void set_cut_(struct fleet *fleet, uint32_t first, uint32_t count,
		     bool cut)
{
	uint32_t i;

	for (i = first; i < first + count; i++)
		fleet->hosts[i].cut = cut;
}

static void test_cut(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, USUAL * rates[i], 0, HOSTS);
		set_cut_(&fleet, 0, DOMAIN_HOSTS, true);
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 5000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "in a cut");
		cut_asked_[i] += fleet.asked_count;
		cut_admitted_[i] += fleet_admitted(&fleet);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		set_cut_(&fleet, 0, DOMAIN_HOSTS, false);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		set_cut_(&fleet, 0, HOSTS, true);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		assert_within_(&fleet, "in cuts, hot");
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 10000, HOT * rates[i], 0, HOSTS);
		assert_true(fleet_admitted(&fleet) > 0);
		fleet_finish(&fleet);
	}
}

static void test_restarts(void **state)
{
	struct fleet fleet;
	uint32_t round;
	uint32_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, HOT * rates[i], 0, HOSTS);
		for (round = 0; round < 4; round++) {
			for (k = 0; k < HOSTS; k++) {
				if (bw_random_below(&fleet.random, 100) < 55)
					fleet_restart(&fleet, k);
			}
			fleet_run(&fleet, 5100, HOT * rates[i], 0, HOSTS);
		}
		assert_within_(&fleet, "restarts of 55 in 100 hosts, hot");
		fleet_finish(&fleet);
	}
}

static void test_change_of_granting_host(void **state)
{
	struct fleet fleet;
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, USUAL * rates[i], 0, HOSTS);
		fleet_reset_counts(&fleet);
		fleet_set_granter(&fleet, FLEET_NO_GRANTER);
		fleet_run(&fleet, 1500, USUAL * rates[i], 0, HOSTS);
		fleet_set_granter(&fleet, 1);
		fleet_run(&fleet, 15000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "another host grants, usual");
		if (rates[i] >= 40)
			assert_true(served_(&fleet,
					    (double)fleet.asked_count) >= 0.97);
		fleet_run(&fleet, 5000, HOT * rates[i], 0, HOSTS);
		set_cut_(&fleet, 0, DOMAIN_HOSTS, true);
		/* The hosts that are cut off are soon listed no more. */
		fleet.listed_count = HOSTS - DOMAIN_HOSTS;
		fleet_set_granter(&fleet, 0);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		fleet.listed_count = HOSTS;
		fleet_set_granter(&fleet, 1);
		set_cut_(&fleet, 0, DOMAIN_HOSTS, false);
		fleet_run(&fleet, 20000, HOT * rates[i], 0, HOSTS);
		assert_within_(&fleet, "another host grants, cut, hot");
		fleet_finish(&fleet);
	}
}

/* All hosts lose their power, and another host grants. */
static void test_restart_of_all(void **state)
{
	struct fleet fleet;
	uint32_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		fleet_init(&fleet, seed_, HOSTS, rates[i], rates[i]);
		fleet_run(&fleet, 10000, USUAL * rates[i], 0, HOSTS);
		for (k = 0; k < HOSTS; k++)
			fleet_restart(&fleet, k);
		fleet_set_granter(&fleet, 1);
		fleet_run(&fleet, 3000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "restart of all, first 3 s");
		fleet_reset_counts(&fleet);
		fleet_run(&fleet, 5000, USUAL * rates[i], 0, HOSTS);
		assert_within_(&fleet, "restart of all, later");
		if (rates[i] >= 40)
			assert_true(served_(&fleet,
					    (double)fleet.asked_count) >= 0.95);
		fleet_finish(&fleet);
	}
}

/* What is due in the next window is the rate and the burst. */
static void test_little_more_than_the_quota(void **state)
{
	struct fleet fleet;

	(void)state;
	fleet_init(&fleet, seed_, HOSTS, 600, 600);
	fleet_run(&fleet, 10000, USUAL * 600, 0, HOSTS);
	fleet_reset_counts(&fleet);
	fleet_run(&fleet, 5000, 1.2 * 600, 0, HOSTS);
	assert_within_(&fleet, "1.2 of the quota, 5 s");
	assert_true(served_(&fleet, (double)fleet.asked_count) >= 0.95);
	fleet_finish(&fleet);
}

/* At least half of what callers ask of the hosts that are cut off is served. */
static void test_served_in_cuts(void **state)
{
	uint32_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		assert_true((double)cut_admitted_[i] >=
			    (1 - 0.5 * DOMAIN_HOSTS / HOSTS) *
				    (double)cut_asked_[i]);
}

/* Hosts learn of the lower quota within the time that a change may take. */
static void test_lowered_quota(void **state)
{
	struct fleet fleet;
	int64_t acknowledged_ms;
	uint32_t most;
	uint32_t i;

	(void)state;
	fleet_init(&fleet, seed_, HOSTS, 600, 600);
	fleet_run(&fleet, 10000, 400, 0, HOSTS);
	acknowledged_ms = fleet.now.ms;
	for (i = 0; i < HOSTS; i++) {
		fleet.hosts[i].quota.rate_per_s = 60;
		fleet.hosts[i].quota.burst = 60;
		fleet.hosts[i].version = 2;
		fleet_run(&fleet, 20, 400, 0, HOSTS);
	}
	fleet_run(&fleet, 30000, 400, 0, HOSTS);
	most = fleet_window_max(&fleet, acknowledged_ms + 2500);
	print_message("lowered quota: %u of at most %.1f in a window\n", most,
		      fleet_bound(&fleet, 60, 60));
	assert_true(most <= fleet_bound(&fleet, 60, 60));
	fleet_finish(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hot_customer_at_all_hosts),
		cmocka_unit_test(test_hot_customer_without_history),
		cmocka_unit_test(test_usual_load_at_all_hosts),
		cmocka_unit_test(test_callers_in_one_domain),
		cmocka_unit_test(test_callers_move),
		cmocka_unit_test(test_cut),
		cmocka_unit_test(test_restarts),
		cmocka_unit_test(test_change_of_granting_host),
		cmocka_unit_test(test_restart_of_all),
		cmocka_unit_test(test_little_more_than_the_quota),
		cmocka_unit_test(test_lowered_quota),
	};

	const struct CMUnitTest sums[] = {
		cmocka_unit_test(test_served_in_cuts),
	};
	int failed = 0;

	for (seed_ = 1; seed_ <= SEEDS; seed_++) {
		print_message("seed %d\n", (int)seed_);
		failed += cmocka_run_group_tests(tests, NULL, NULL);
	}
	failed += cmocka_run_group_tests(sums, NULL, NULL);
	return failed;
}
