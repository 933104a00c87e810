/*
 * Compares the dispatcher under heavy load with random placement and with an
 * upper bound. Guards against placement that makes every run cold, against a
 * domain with few servers that must carry its demand alone, and against
 * requests that wait although they cannot be served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "dispatch_model.h"

/* Maximum time before a request is rejected. */
#define REJECTED_WAIT_MAX_MS 2500

/* Runs a load under each policy; enum model_policy indexes the results. */
static void run_policies_(const char *name, const struct model_load *load,
			  struct model_result results[3])
{
	static const char *const names[3] = { "dispatch", "baseline", "bound" };
	int i;

	for (i = 0; i < 3; i++) {
		dispatch_model_run((enum model_policy)i, load, &results[i]);
		printf("%s %s: requests %u, on time %u, late %u, rejected %u, "
		       "far %.2f\n",
		       name, names[i], results[i].requests, results[i].on_time,
		       results[i].late, results[i].rejected,
		       results[i].far_share);
	}
}

/* Twice the capacity of cold servers, and about half of that of warm ones. */
static void test_cold_capacity_exceeded(void **state)
{
	struct model_load load = { .rates_per_s = { 48, 48, 48, 48, 48, 48 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 1 };
	struct model_result results[3];

	(void)state;
	run_policies_("steady", &load, results);
	/* At least 90 % of the upper bound are on time. */
	assert_true(results[0].on_time * 10 >= results[2].on_time * 9);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

/* A burst of 2.5 times the traffic for four seconds. */
static void test_burst(void **state)
{
	struct model_load load = { .rates_per_s = { 40, 40, 40, 40, 40, 40 },
				   .burst_percent = 250,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 2 };
	struct model_result results[3];

	(void)state;
	run_policies_("burst", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
	assert_true(results[0].rejected_wait_ms < REJECTED_WAIT_MAX_MS);
}

/* All clients of one domain move to another one with a single server. */
static void test_uneven_demand(void **state)
{
	struct model_load load = { .rates_per_s = { 10, 120, 40, 40, 20, 40 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 6,
				   .seed = 3 };
	struct model_result results[3];

	(void)state;
	run_policies_("uneven", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

/* A domain with a quarter of the servers is lost for ten seconds. */
static void test_lost_domain(void **state)
{
	struct model_load load = { .rates_per_s = { 40, 40, 40, 40, 40, 40 },
				   .burst_percent = 100,
				   .length_ms = 40000,
				   .lost_domain = 3,
				   .seed = 4 };
	struct model_result results[3];

	(void)state;
	run_policies_("lost", &load, results);
	assert_true(results[0].on_time * 4 >= results[2].on_time * 3);
	assert_true(results[0].on_time >= 3 * results[1].on_time);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cold_capacity_exceeded),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_uneven_demand),
		cmocka_unit_test(test_lost_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
