/*
 * Tests of the shares of customers. They guard against an order that differs
 * where no job has a customer, a customer that is charged for work that did not
 * run, work that is reported twice or never, news of other hosts that counts
 * for ever, and memory that grows with the number of customers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "private/fair_share.h"

#define CUSTOMERS_MANY 100000
#define HEAVY 7
#define LIGHT 8
#define WORK_MS 500.0

static struct bw_time at_(int64_t ms)
{
	struct bw_time time = { 100000 + ms };

	return time;
}

/* Runs one job of a customer from its arrival to its end. */
static void run_job_(struct bw_fair_shares *shares, uint64_t customer,
		     double work_ms, int64_t ms)
{
	struct bw_fair_ticket ticket = { 0 };

	bw_fair_share_ask(shares, &ticket, customer, 0, WORK_MS, at_(ms),
			  at_(ms));
	bw_fair_share_send(shares, &ticket, at_(ms));
	bw_fair_share_end(shares, &ticket, work_ms, at_(ms));
}

/* Returns the level that a job of a customer gets. */
static double level_at_(struct bw_fair_shares *shares, uint64_t customer,
			int64_t ms)
{
	struct bw_fair_ticket ticket = { 0 };

	bw_fair_share_ask(shares, &ticket, customer, 0, WORK_MS, at_(ms),
			  at_(ms));
	return ticket.level;
}

static void test_no_customers(void **state)
{
	struct bw_fair_ticket ticket;
	struct bw_fair_shares shares;
	int64_t ms;

	(void)state;
	bw_fair_shares_init(&shares);
	for (ms = 0; ms < 1000; ms++) {
		memset(&ticket, 0, sizeof(ticket));
		bw_fair_share_ask(&shares, &ticket, 0, (uint32_t)ms % 3,
				  WORK_MS, at_(ms - 3), at_(ms));
		assert_int_equal(ticket.order_ms, at_(ms - 3).ms);
		bw_fair_share_wait(&shares, &ticket);
		bw_fair_share_leave(&shares, &ticket);
		bw_fair_share_send(&shares, &ticket, at_(ms));
		bw_fair_share_end(&shares, &ticket, 4 * WORK_MS, at_(ms));
	}
	assert_null(shares.table);
	assert_false(bw_fair_shares_active(&shares, at_(ms)));
	bw_fair_shares_finish(&shares);
}

/* Alone, a customer has all the room and its jobs go by arrival. */
static void test_one_customer(void **state)
{
	struct bw_fair_shares shares;
	int64_t ms;

	(void)state;
	bw_fair_shares_init(&shares);
	for (ms = 0; ms < 1000; ms++) {
		run_job_(&shares, HEAVY, WORK_MS, ms);
		assert_true(level_at_(&shares, HEAVY, ms) == 0.0);
	}
	bw_fair_shares_finish(&shares);
}

static void test_jobs_without_customer_share(void **state)
{
	struct bw_fair_shares shares;
	int64_t ms;

	(void)state;
	bw_fair_shares_init(&shares);
	for (ms = 0; ms < 2000; ms += 10) {
		run_job_(&shares, 0, WORK_MS, ms);
		if (ms % 200 == 0)
			run_job_(&shares, LIGHT, WORK_MS, ms);
	}
	assert_true(level_at_(&shares, 0, ms) > 1.0);
	assert_true(level_at_(&shares, LIGHT, ms) < 1.0);
	bw_fair_shares_finish(&shares);
}

static void test_ticket_keeps_position(void **state)
{
	struct bw_fair_ticket ticket = { 0 };
	struct bw_fair_shares shares;
	int64_t order_ms;
	int64_t ms;

	(void)state;
	bw_fair_shares_init(&shares);
	run_job_(&shares, LIGHT, WORK_MS, 0);
	bw_fair_share_ask(&shares, &ticket, HEAVY, 0, WORK_MS, at_(0), at_(0));
	order_ms = ticket.order_ms;
	bw_fair_share_wait(&shares, &ticket);
	for (ms = 0; ms < 2000; ms += 10)
		run_job_(&shares, HEAVY, WORK_MS, ms);
	bw_fair_share_leave(&shares, &ticket);
	/* It is placed once more. */
	bw_fair_share_ask(&shares, &ticket, HEAVY, 0, WORK_MS, at_(0), at_(ms));
	assert_int_equal(ticket.order_ms, order_ms);
	/* Its key has been found to be of another customer. */
	bw_fair_share_ask(&shares, &ticket, LIGHT, 0, WORK_MS, at_(0), at_(ms));
	assert_int_equal(ticket.customer_hash, LIGHT);
	bw_fair_shares_finish(&shares);
}

static void test_work_that_did_not_run(void **state)
{
	struct bw_fair_report reports[4];
	struct bw_fair_shares shares;
	int64_t ms;
	size_t count;

	(void)state;
	bw_fair_shares_init(&shares);
	for (ms = 0; ms < 1000; ms += 10) {
		run_job_(&shares, HEAVY, 0.0, ms);
		run_job_(&shares, LIGHT, WORK_MS, ms);
	}
	assert_true(level_at_(&shares, HEAVY, ms) < 0.01);
	count = bw_fair_share_take_report(&shares, reports, 4);
	assert_int_equal(count, 2);
	assert_int_equal(reports[0].customer_hash, HEAVY);
	assert_int_equal(reports[0].work_ms, 0);
	bw_fair_shares_finish(&shares);
}

static void test_report(void **state)
{
	struct bw_fair_report reports[8];
	uint64_t work_ms = 0;
	struct bw_fair_shares shares;
	size_t count;
	size_t i;

	(void)state;
	bw_fair_shares_init(&shares);
	assert_int_equal(bw_fair_share_take_report(&shares, reports, 8), 0);
	for (i = 0; i < 10; i++)
		run_job_(&shares, 1 + i, 300.0, 0);
	/* What does not fit comes with the next report. */
	count = bw_fair_share_take_report(&shares, reports, 8);
	assert_int_equal(count, 8);
	for (i = 0; i < count; i++)
		work_ms += reports[i].work_ms;
	count = bw_fair_share_take_report(&shares, reports, 8);
	assert_int_equal(count, 2);
	for (i = 0; i < count; i++)
		work_ms += reports[i].work_ms;
	assert_int_equal(work_ms, 10 * 300);
	assert_int_equal(bw_fair_share_take_report(&shares, reports, 8), 0);
	bw_fair_shares_finish(&shares);
}

/* Other hosts serve one customer much; here both send the same. */
static void test_news(void **state)
{
	struct bw_fair_rate heavy = { .work_ms_per_s = 50000 };
	struct bw_fair_rate light = { .work_ms_per_s = 5000 };
	struct bw_fair_rate total = { .work_ms_per_s = 55000 };
	struct bw_fair_shares shares;
	int64_t ms;

	(void)state;
	bw_fair_shares_init(&shares);
	for (ms = 0; ms < 4000; ms += 100) {
		run_job_(&shares, HEAVY, WORK_MS, ms);
		run_job_(&shares, LIGHT, WORK_MS, ms);
	}
	assert_true(level_at_(&shares, HEAVY, ms) < 1.2);
	bw_fair_share_set_fleet(&shares, HEAVY, 0, &heavy, at_(ms));
	bw_fair_share_set_fleet(&shares, LIGHT, 0, &light, at_(ms));
	bw_fair_share_set_fleet_total(&shares, &total, 2, at_(ms));
	assert_true(level_at_(&shares, HEAVY, ms) > 1.5);
	assert_true(level_at_(&shares, LIGHT, ms) < 0.5);
	/* A host that is cut off goes on by what it sees. */
	for (; ms < 10000; ms += 100) {
		run_job_(&shares, HEAVY, WORK_MS, ms);
		run_job_(&shares, LIGHT, WORK_MS, ms);
	}
	assert_true(level_at_(&shares, HEAVY, ms) < 1.2);
	bw_fair_shares_finish(&shares);
}

/* A host that has restarted learns of the customer from the first news. */
static void test_news_after_restart(void **state)
{
	struct bw_fair_rate heavy = { 50000, 60000 };
	struct bw_fair_rate light = { 5000, 5000 };
	struct bw_fair_rate total = { 55000, 65000 };
	struct bw_fair_shares shares;

	(void)state;
	bw_fair_shares_init(&shares);
	bw_fair_share_set_fleet(&shares, HEAVY, 0, &heavy, at_(0));
	bw_fair_share_set_fleet(&shares, LIGHT, 0, &light, at_(0));
	bw_fair_share_set_fleet_total(&shares, &total, 2, at_(0));
	run_job_(&shares, LIGHT, WORK_MS, 0);
	assert_true(level_at_(&shares, HEAVY, 0) > 1.5);
	assert_true(level_at_(&shares, LIGHT, 0) < 0.5);
	bw_fair_shares_finish(&shares);
}

/* A customer beyond its share gives way only to ranks that go before it. */
static void test_gives_way_by_rank(void **state)
{
	struct bw_fair_rate heavy = { 50000, 60000 };
	struct bw_fair_rate light = { 1000, 5000 };
	struct bw_fair_rate total = { 51000, 65000 };
	struct bw_fair_ticket ticket;
	struct bw_fair_shares shares;
	uint32_t rank;
	int64_t ms;

	(void)state;
	for (rank = 0; rank < 3; rank++) {
		bw_fair_shares_init(&shares);
		run_job_(&shares, LIGHT, WORK_MS, 0);
		for (ms = 0; ms < 2000; ms += 500) {
			bw_fair_share_set_fleet(&shares, HEAVY, 1, &heavy,
						at_(ms));
			bw_fair_share_set_fleet(&shares, LIGHT, rank, &light,
						at_(ms));
			bw_fair_share_set_fleet_total(&shares, &total, 2,
						      at_(ms));
		}
		memset(&ticket, 0, sizeof(ticket));
		bw_fair_share_ask(&shares, &ticket, LIGHT, 1, WORK_MS, at_(ms),
				  at_(ms));
		memset(&ticket, 0, sizeof(ticket));
		bw_fair_share_ask(&shares, &ticket, HEAVY, 1, WORK_MS, at_(ms),
				  at_(ms));
		bw_fair_share_send(&shares, &ticket, at_(ms));
		assert_true(bw_fair_share_is_beyond(&ticket));
		assert_int_equal(bw_fair_share_gives_way(&shares, &ticket,
							 at_(ms)),
				 rank <= 1);
		/* Without news it no longer does. */
		assert_false(bw_fair_share_gives_way(&shares, &ticket,
						     at_(ms + 10000)));
		bw_fair_shares_finish(&shares);
	}
}

/* A round of news costs the same for each customer in it. */
static void test_large_news(void **state)
{
	struct bw_fair_rate rate = { 100, 120 };
	struct bw_fair_rate total = { 100.0 * CUSTOMERS_MANY,
				      120.0 * CUSTOMERS_MANY };
	struct bw_fair_shares shares;
	struct bw_fair_share *table;
	uint64_t started_us;
	double call_us;
	uint32_t i;

	(void)state;
	bw_fair_shares_init(&shares);
	run_job_(&shares, HEAVY, WORK_MS, 0);
	table = shares.table;
	started_us = bw_clock_us();
	for (i = 0; i < CUSTOMERS_MANY; i++)
		bw_fair_share_set_fleet(&shares, 1000 + i, 0, &rate, at_(1));
	bw_fair_share_set_fleet_total(&shares, &total, CUSTOMERS_MANY, at_(1));
	call_us = (double)(bw_clock_us() - started_us) / CUSTOMERS_MANY;
	printf("news of %d customers: %.2f us each\n", CUSTOMERS_MANY, call_us);
	assert_ptr_equal(shares.table, table);
	bw_fair_shares_finish(&shares);
}

static void test_many_customers(void **state)
{
	struct bw_fair_shares shares;
	struct bw_fair_share *table;
	uint64_t started_us;
	double job_us;
	uint32_t i;

	(void)state;
	bw_fair_shares_init(&shares);
	run_job_(&shares, HEAVY, WORK_MS, 0);
	table = shares.table;
	started_us = bw_clock_us();
	for (i = 0; i < CUSTOMERS_MANY; i++) {
		run_job_(&shares, 1000 + i, WORK_MS, i / 50);
		if (i % 50 == 0)
			run_job_(&shares, HEAVY, 10 * WORK_MS, i / 50);
		assert_true(shares.active <= BW_FAIR_CUSTOMERS_MAX);
	}
	job_us = (double)(bw_clock_us() - started_us) / (1.02 * CUSTOMERS_MANY);
	printf("%d customers: %.2f us a job, table of %zu bytes\n",
	       CUSTOMERS_MANY, job_us,
	       BW_FAIR_CUSTOMERS_MAX * sizeof(struct bw_fair_share));
	assert_ptr_equal(shares.table, table);
	/* The customer with the most work has kept its place in the table. */
	assert_true(level_at_(&shares, HEAVY, CUSTOMERS_MANY / 50) > 1.0);
	/* All are forgotten when no more jobs come. */
	assert_false(bw_fair_shares_active(&shares, at_(60000)));
	assert_int_equal(shares.active, 0);
	assert_int_equal(shares.totals[0].customers, 0);
	bw_fair_shares_finish(&shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_customers),
		cmocka_unit_test(test_one_customer),
		cmocka_unit_test(test_jobs_without_customer_share),
		cmocka_unit_test(test_ticket_keeps_position),
		cmocka_unit_test(test_work_that_did_not_run),
		cmocka_unit_test(test_report),
		cmocka_unit_test(test_news),
		cmocka_unit_test(test_news_after_restart),
		cmocka_unit_test(test_gives_way_by_rank),
		cmocka_unit_test(test_large_news),
		cmocka_unit_test(test_many_customers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
