/*
 * Plays loads that leave too little room, at one host and at 73, against the
 * shares of customers. They guard against a customer that takes the room of the
 * others by sending more or longer requests than usual, against one that is
 * starved because it is large, and against shares that are fair at each host
 * but not over all: where a customer uses one host only, where news of other
 * hosts is late or missing, and where all hosts have lost their state.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "fair_model.h"

#define HOSTS 73
#define CUSTOMERS 20
#define HOT 3
/* Uses a single host. */
#define SINGLE 7
#define SINGLE_HOST 40

/* Nobody gets less of what it asks for than this part of what all get. */
#define STARVED_FRACTION 0.25

/* Part of its usual load of which a customer is sure while another is hot. */
#define SERVED_MIN 0.9

/* The same where hosts lack news or have lost their state for some time. */
#define SERVED_FAILURE_MIN 0.75

/* Customers that together ask for nine tenths of the slots. */
static void usual_load_(struct fair_model_load *load, uint32_t hosts,
			uint32_t slots)
{
	uint32_t i;

	*load = (struct fair_model_load){ .hosts = hosts,
					  .slots = slots,
					  .customer_count = CUSTOMERS,
					  .news_delay_ms = 1000,
					  .seed = 1 };
	for (i = 0; i < CUSTOMERS; i++) {
		load->customers[i].work_ms = 500;
		load->customers[i].rate_per_s = 0.9 * 2.0 * slots / CUSTOMERS;
	}
}

/* As above; one customer sends eight times its usual at a few hosts. */
static void hot_load_(struct fair_model_load *load)
{
	usual_load_(load, HOSTS, 4 * HOSTS);
	load->customers[HOT].factor = 8.0;
	load->customers[HOT].first_host = 10;
	load->customers[HOT].host_count = 5;
	load->customers[SINGLE].first_host = SINGLE_HOST;
	load->customers[SINGLE].host_count = 1;
}

static double least_of_others_(const struct fair_model_load *load,
			       const struct fair_model_result *result)
{
	double least = 1.0;
	uint32_t i;

	for (i = 0; i < load->customer_count; i++) {
		if (i != HOT && result->fraction[i] < least)
			least = result->fraction[i];
	}
	return least;
}

static void run_(const char *name, const struct fair_model_load *load,
		 struct fair_model_result *result)
{
	fair_model_run(load, result);
	printf("%s: of all %.2f, hot %.2f, single host %.2f, least of others "
	       "%.2f\n",
	       name, result->fraction_of_all, result->fraction[HOT],
	       result->fraction[SINGLE], least_of_others_(load, result));
}

static void assert_hot_gets_rest_(const struct fair_model_load *load,
				  const struct fair_model_result *result,
				  double served_min)
{
	assert_true(least_of_others_(load, result) >= served_min);
	assert_true(result->fraction[HOT] >=
		    STARVED_FRACTION * result->fraction_of_all);
}

/* Without shares the room goes to whoever sends most: the fault. */
static void test_hot_customer_by_arrival(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.customers[HOT].host_count = 0;
	load.customers[HOT].first_host = 0;
	load.without_customers = true;
	run_("by arrival", &load, &result);
	assert_true(least_of_others_(&load, &result) < SERVED_MIN);
}

static void test_hot_customer_at_one_host(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	usual_load_(&load, 1, 40);
	load.customers[HOT].factor = 8.0;
	run_("one host", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_MIN);
}

static void test_hot_customer_at_few_hosts(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	run_("few hosts", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_MIN);
}

static void test_hot_customer_at_all_hosts(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.customers[HOT].host_count = 0;
	load.customers[HOT].first_host = 0;
	run_("all hosts", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_MIN);
	load.without_asked = true;
	/* Nobody then knows who lacks room elsewhere; only the floor holds. */
	run_("all hosts, sums of work only", &load, &result);
	assert_hot_gets_rest_(&load, &result,
			      STARVED_FRACTION * result.fraction_of_all);
}

/* Each host gets news of the customers that it has, and only of their work. */
static void test_news_of_own_customers(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.without_sums = true;
	load.without_asked = true;
	run_("few hosts, no sums", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_MIN);
	load.customers[HOT].host_count = 0;
	load.customers[HOT].first_host = 0;
	run_("all hosts, no sums", &load, &result);
	assert_hot_gets_rest_(&load, &result,
			      STARVED_FRACTION * result.fraction_of_all);
}

/* The callers of the hot customer use the same single host as another. */
static void test_hot_customer_beside_single_host(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.customers[HOT].first_host = SINGLE_HOST;
	load.customers[HOT].host_count = 1;
	run_("same host", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_MIN);
}

/* Twelve hosts get no news and report none for eight seconds. */
static void test_hosts_cut_off(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.customers[HOT].host_count = 0;
	load.customers[HOT].first_host = 0;
	load.cut_hosts = 12;
	run_("cut off", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_FAILURE_MIN);
}

/* All hosts restart and know nothing of the seconds before. */
static void test_state_lost(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;

	(void)state;
	hot_load_(&load);
	load.customers[HOT].host_count = 0;
	load.customers[HOT].first_host = 0;
	load.restart_ms = 12000;
	run_("restart", &load, &result);
	assert_hot_gets_rest_(&load, &result, SERVED_FAILURE_MIN);
}

/* One request of 4 s against eight of 500 ms: by number they would be uneven.
 */
static void test_long_work(void **state)
{
	struct fair_model_load load = {
		.hosts = 1, .slots = 20, .customer_count = 2, .seed = 2
	};
	struct fair_model_result result;
	double ratio;

	(void)state;
	load.customers[0] = (struct fair_model_customer){ .rate_per_s = 60,
							  .work_ms = 500 };
	load.customers[1] = (struct fair_model_customer){ .rate_per_s = 7.5,
							  .work_ms = 4000 };
	fair_model_run(&load, &result);
	ratio = result.served_ms[0] / result.served_ms[1];
	printf("long work: served %.2f and %.2f\n", result.fraction[0],
	       result.fraction[1]);
	assert_true(ratio > 0.8 && ratio < 1.25);
}

/* Everybody asks for twice the room; two customers are ten times as large. */
static void test_large_customers_not_starved(void **state)
{
	struct fair_model_load load;
	struct fair_model_result result;
	uint32_t i;

	(void)state;
	usual_load_(&load, HOSTS, 4 * HOSTS);
	for (i = 0; i < CUSTOMERS; i++)
		load.customers[i].rate_per_s *= i < 2 ? 10.0 : 1.0;
	run_("large customers", &load, &result);
	for (i = 0; i < CUSTOMERS; i++)
		assert_true(result.fraction[i] >=
			    STARVED_FRACTION * result.fraction_of_all);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hot_customer_by_arrival),
		cmocka_unit_test(test_hot_customer_at_one_host),
		cmocka_unit_test(test_hot_customer_at_few_hosts),
		cmocka_unit_test(test_hot_customer_at_all_hosts),
		cmocka_unit_test(test_news_of_own_customers),
		cmocka_unit_test(test_hot_customer_beside_single_host),
		cmocka_unit_test(test_hosts_cut_off),
		cmocka_unit_test(test_state_lost),
		cmocka_unit_test(test_long_work),
		cmocka_unit_test(test_large_customers_not_starved),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
