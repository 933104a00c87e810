/*
 * Quotas at one entry host. Guards against a request that is refused although
 * one that did not run has given back its use, a use that is given back twice
 * or after its window, a Retry-After at which there is no room, leases that
 * outlive their time or a lower quota, a lease of an earlier answer that
 * replaces a later one, and customers without requests that cost memory or
 * messages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwcustomer/quota_shares.h"

/** Lease that a host gets in these tests. */
#define LEASED 10

static const struct bw_quota_bounds bounds = {
	.window_ms = 5000,
	.over = 0.1,
	.slack = 20,
};

static const struct bw_quota quota = {
	.customer_hash = 7,
	.rate_per_s = 100,
	.burst = 0,
};

/* Begins with a lease of LEASED, of a fleet so large that there is no base. */
static struct bw_time begin_(struct bw_quota_shares *shares)
{
	struct bw_quota_demand demand;
	struct bw_quota_grant grant = { quota.customer_hash, LEASED, 0 };
	struct bw_time started = { 1000000 };
	struct bw_time now = bw_time_add(started, BW_QUOTA_OPEN_MS);
	uint32_t retry_after_ms;

	bw_quota_shares_init(shares, &bounds, started);
	bw_quota_shares_set_hosts(shares, 100000, 50000);
	assert_false(bw_quota_admit(shares, &quota, now, &retry_after_ms));
	assert_int_equal(bw_quota_demands(shares, &demand, 1, now), 1);
	assert_true(demand.wanted > 0);
	bw_quota_lease(shares, &grant, now, now);
	return now;
}

static uint32_t admit_all_(struct bw_quota_shares *shares, struct bw_time now,
			   uint32_t *retry_after_ms)
{
	uint32_t count = 0;

	while (bw_quota_admit(shares, &quota, now, retry_after_ms))
		count++;
	return count;
}

static void test_give_back(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	struct bw_time later = bw_time_add(now, 2000);
	uint32_t retry_after_ms;
	uint32_t i;

	(void)state;
	assert_int_equal(admit_all_(&shares, now, &retry_after_ms), LEASED);
	for (i = 0; i < 3; i++)
		bw_quota_give_back(&shares, quota.customer_hash, now, later);
	assert_int_equal(admit_all_(&shares, later, &retry_after_ms), 3);
	/* After the window there is nothing to give back. */
	later = bw_time_add(now, 5600);
	bw_quota_give_back(&shares, quota.customer_hash, now, later);
	assert_int_equal(admit_all_(&shares, later, &retry_after_ms),
			 LEASED - 3);
	bw_quota_give_back(&shares, quota.customer_hash + 1, now, later);
	bw_quota_shares_finish(&shares);
}

static void test_room_at_retry_after(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	uint32_t retry_after_ms = 0;
	uint32_t i;

	(void)state;
	admit_all_(&shares, now, &retry_after_ms);
	for (i = 0; i < LEASED; i++)
		assert_false(
			bw_quota_admit(&shares, &quota, now, &retry_after_ms));
	assert_in_range(retry_after_ms, 1, bounds.window_ms + 500);
	now = bw_time_add(now, retry_after_ms);
	assert_true(bw_quota_admit(&shares, &quota, now, &retry_after_ms));
	bw_quota_shares_finish(&shares);
}

static void test_lease_ends(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	uint32_t retry_after_ms;

	(void)state;
	now = bw_time_add(now, BW_QUOTA_LEASE_MS - 1);
	assert_true(bw_quota_admit(&shares, &quota, now, &retry_after_ms));
	now = bw_time_add(now, 1);
	assert_false(bw_quota_admit(&shares, &quota, now, &retry_after_ms));
	bw_quota_shares_finish(&shares);
}

static void test_lower_quota_cuts_lease(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	struct bw_quota lower = quota;
	uint32_t retry_after_ms;
	uint32_t count = 0;

	(void)state;
	lower.rate_per_s = quota.rate_per_s / 5;
	while (bw_quota_admit(&shares, &lower, now, &retry_after_ms))
		count++;
	assert_int_equal(count, LEASED / 5);
	bw_quota_shares_finish(&shares);
}

static void test_earlier_answer(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	struct bw_quota_grant grant = { quota.customer_hash, 1000, 0 };
	uint32_t retry_after_ms;

	(void)state;
	bw_quota_lease(&shares, &grant, bw_time_add(now, -1), now);
	assert_int_equal(admit_all_(&shares, now, &retry_after_ms), LEASED);
	bw_quota_shares_finish(&shares);
}

static void test_share_is_given_up(void **state)
{
	struct bw_quota_shares shares;
	struct bw_time now = begin_(&shares);
	struct bw_quota_demand demand;

	(void)state;
	now = bw_time_add(now, 5600);
	assert_int_equal(bw_quota_demands(&shares, &demand, 1, now), 1);
	assert_int_equal(demand.wanted, 0);
	assert_int_equal(demand.leased, 0);
	assert_int_equal(g_hash_table_size(shares.shares), 0);
	now = bw_time_add(now, 10000);
	assert_int_equal(bw_quota_demands(&shares, &demand, 1, now), 0);
	bw_quota_shares_finish(&shares);
}

/* The parts of the hosts without a lease add up to less than the tolerance. */
static void test_base_of_all_hosts(void **state)
{
	static const double rates[] = { 1, 10, 100, 1000, 100000 };
	static const uint32_t hosts[] = { 1, 2, 73, 6100 };
	uint32_t i;
	uint32_t k;
	uint32_t host;

	(void)state;
	for (i = 0; i < 5; i++) {
		for (k = 0; k < 4; k++) {
			struct bw_quota some = { 12345678, rates[i], rates[i] };
			double sum = 0;

			for (host = 0; host < hosts[k]; host++)
				sum += bw_quota_base(&bounds, &some, hosts[k],
						     host);
			assert_true(sum <=
				    0.1 * bw_quota_due(&bounds, &some) + 20);
		}
	}
	assert_int_equal(bw_quota_base(&bounds, &quota, 0, 0), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_give_back),
		cmocka_unit_test(test_room_at_retry_after),
		cmocka_unit_test(test_lease_ends),
		cmocka_unit_test(test_lower_quota_cuts_lease),
		cmocka_unit_test(test_earlier_answer),
		cmocka_unit_test(test_share_is_given_up),
		cmocka_unit_test(test_base_of_all_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
